//! Control thread of the entry: serves RPCs of peers, keeps the rules and the
//! host list up to date, and runs the limiter's tasks.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tarpc::context::Context;
use tokio::time::sleep;

use super::EntryContext;
use super::limiter_tasks::spawn_limiter_tasks;
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

/// Time between checks whether a new host list has been read.
const HOSTS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the control thread and its tasks, which end when the returned handle
/// is dropped.
///
/// # Errors
///
/// The thread could not be started, or the peer address could not be opened.
pub fn start_control(cx: &Arc<EntryContext>) -> Result<ControlThread, StartError> {
    let control = ControlThread::start()?;
    cx.peers.set_runtime(control.runtime().clone());
    if let Some(address) = cx.settings.listen.peers {
        let listener = open_listener(address)?;
        let own = listener.local_addr().map_err(StartError::Thread)?;
        cx.hosts.set_own_address(own);
        let service = EntryPeerService(Arc::clone(cx));
        let counts = Arc::clone(cx.peers.byte_counts());
        control.spawn(async move {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => {
                    accept_peers(listener, MAX_PEER_CONNECTIONS, |stream| {
                        serve_connection(stream, service.clone(), Arc::clone(&counts))
                    })
                    .await;
                }
                Err(e) => log::error!("entry: Peer listener unusable: {e}."),
            }
        });
    }
    let rules_sync = RulesSync {
        name: cx.settings.name.to_string(),
        reads_store: true,
        platform: cx.settings.platform.clone(),
        rules: Arc::clone(&cx.rules),
        peers: Arc::clone(&cx.peers),
        hosts: Arc::clone(&cx.hosts),
    };
    rules_sync.spawn(&control);
    let hosts = Arc::clone(&cx.hosts);
    control.spawn(hosts.poll_host_list(cx.settings.platform.clone()));
    control.spawn(apply_host_changes(Arc::clone(cx)));
    if let Some(queue) = cx.take_limiter_messages() {
        spawn_limiter_tasks(cx, &control, queue);
    }
    Ok(control)
}

/// Applies each newly read host list to the server table.
async fn apply_host_changes(cx: Arc<EntryContext>) {
    let mut applied = cx.hosts.hosts();
    loop {
        sleep(HOSTS_CHECK_INTERVAL).await;
        let hosts = cx.hosts.hosts();
        if !Arc::ptr_eq(&hosts, &applied) {
            cx.servers.apply_hosts(&hosts);
            applied = hosts;
        }
    }
}

#[derive(Debug, Clone)]
struct EntryPeerService(Arc<EntryContext>);

impl Peer for EntryPeerService {
    async fn get_status(self, _: Context) -> Result<PeerStatus, PeerError> {
        let cx = &self.0;
        Ok(PeerStatus {
            name: cx.settings.name.to_string(),
            role: Role::Entry,
            zone: cx.settings.zone.clone(),
            incarnation: cx.incarnation,
            revision: cx.rules.revision(),
            draining: cx.draining.load(Ordering::Acquire),
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
        from: Origin,
        message: ShareMessage,
    ) -> Result<ShareReply, PeerError> {
        let limiter = &self.0.limiter;
        Ok(ShareReply {
            incarnation: limiter.origin().incarnation,
            messages: limiter.receive(from, vec![message]),
        })
    }
}
