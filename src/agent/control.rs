//! Peer service of the agent, and start of its control thread.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use tarpc::context::Context;

use super::AgentContext;
use super::engine_state::poll_engine_state;
use super::order_reconciler::reconcile_orders;
use crate::config::RulesSync;
use crate::core::Revision;
use crate::core::config::RulesRecord;
use crate::core::config::RulesUpdate;
use crate::core::limit::Origin;
use crate::core::limit::ShareMessage;
use crate::peer::ControlThread;
use crate::peer::MAX_PEER_CONNECTIONS;
use crate::peer::Peer;
use crate::peer::PeerError;
use crate::peer::PeerStatus;
use crate::peer::RevisionNotice;
use crate::peer::Role;
use crate::peer::ShareReply;
use crate::peer::accept_peers;
use crate::peer::serve_connection;
use crate::threads::StartError;
use crate::threads::open_listener;
use crate::timeline::EventPage;
use crate::timeline::EventQuery;

/// Starts the control thread with the peer service, if the settings give a
/// peer address, and the background tasks: configuration and host list, and for
/// a model engine its state and orders.
///
/// # Errors
///
/// The thread cannot be started, or the peer address cannot be bound.
pub fn start_control(cx: &Arc<AgentContext>) -> Result<ControlThread, StartError> {
    let control = ControlThread::start()?;
    cx.peers.set_runtime(control.runtime().clone());
    if let Some(address) = cx.settings.listen.peers {
        let listener = open_listener(address)?;
        let own_address = listener.local_addr().map_err(StartError::Thread)?;
        cx.hosts.set_own_address(own_address);
        let service = AgentPeer(Arc::clone(cx));
        let control_counts = Arc::clone(cx.peers.byte_counts());
        control.spawn(async move {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => {
                    accept_peers(listener, MAX_PEER_CONNECTIONS, |stream| {
                        serve_connection(stream, service.clone(), Arc::clone(&control_counts))
                    })
                    .await;
                }
                Err(e) => log::error!("agent: Peer listener unusable: {e}."),
            }
        });
    }
    let rules_sync = RulesSync {
        name: cx.settings.name.to_string(),
        reads_store: false,
        platform: cx.settings.platform.clone(),
        rules: Arc::clone(&cx.rules),
        peers: Arc::clone(&cx.peers),
        hosts: Arc::clone(&cx.hosts),
    };
    rules_sync.spawn(&control);
    if cx.settings.is_engine {
        control.spawn(poll_engine_state(Arc::clone(cx)));
        control.spawn(reconcile_orders(Arc::clone(cx)));
    }
    let hosts = Arc::clone(&cx.hosts);
    control.spawn(hosts.poll_host_list(cx.settings.platform.clone()));
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
            control_received: cx.peers.byte_counts().received(),
            control_sent: cx.peers.byte_counts().sent(),
        })
    }

    async fn exchange_revision(
        self,
        _: Context,
        notice: RevisionNotice,
    ) -> Result<Revision, PeerError> {
        self.0
            .rules
            .record_peer_revision(notice.revision, notice.peer);
        Ok(self.0.rules.revision())
    }

    async fn get_rules(self, _: Context, held: Revision) -> Result<Option<RulesUpdate>, PeerError> {
        Ok(self.0.rules.build_update(held))
    }

    async fn get_events(self, _: Context, query: EventQuery) -> Result<EventPage, PeerError> {
        Ok(self.0.timeline.page(&query))
    }

    async fn offer_rules(self, _: Context, record: RulesRecord) -> Result<Revision, PeerError> {
        self.0.rules.adopt_from_peer(record)
    }

    async fn exchange_shares(
        self,
        _: Context,
        _: Origin,
        _: ShareMessage,
    ) -> Result<ShareReply, PeerError> {
        Err(PeerError::NotServed)
    }
}
