//! Follows the agents of other engines for entries that ask for it, and passes
//! their updates on.

use std::collections::HashMap;
use std::mem::take;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::core::ServerName;
use crate::core::fleet::AgentReport;
use crate::core::fleet::CachedPartChange;
use crate::core::fleet::CollectedEngines;
use crate::core::fleet::CollectedUpdate;
use crate::core::fleet::TargetVersion;
use crate::mesh::AgentObserver;
use crate::mesh::AnnouncementReceiver;
use crate::mesh::EngineUpdate;
use crate::mesh::FollowedEngine;
use crate::mesh::MeshClient;
use crate::mesh::StoreUpdate;
use crate::mesh::announce_call;
use crate::mesh::follow_agent;
use crate::ports::KvCacheFeed;
use crate::ports::KvCacheStoreEvent;
use crate::ports::follow_kv_cache_store;

/// Time for which updates are gathered before a response. It bounds the
/// responses that an entry has to process; urgent updates do not wait for it.
const GATHER_TIME: Duration = Duration::from_millis(80);

/// Time for which updates are gathered after an urgent one: engines of one batch
/// stop accepting calls within milliseconds of each other.
const URGENT_GATHER_TIME: Duration = Duration::from_millis(5);

/// Maximum wait for an update after [`GATHER_TIME`]. An entry notices a lost collector
/// somewhat later than this.
const UPDATE_WAIT: Duration = Duration::from_millis(400);

/// Engines and KV cache stores that this process follows for entries. Each is
/// followed as long as a [`Subscription`] includes it.
pub struct Collector {
    feed: Arc<dyn KvCacheFeed>,
    state: Mutex<CollectorState>,
    /// Sequence number of the last update, and of the last urgent one.
    updates: watch::Sender<u64>,
    urgent_updates: watch::Sender<u64>,
    /// Changes when a newer target version becomes known.
    target_changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct CollectorState {
    collected: CollectedEngines,
    followed: HashMap<ServerName, Followed>,
    followed_stores: HashMap<SocketAddr, FollowedStore>,
    targets: Vec<TargetVersion>,
}

#[derive(Debug)]
struct Followed {
    engine: FollowedEngine,
    subscriptions: usize,
    client: Option<MeshClient>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct FollowedStore {
    subscriptions: usize,
    task: JoinHandle<()>,
}

impl Collector {
    /// Creates a collector that follows nothing. It reads the parts of KV cache
    /// stores from `feed`.
    pub fn new(feed: Arc<dyn KvCacheFeed>) -> Self {
        Self {
            feed,
            state: Mutex::default(),
            updates: watch::channel(0).0,
            urgent_updates: watch::channel(0).0,
            target_changes: watch::channel(0).0,
        }
    }

    /// Records target versions that an entry or an agent knows, and passes newer
    /// ones on to the followed agents at once.
    pub fn learn_targets(&self, targets: &[TargetVersion]) {
        let mut state = self.lock();
        let mut has_newer = false;
        for target in targets {
            let known = state.targets.iter().position(|t| t.model == target.model);
            match known {
                Some(index) if state.targets[index].version >= target.version => continue,
                Some(index) => state.targets[index] = target.clone(),
                None => state.targets.push(target.clone()),
            }
            has_newer = true;
        }
        drop(state);
        if has_newer {
            self.target_changes.send_modify(|count| *count += 1);
        }
    }

    /// Returns the newest known target versions that are not among `known`.
    pub fn list_targets_except(&self, known: &[TargetVersion]) -> Vec<TargetVersion> {
        let mut targets = self.lock().targets.clone();
        targets.retain(|target| !known.contains(target));
        targets
    }

    /// Returns a client of the agent of a followed engine, if it is connected.
    pub fn find_client(&self, server: &ServerName) -> Option<MeshClient> {
        let state = self.lock();
        state.followed.get(server)?.client.clone()
    }

    /// Announces a call to the agent of a followed engine.
    pub fn announce(&self, server: &ServerName, prefill_time: Duration) {
        let Some(client) = self.find_client(server) else {
            log::debug!("agents: not told of a call server={server} reason=\"not followed\"");
            return;
        };
        announce_call(
            client,
            AnnouncementReceiver::Agent,
            server.clone(),
            prefill_time,
        );
    }

    fn follow(self: &Arc<Self>, engine: &FollowedEngine) {
        let mut state = self.lock();
        let (name, agent) = (engine.name.clone(), engine.agent);
        if let Some(followed) = state.followed.get_mut(&name) {
            followed.subscriptions += 1;
            followed.engine.batch_position = engine.batch_position;
            if followed.engine.agent == agent {
                return;
            }
            followed.engine.agent = agent;
            followed.client = None;
            followed.task.abort();
            followed.task = self.spawn_follower(name, engine);
            return;
        }
        let followed = Followed {
            engine: engine.clone(),
            subscriptions: 1,
            client: None,
            task: self.spawn_follower(name.clone(), engine),
        };
        state.followed.insert(name, followed);
    }

    fn unfollow(&self, name: &ServerName) {
        let mut state = self.lock();
        let Some(followed) = state.followed.get_mut(name) else {
            return;
        };
        followed.subscriptions -= 1;
        if followed.subscriptions == 0 {
            followed.task.abort();
            state.followed.remove(name);
            state.collected.remove(name);
        }
    }

    fn follow_store(self: &Arc<Self>, address: SocketAddr) {
        let mut state = self.lock();
        let followed = state
            .followed_stores
            .entry(address)
            .or_insert_with(|| FollowedStore {
                subscriptions: 0,
                task: tokio::spawn(read_store(Arc::clone(self), address)),
            });
        followed.subscriptions += 1;
    }

    fn unfollow_store(&self, address: SocketAddr) {
        let mut state = self.lock();
        let Some(followed) = state.followed_stores.get_mut(&address) else {
            return;
        };
        followed.subscriptions -= 1;
        if followed.subscriptions == 0 {
            followed.task.abort();
            state.followed_stores.remove(&address);
            state.collected.remove(&store_key(address));
        }
    }

    /// Stores what was read of a KV cache store. Its state takes the place of an
    /// agent's report: alive if reachable, accepting if watched.
    fn apply_store(
        &self,
        address: SocketAddr,
        (is_reachable, is_watched): (bool, bool),
        changes: &[CachedPartChange],
        is_full_list: bool,
    ) {
        let report = AgentReport {
            is_alive: is_reachable,
            is_accepting: is_watched,
            ..AgentReport::default()
        };
        let mut state = self.lock();
        if state.followed_stores.contains_key(&address) {
            let key = store_key(address);
            state.collected.apply(&key, report, changes, is_full_list);
            let sequence = state.collected.sequence();
            drop(state);
            self.updates.send_replace(sequence);
        }
    }

    fn spawn_follower(
        self: &Arc<Self>,
        name: ServerName,
        engine: &FollowedEngine,
    ) -> JoinHandle<()> {
        let observer = CollectingObserver {
            collector: Arc::clone(self),
            name: name.clone(),
        };
        tokio::spawn(follow_agent(name, engine.agent, observer))
    }

    fn lock(&self) -> MutexGuard<'_, CollectorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Engines and KV cache stores that one entry has asked for over one connection,
/// and what it has received of them.
pub struct Subscription {
    collector: Arc<Collector>,
    /// Each engine with the sequence number up to which the entry was sent its
    /// updates; `None` if it was sent nothing.
    engines: Mutex<HashMap<ServerName, Option<u64>>>,
    stores: Mutex<HashMap<SocketAddr, Option<u64>>>,
}

impl Subscription {
    /// Creates a subscription to no engine.
    pub fn new(collector: Arc<Collector>) -> Self {
        Self {
            collector,
            engines: Mutex::default(),
            stores: Mutex::default(),
        }
    }

    /// Returns the collector that this subscribes to.
    pub fn collector(&self) -> &Collector {
        &self.collector
    }

    /// Replaces the engines. The entry keeps what it was sent of those that
    /// stay.
    pub fn set_engines(&self, engines: &[FollowedEngine]) {
        let mut subscribed = self.lock();
        for engine in engines {
            self.collector.follow(engine);
        }
        let before = take(&mut *subscribed);
        for name in before.keys() {
            self.collector.unfollow(name);
        }
        *subscribed = engines
            .iter()
            .map(|engine| {
                (
                    engine.name.clone(),
                    before.get(&engine.name).copied().flatten(),
                )
            })
            .collect();
    }

    /// Replaces the KV cache stores, like [`Self::set_engines`].
    pub fn set_stores(&self, stores: &[SocketAddr]) {
        let mut subscribed = self.lock_stores();
        for store in stores {
            self.collector.follow_store(*store);
        }
        let before = take(&mut *subscribed);
        for store in before.keys() {
            self.collector.unfollow_store(*store);
        }
        *subscribed = stores
            .iter()
            .map(|store| (*store, before.get(store).copied().flatten()))
            .collect();
    }

    /// Waits until updates were gathered for [`GATHER_TIME`] and there is one,
    /// but not longer than [`UPDATE_WAIT`] after that. Returns early after an
    /// urgent update.
    pub async fn wait_for_updates(&self) {
        let known = self.lock().values().flatten().copied().max().unwrap_or(0);
        let mut urgent_updates = self.collector.urgent_updates.subscribe();
        let mut updates = self.collector.updates.subscribe();
        let has_urgent = *urgent_updates.borrow_and_update() > known && known > 0;
        let urgent = async {
            if !has_urgent {
                // Fails only after the collector was dropped.
                let _ = urgent_updates.changed().await;
            }
            sleep(URGENT_GATHER_TIME).await;
        };
        tokio::select! {
            () = sleep(GATHER_TIME) => {}
            () = urgent => return,
        }
        if *updates.borrow_and_update() <= known {
            // After the timeout, the response shows that this process is alive.
            let _ = timeout(UPDATE_WAIT, updates.changed()).await;
        }
    }

    /// Returns what the entry lacks and records that it was sent.
    pub fn take_updates(&self) -> Vec<CollectedUpdate> {
        let mut engines = self.lock();
        let state = self.collector.lock();
        let sequence = state.collected.sequence();
        let mut updates = Vec::new();
        for (name, known) in engines.iter_mut() {
            if let Some(update) = state.collected.read_since(name, *known) {
                updates.push(update);
                *known = Some(sequence);
            } else if known.is_some() {
                *known = Some(sequence);
            }
        }
        updates
    }

    /// Returns what the entry lacks of the KV cache stores and records that it
    /// was sent.
    pub fn take_store_updates(&self) -> Vec<StoreUpdate> {
        let mut stores = self.lock_stores();
        let state = self.collector.lock();
        let sequence = state.collected.sequence();
        let mut updates = Vec::new();
        for (address, known) in stores.iter_mut() {
            if let Some(update) = state.collected.read_since(&store_key(*address), *known) {
                updates.push(StoreUpdate {
                    address: *address,
                    is_reachable: update.report.is_alive,
                    is_watched: update.report.is_accepting,
                    kv_changes: update.kv_changes,
                    is_full_list: update.is_full_list,
                });
                *known = Some(sequence);
            }
        }
        updates
    }

    fn lock_stores(&self) -> MutexGuard<'_, HashMap<SocketAddr, Option<u64>>> {
        self.stores.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServerName, Option<u64>>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        for name in self.lock().keys() {
            self.collector.unfollow(name);
        }
        for store in self.lock_stores().keys() {
            self.collector.unfollow_store(*store);
        }
    }
}

/// Key of a KV cache store among the collected engines.
fn store_key(address: SocketAddr) -> ServerName {
    ServerName::from(address.to_string().as_str())
}

/// Stores what is read of a KV cache store for as long as it is polled.
async fn read_store(collector: Arc<Collector>, address: SocketAddr) {
    let observe = |event| match event {
        KvCacheStoreEvent::Changed(changes) => {
            collector.apply_store(address, (true, true), &changes, false);
        }
        KvCacheStoreEvent::Restarted => collector.apply_store(address, (true, true), &[], true),
        KvCacheStoreEvent::Rejected => collector.apply_store(address, (true, false), &[], false),
        KvCacheStoreEvent::Unreachable => {
            collector.apply_store(address, (false, false), &[], false);
        }
    };
    follow_kv_cache_store(&*collector.feed, address, observe).await;
}

/// Stores the updates of one agent in the collector.
struct CollectingObserver {
    collector: Arc<Collector>,
    name: ServerName,
}

impl AgentObserver for CollectingObserver {
    fn read_weights_fields(&self) -> (Vec<TargetVersion>, (u64, u64)) {
        let state = self.collector.lock();
        let followed = state.followed.get(&self.name);
        let position = followed.map_or((0, 1), |followed| followed.engine.batch_position);
        (state.targets.clone(), position)
    }

    fn subscribe_urgent_changes(&self) -> Option<watch::Receiver<u64>> {
        Some(self.collector.target_changes.subscribe())
    }

    fn record_connected(&self, client: &MeshClient) {
        if let Some(followed) = self.collector.lock().followed.get_mut(&self.name) {
            followed.client = Some(client.clone());
        }
    }

    fn record_disconnected(&self) {
        if let Some(followed) = self.collector.lock().followed.get_mut(&self.name) {
            followed.client = None;
        }
    }

    fn apply_update(&self, update: EngineUpdate) {
        self.collector.learn_targets(&update.targets);
        let mut state = self.collector.lock();
        if !state.followed.contains_key(&self.name) {
            return;
        }
        let is_urgent = state.collected.apply(
            &self.name,
            update.report,
            &update.kv_changes,
            update.is_full_list,
        );
        let sequence = state.collected.sequence();
        drop(state);
        self.collector.updates.send_replace(sequence);
        if is_urgent {
            self.collector.urgent_updates.send_replace(sequence);
        }
    }
}
