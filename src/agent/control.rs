//! Control messages as this role answers them.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use tarpc::context::Context;

use super::AgentContext;
use crate::core::Revision;
use crate::core::config::RulesRecord;
use crate::peer::ControlThread;
use crate::peer::Peer;
use crate::peer::PeerError;
use crate::peer::PeerStatus;
use crate::peer::RevisionReply;
use crate::peer::Role;
use crate::peer::accept_peers;
use crate::peer::serve_connection;
use crate::threads::StartError;
use crate::threads::open_listener;

/// Starts the control thread and what runs on it.
///
/// # Errors
///
/// The thread cannot be started or the peer address not listened on.
pub fn start_control(cx: &Arc<AgentContext>) -> Result<ControlThread, StartError> {
    let control = ControlThread::start()?;
    cx.peers.attach(control.runtime().clone());
    if let Some(address) = cx.settings.listen.peers {
        let listener = open_listener(address)?;
        let service = AgentPeer(Arc::clone(cx));
        control.spawn(async move {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => {
                    accept_peers(listener, |stream| serve_connection(stream, service.clone()))
                        .await;
                }
                Err(e) => log::error!("agent: Peer listener unusable: {e}."),
            }
        });
    }
    Ok(control)
}

#[derive(Debug, Clone)]
struct AgentPeer(Arc<AgentContext>);

impl Peer for AgentPeer {
    async fn get_status(self, _: Context) -> Result<PeerStatus, PeerError> {
        let cx = &self.0;
        Ok(PeerStatus {
            name: cx.settings.name.to_string(),
            role: Role::Agent,
            zone: cx.settings.zone.clone(),
            incarnation: cx.incarnation,
            revision: cx.rules.revision(),
            draining: cx.leaving.load(Ordering::Acquire),
        })
    }

    async fn exchange_revision(
        self,
        _: Context,
        held: Revision,
    ) -> Result<RevisionReply, PeerError> {
        Ok(self.0.rules.answer_exchange(held))
    }

    async fn offer_rules(self, _: Context, record: RulesRecord) -> Result<Revision, PeerError> {
        self.0.rules.take_offer(record)
    }
}
