//! Background tasks that bring the newest accepted rules into a process: gossip
//! with peers, and polling and watching the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::RulesInForce;
use super::stored_rules::current_range;
use super::stored_rules::decode_newest_revision;
use super::stored_rules::decode_record;
use super::stored_rules::newest_revision_range;
use crate::core::MonotonicTime;
use crate::core::Revision;
use crate::core::config::GossipSchedule;
use crate::core::config::RulesRecord;
use crate::core::config::is_watcher;
use crate::core::config::poll_interval;
use crate::peer::CallError;
use crate::peer::ControlThread;
use crate::peer::HostTable;
use crate::peer::PeerClient;
use crate::peer::PeerConnections;
use crate::peer::RevisionNotice;
use crate::registry::Change;
use crate::registry::Store;
use crate::registry::StoreError;
use crate::settings::PlatformSettings;

/// Timeout of exchanging revisions with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of fetching rules from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait after the store could not be read or a watch not opened.
const WATCH_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval at which an entry that is not a watcher checks whether it became one.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of entries assumed while no entry is listed. With 0, each entry would
/// poll the store at the rate meant for all entries together.
const ASSUMED_ENTRY_COUNT: usize = 20;

/// Brings the newest accepted rules into a process. [`Self::spawn`] starts the
/// tasks.
#[derive(Debug)]
pub struct RulesSync {
    /// Name of the process, which decides whether it is a watcher.
    pub name: String,
    /// Whether the process polls the platform's store, and watches it while it is
    /// one of the few [watchers](is_watcher); otherwise it learns of rules from
    /// its peers only. The same holds if no store address is set.
    pub reads_store: bool,
    /// Addresses of the store and of the host list.
    pub platform: PlatformSettings,
    /// Rules that the tasks replace.
    pub rules: Arc<RulesInForce>,
    /// Client of the other processes.
    pub peers: Arc<PeerConnections>,
    /// Processes from which peers are drawn.
    pub hosts: Arc<HostTable>,
}

impl RulesSync {
    /// Starts the tasks on the control thread.
    pub fn spawn(self, control: &ControlThread) {
        let reads_store = self.reads_store && !self.platform.store.is_empty();
        let sync = Arc::new(self);
        control.spawn(Arc::clone(&sync).gossip_revision());
        control.spawn(Arc::clone(&sync).fetch_newer_rules());
        if reads_store {
            let store = Store::new(&sync.platform);
            control.spawn(Arc::clone(&sync).poll_store(store.clone()));
            control.spawn(sync.watch_store(store));
        }
    }

    /// Sends the revision in force to random peers whenever the gossip schedule is
    /// due.
    async fn gossip_revision(self: Arc<Self>) {
        let origin = Instant::now();
        let now = || MonotonicTime::ZERO + origin.elapsed();
        let mut revision = self.rules.subscribe();
        let mut schedule = GossipSchedule::new(now());
        loop {
            let due = origin + schedule.next_at().since(MonotonicTime::ZERO);
            tokio::select! {
                _ = revision.changed() => schedule.announce(now()),
                () = sleep_until(due) => {
                    let has_no_rules = self.rules.revision() == Revision(0);
                    let count = schedule.take_due_peer_count(now(), has_no_rules, rand::random());
                    for peer in self.hosts.sample_peers(count) {
                        tokio::spawn(Arc::clone(&self).exchange_revision(peer));
                    }
                }
            }
        }
    }

    /// Exchanges the revisions in force with a peer and records the peer's revision.
    async fn exchange_revision(self: Arc<Self>, peer: SocketAddr) {
        let notice = RevisionNotice {
            revision: self.rules.revision(),
            peer: self.hosts.own_address(),
        };
        let call =
            |client: PeerClient, cx| async move { client.exchange_revision(cx, notice).await };
        match self.peers.call(peer, EXCHANGE_TIMEOUT, call).await {
            Ok(revision) => self.rules.record_peer_revision(revision, Some(peer)),
            Err(e) => log::debug!("config: Revisions not exchanged with peer {peer}: {e}."),
        }
    }

    /// Fetches newer rules from the peer that last reported them, one fetch at a
    /// time.
    async fn fetch_newer_rules(self: Arc<Self>) {
        let mut newer_rules_peer = self.rules.subscribe_newer_rules_peer();
        while newer_rules_peer.changed().await.is_ok() {
            let newer = *newer_rules_peer.borrow_and_update();
            let newer = newer.filter(|newer| newer.revision > self.rules.revision());
            let Some(newer) = newer else {
                continue;
            };
            if let Err(e) = self.fetch_rules(newer.peer).await {
                log::info!("config: Rules not fetched from peer {}: {e}.", newer.peer);
            }
        }
    }

    /// Fetches the rules of a peer if they are newer, and adopts them.
    async fn fetch_rules(&self, peer: SocketAddr) -> Result<(), CallError> {
        let held = self.rules.record();
        let revision = held.as_ref().map_or(Revision(0), |held| held.revision);
        let call = |client: PeerClient, cx| async move { client.get_rules(cx, revision).await };
        let update = self.peers.call(peer, FETCH_TIMEOUT, call).await?;
        match update.map(|update| update.resolve(held.as_deref())) {
            Some(Ok(record)) => self.adopt(record),
            Some(Err(e)) => log::warn!("config: Update from peer {peer} not applied: {e}."),
            None => {}
        }
        Ok(())
    }

    /// Polls the store. The interval grows with the number of entries, so that
    /// the total rate of all polls stays constant; jitter spreads them.
    async fn poll_store(self: Arc<Self>, store: Store) {
        loop {
            if let Err(e) = self.refresh_from_store(&store).await {
                log::warn!("config: Rules not read from the store: {e}.");
            }
            let jitter = 0.5 + rand::random::<f64>();
            sleep(poll_interval(self.estimate_entry_count()).mul_f64(jitter)).await;
        }
    }

    /// Returns the number of listed entries, or an assumed number if there is a
    /// host list that has not been read or lists no entry.
    fn estimate_entry_count(&self) -> usize {
        let listed = self.hosts.entry_names().len();
        if listed == 0 && self.platform.hosts.is_some() {
            ASSUMED_ENTRY_COUNT
        } else {
            listed
        }
    }

    /// Watches the store whenever this entry is one of the watchers.
    async fn watch_store(self: Arc<Self>, store: Store) {
        loop {
            let entries = self.hosts.entry_names();
            let has_host_list = !entries.is_empty() || self.platform.hosts.is_none();
            if !has_host_list || !is_watcher(&self.name, entries.iter().map(String::as_str)) {
                sleep(WATCHER_CHECK_INTERVAL).await;
                continue;
            }
            if let Err(e) = self.watch_until_end(&store).await {
                log::warn!("config: Watch of the store failed: {e}.");
                sleep(WATCH_RETRY_DELAY).await;
            }
        }
    }

    /// Watches the newest revision number until the watch ends, by failure or
    /// because no change came within the watch timeout.
    async fn watch_until_end(&self, store: &Store) -> Result<(), StoreError> {
        let start = self.refresh_from_store(store).await? + 1;
        let mut watch = store.watch(&newest_revision_range(), start).await?;
        while let Ok(change) = watch.next().await {
            if matches!(change, Change::Put(_)) {
                self.refresh_from_store(store).await?;
            }
        }
        Ok(())
    }

    /// Reads and adopts the rules if the store holds newer ones. Returns the store
    /// revision at which the store was read, after which a watch can start.
    async fn refresh_from_store(&self, store: &Store) -> Result<i64, StoreError> {
        let (store_revision, pairs) = store.range_at_revision(&newest_revision_range()).await?;
        let newest_revision =
            decode_newest_revision(&pairs).map_err(|e| StoreError::Unknown(e.to_string()))?;
        if newest_revision <= self.rules.revision() {
            return Ok(store_revision);
        }
        let pairs = store.range(&current_range()).await?;
        let record = decode_record(&pairs).map_err(|e| StoreError::Unknown(e.to_string()))?;
        record.into_iter().for_each(|record| self.adopt(record));
        Ok(store_revision)
    }

    /// Puts a record in force if it is newer, and logs the outcome.
    fn adopt(&self, record: RulesRecord) {
        let revision = record.revision;
        match self.rules.adopt(Arc::new(record)) {
            Ok(true) => log::info!("config: Revision {revision} in force."),
            Ok(false) => {}
            Err(rejected) => log::error!("config: Accepted rules not put in force: {rejected}."),
        }
    }
}
