//! Follows the agents of other engines for entries that ask for it, and passes
//! their updates on.

use std::collections::HashMap;
use std::mem::take;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::core::ServerName;
use crate::core::fleet::CollectedEngines;
use crate::core::fleet::CollectedUpdate;
use crate::core::fleet::TargetVersion;
use crate::mesh::AgentObserver;
use crate::mesh::EngineUpdate;
use crate::mesh::FollowedEngine;
use crate::mesh::MeshClient;
use crate::mesh::follow_agent;

/// Time for which updates are gathered before a response. It bounds the
/// responses that an entry has to process; urgent updates do not wait for it.
const GATHER_TIME: Duration = Duration::from_millis(80);

/// Time for which updates are gathered after an urgent one: engines of one batch
/// stop accepting calls within milliseconds of each other.
const URGENT_GATHER_TIME: Duration = Duration::from_millis(5);

/// Maximum wait for an update after [`GATHER_TIME`]. An entry notices a lost collector
/// somewhat later than this.
const UPDATE_WAIT: Duration = Duration::from_millis(400);

/// Timeout of an announcement; later it would be useless.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(300);

/// Engines that this process follows for entries. Each engine is followed as
/// long as a [`Subscription`] includes it.
#[derive(Debug)]
pub struct Collector {
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
    targets: Vec<TargetVersion>,
}

#[derive(Debug)]
struct Followed {
    engine: FollowedEngine,
    subscriptions: usize,
    client: Option<MeshClient>,
    task: JoinHandle<()>,
}

impl Collector {
    /// Creates a collector that follows no engine.
    pub fn new() -> Self {
        Self {
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

    /// Announces a call to the agent of a followed engine.
    pub fn announce(&self, server: &ServerName, prefill_time: Duration) {
        let client = self
            .lock()
            .followed
            .get(server)
            .and_then(|followed| followed.client.clone());
        let Some(client) = client else {
            log::debug!("agents: not told of a call server={server} reason=\"not followed\"");
            return;
        };
        let server = server.clone();
        tokio::spawn(async move {
            let mut context = tarpc::context::current();
            context.deadline = Instant::now() + ANNOUNCE_TIMEOUT;
            if let Err(e) = client.announce(context, prefill_time).await {
                // The agent's updates fail as well, which is logged where they
                // are read.
                log::debug!("agents: not told of a call server={server} reason=\"{e}\"");
            }
        });
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

/// Engines that one entry has asked for over one connection, and what it has
/// received of them.
#[derive(Debug)]
pub struct Subscription {
    collector: Arc<Collector>,
    /// Each engine with the sequence number up to which the entry was sent its
    /// updates; `None` if it was sent nothing.
    engines: Mutex<HashMap<ServerName, Option<u64>>>,
}

impl Subscription {
    /// Creates a subscription to no engine.
    pub fn new(collector: Arc<Collector>) -> Self {
        Self {
            collector,
            engines: Mutex::default(),
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

    fn lock(&self) -> MutexGuard<'_, HashMap<ServerName, Option<u64>>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        for name in self.lock().keys() {
            self.collector.unfollow(name);
        }
    }
}

/// Stores the updates of one agent in the collector.
struct CollectingObserver {
    collector: Arc<Collector>,
    name: ServerName,
}

impl AgentObserver for CollectingObserver {
    fn read_rollout_fields(&self) -> (Vec<TargetVersion>, (u64, u64)) {
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
