//! Keeps the rules of a process the newest of the fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::RulesInForce;
use super::stored_rules::current_range;
use super::stored_rules::decode_head;
use super::stored_rules::decode_record;
use super::stored_rules::head_range;
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

const EXCHANGE_LIMIT: Duration = Duration::from_secs(1);
const FETCH_LIMIT: Duration = Duration::from_secs(2);
const WATCH_RETRY: Duration = Duration::from_secs(1);
const WATCHER_CHECK: Duration = Duration::from_secs(1);
const ASSUMED_ENTRIES: usize = 20;

/// Keeps the rules of a process the newest of the fleet.
#[derive(Debug)]
pub struct RulesSync {
    /// Name of the process.
    pub name: String,
    /// The process may read the platform's store.
    pub reads_store: bool,
    /// Where the store is.
    pub platform: PlatformSettings,
    /// Rules in force.
    pub rules: Arc<RulesInForce>,
    /// Calls to other processes.
    pub peers: Arc<PeerConnections>,
    /// Processes of the fleet.
    pub hosts: Arc<HostTable>,
}

impl RulesSync {
    /// Starts its tasks on the control thread.
    pub fn spawn(self, control: &ControlThread) {
        let reads_store = self.reads_store && !self.platform.store.is_empty();
        let keeper = Arc::new(self);
        control.spawn(Arc::clone(&keeper).spread());
        control.spawn(Arc::clone(&keeper).follow_hints());
        if reads_store {
            let store = Store::new(&keeper.platform);
            control.spawn(Arc::clone(&keeper).poll_store(store.clone()));
            control.spawn(keeper.watch_store(store));
        }
    }

    /// Tells random peers of the revision in force.
    async fn spread(self: Arc<Self>) {
        let origin = Instant::now();
        let now = || MonotonicTime::ZERO + origin.elapsed();
        let mut revision = self.rules.subscribe();
        let mut spread = GossipSchedule::new(now());
        loop {
            let due = origin + spread.next_at().since(MonotonicTime::ZERO);
            tokio::select! {
                _ = revision.changed() => spread.announce(now()),
                () = sleep_until(due) => {
                    let is_starting = self.rules.revision() == Revision(0);
                    let count = spread.take_due_peers(now(), is_starting, rand::random());
                    for peer in self.hosts.sample_peers(count) {
                        tokio::spawn(Arc::clone(&self).exchange(peer));
                    }
                }
            }
        }
    }

    async fn exchange(self: Arc<Self>, peer: SocketAddr) {
        let notice = RevisionNotice {
            revision: self.rules.revision(),
            peer: self.hosts.own_address(),
        };
        let call =
            |client: PeerClient, cx| async move { client.exchange_revision(cx, notice).await };
        match self.peers.call(peer, EXCHANGE_LIMIT, call).await {
            Ok(revision) => self.rules.record_peer_revision(revision, Some(peer)),
            Err(e) => log::debug!("config: Peer {peer} not told: {e}."),
        }
    }

    /// Fetches newer rules from where they were last seen, one at a time.
    async fn follow_hints(self: Arc<Self>) {
        let mut hints = self.rules.watch_hints();
        while hints.changed().await.is_ok() {
            let hint = *hints.borrow_and_update();
            let hint = hint.filter(|hint| hint.revision > self.rules.revision());
            let Some(hint) = hint else {
                continue;
            };
            if let Err(e) = self.fetch(hint.peer).await {
                log::info!("config: Rules not fetched from {}: {e}.", hint.peer);
            }
        }
    }

    async fn fetch(&self, peer: SocketAddr) -> Result<(), CallError> {
        let held = self.rules.record();
        let revision = held.as_ref().map_or(Revision(0), |held| held.revision);
        let call = |client: PeerClient, cx| async move { client.get_rules(cx, revision).await };
        let update = self.peers.call(peer, FETCH_LIMIT, call).await?;
        match update.map(|update| update.resolve(held.as_deref())) {
            Some(Ok(record)) => self.adopt(record),
            Some(Err(e)) => log::warn!("config: Update from {peer} does not fit: {e}."),
            None => {}
        }
        Ok(())
    }

    /// Polls the store at a rate that all entries share.
    async fn poll_store(self: Arc<Self>, store: Store) {
        loop {
            if let Err(e) = self.read_store(&store).await {
                log::warn!("config: Store not polled: {e}.");
            }
            let jitter = 0.5 + rand::random::<f64>();
            sleep(poll_interval(self.count_entries()).mul_f64(jitter)).await;
        }
    }

    /// Counts the entries, or assumes some while the list is unread.
    fn count_entries(&self) -> usize {
        let listed = self.hosts.entry_names().len();
        if listed == 0 && self.platform.hosts.is_some() {
            ASSUMED_ENTRIES
        } else {
            listed
        }
    }

    /// Watches the store while this entry is one of its watchers.
    async fn watch_store(self: Arc<Self>, store: Store) {
        loop {
            let entries = self.hosts.entry_names();
            let is_known = !entries.is_empty() || self.platform.hosts.is_none();
            if !is_known || !is_watcher(&self.name, entries.iter().map(String::as_str)) {
                sleep(WATCHER_CHECK).await;
                continue;
            }
            if let Err(e) = self.watch_once(&store).await {
                log::warn!("config: Store not watched: {e}.");
                sleep(WATCH_RETRY).await;
            }
        }
    }

    /// Watches until the watch ends, as a quiet one does after a while.
    async fn watch_once(&self, store: &Store) -> Result<(), StoreError> {
        let start = self.read_store(store).await? + 1;
        let mut watch = store.watch(&head_range(), start).await?;
        while let Ok(change) = watch.next().await {
            if matches!(change, Change::Put(_)) {
                self.read_store(store).await?;
            }
        }
        Ok(())
    }

    /// Reads the rules if the store has newer ones. Returns the revision of
    /// the store at which they were looked for.
    async fn read_store(&self, store: &Store) -> Result<i64, StoreError> {
        let (at, pairs) = store.range_at_revision(&head_range()).await?;
        let head = decode_head(&pairs).map_err(|e| StoreError::Unknown(e.to_string()))?;
        if head <= self.rules.revision() {
            return Ok(at);
        }
        let pairs = store.range(&current_range()).await?;
        let record = decode_record(&pairs).map_err(|e| StoreError::Unknown(e.to_string()))?;
        record.into_iter().for_each(|record| self.adopt(record));
        Ok(at)
    }

    fn adopt(&self, record: RulesRecord) {
        let revision = record.revision;
        match self.rules.adopt(Arc::new(record)) {
            Ok(true) => log::info!("config: Revision {revision} in force."),
            Ok(false) => {}
            Err(rejected) => log::error!("config: Accepted rules rejected: {rejected}."),
        }
    }
}
