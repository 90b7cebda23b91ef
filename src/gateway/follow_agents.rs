//! Follows the agents beside engines: each one itself, or in a large fleet
//! through collectors.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::agent_connections::AgentConnection;
use super::clock_offsets::ClockOwner;
use super::context::GatewayContext;
use super::follow_collector::CollectorHealth;
use super::follow_collector::follow_collector;
use super::share_quarantine::share_with_agent;
use crate::clock::read_wall_clock_ms;
use crate::core::ServerName;
use crate::core::fleet::EngineAgent;
use crate::core::fleet::MemberState;
use crate::core::fleet::TargetVersion;
use crate::core::fleet::choose_store_collector;
use crate::core::fleet::plan_collectors;
use crate::core::fleet::plan_zone_collectors;
use crate::mesh::AgentObserver;
use crate::mesh::AnnouncementReceiver;
use crate::mesh::EngineUpdate;
use crate::mesh::FollowedEngine;
use crate::mesh::MeshClient;
use crate::mesh::follow_agent;

/// Interval between checks for added and removed engines.
const MEMBER_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// What one collector is to follow.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CollectorShare {
    /// Engines whose updates it passes on.
    pub engines: Vec<FollowedEngine>,
    /// KV cache stores whose changes it passes on.
    pub kv_cache_stores: Vec<SocketAddr>,
}

/// Task that follows a collector, and the share that this is to follow.
struct CollectorFollower {
    share: watch::Sender<CollectorShare>,
    task: JoinHandle<()>,
}

/// Keeps one task for each collector, and one for each engine that no collector
/// follows.
pub async fn follow_agents(cx: Arc<GatewayContext>) {
    let health = Arc::new(CollectorHealth::default());
    let mut direct_followers: HashMap<ServerName, JoinHandle<()>> = HashMap::new();
    let mut collector_followers: HashMap<SocketAddr, CollectorFollower> = HashMap::new();
    loop {
        let engines = list_engines(&cx);
        let agents: Vec<EngineAgent> = engines.iter().map(|(agent, _)| agent.clone()).collect();
        let now = cx.now();
        let is_usable = |agent| health.is_usable(agent, now);
        let plan = if cx.zone_relaying.is_active() {
            plan_zone_collectors(&cx.settings.zone, &agents, is_usable)
        } else {
            plan_collectors(&cx.settings.zone, &agents, is_usable)
        };
        let collected: HashSet<&ServerName> = plan.values().flatten().collect();
        let direct: HashMap<&ServerName, SocketAddr> = agents
            .iter()
            .filter(|engine| !collected.contains(&engine.name))
            .map(|engine| (&engine.name, engine.agent))
            .collect();
        direct_followers.retain(|name, follower| {
            let is_direct = direct.contains_key(name);
            if !is_direct {
                // Dropping the task's observer removes its connection.
                follower.abort();
            }
            is_direct
        });
        for (name, agent) in direct {
            direct_followers.entry(name.clone()).or_insert_with(|| {
                let observer = DirectObserver {
                    cx: Arc::clone(&cx),
                    name: name.clone(),
                    agent,
                };
                tokio::spawn(follow_agent(name.clone(), agent, observer))
            });
        }
        update_collector_followers(&cx, &health, &engines, &plan, &mut collector_followers);
        sleep(MEMBER_POLL_INTERVAL).await;
    }
}

/// Starts and ends the tasks that follow collectors, and passes changes of
/// their engines on to them.
fn update_collector_followers(
    cx: &Arc<GatewayContext>,
    health: &Arc<CollectorHealth>,
    engines: &[(EngineAgent, (u64, u64))],
    plan: &HashMap<SocketAddr, Vec<ServerName>>,
    followers: &mut HashMap<SocketAddr, CollectorFollower>,
) {
    followers.retain(|collector, follower| {
        let is_needed = plan.contains_key(collector) && !follower.task.is_finished();
        if !is_needed {
            follower.task.abort();
        }
        is_needed
    });
    let engines_by_name: HashMap<&ServerName, &(EngineAgent, (u64, u64))> = engines
        .iter()
        .map(|engine| (&engine.0.name, engine))
        .collect();
    let stores = cx.lock().dispatcher.list_kv_cache_stores();
    let store_collectors: Vec<(SocketAddr, SocketAddr)> = stores
        .iter()
        .filter_map(|store| {
            let collector = choose_store_collector(plan.keys().copied(), *store)?;
            Some((*store, collector))
        })
        .collect();
    let collected_stores = store_collectors.iter().map(|(store, _)| *store).collect();
    cx.collected_stores.send_replace(collected_stores);
    for (collector, names) in plan {
        let followed: Vec<FollowedEngine> = names
            .iter()
            .filter_map(|name| engines_by_name.get(name))
            .map(|(engine, batch_position)| FollowedEngine {
                name: engine.name.clone(),
                agent: engine.agent,
                batch_position: *batch_position,
            })
            .collect();
        let stores = store_collectors.iter();
        let share = CollectorShare {
            engines: followed,
            kv_cache_stores: stores
                .filter(|(_, chosen)| chosen == collector)
                .map(|(store, _)| *store)
                .collect(),
        };
        match followers.get(collector) {
            Some(follower) => {
                follower.share.send_if_modified(|current| {
                    let is_changed = *current != share;
                    *current = share;
                    is_changed
                });
            }
            None => {
                let (share_tx, share_rx) = watch::channel(share);
                let follow =
                    follow_collector(Arc::clone(cx), Arc::clone(health), *collector, share_rx);
                let follower = CollectorFollower {
                    share: share_tx,
                    task: tokio::spawn(follow),
                };
                followers.insert(*collector, follower);
            }
        }
    }
}

/// Lists the engines, which are the servers with models, ordered by name, with
/// the position of each among the ready ones of its service and their number.
/// The position follows from the names, so that every entry finds the same.
pub fn list_engines(cx: &GatewayContext) -> Vec<(EngineAgent, (u64, u64))> {
    let state = cx.lock();
    let mut engines: Vec<_> = state
        .dispatcher
        .list_backends()
        .filter(|view| !view.member.models.is_empty())
        .map(|view| &view.member)
        .collect();
    engines.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    let mut ready_counts: HashMap<&str, u64> = HashMap::new();
    let positions: Vec<u64> = engines
        .iter()
        .map(|member| {
            let count = ready_counts.entry(member.service.as_str()).or_default();
            let position = *count;
            *count += u64::from(member.state == MemberState::Ready);
            position
        })
        .collect();
    engines
        .iter()
        .zip(positions)
        .map(|(member, position)| {
            let agent = EngineAgent {
                name: member.name.clone(),
                agent: SocketAddr::new(member.address.ip(), cx.settings.agent_port),
                zone: member.zone.clone(),
            };
            let count = ready_counts.get(member.service.as_str()).copied();
            (agent, (position, count.unwrap_or(0)))
        })
        .collect()
}

/// Applies the updates of one agent that this entry follows itself.
struct DirectObserver {
    cx: Arc<GatewayContext>,
    name: ServerName,
    agent: SocketAddr,
}

impl Drop for DirectObserver {
    fn drop(&mut self) {
        self.record_disconnected();
    }
}

impl AgentObserver for DirectObserver {
    fn read_weights_fields(&self) -> (Vec<TargetVersion>, (u64, u64)) {
        let state = self.cx.lock();
        let targets = state.dispatcher.list_target_versions();
        let Some(engine) = state.dispatcher.find_backend(&self.name) else {
            return (targets, (0, 1));
        };
        let service = state
            .dispatcher
            .list_service_backends(&engine.member.service);
        let (mut position, mut count) = (0, 0);
        for view in service.filter(|view| view.member.state == MemberState::Ready) {
            count += 1;
            position += u64::from(view.member.name < self.name);
        }
        (targets, (position, count))
    }

    fn subscribe_urgent_changes(&self) -> Option<watch::Receiver<u64>> {
        None
    }

    fn record_connected(&self, client: &MeshClient) {
        let connection = AgentConnection {
            address: self.agent,
            client: client.clone(),
            receiver: AnnouncementReceiver::Agent,
        };
        self.cx.agent_connections.insert(&self.name, connection);
        tokio::spawn(share_with_agent(Arc::clone(&self.cx), client.clone()));
    }

    fn record_disconnected(&self) {
        self.cx.agent_connections.remove(&self.name, self.agent);
    }

    fn apply_update(&self, update: EngineUpdate) {
        let owner = ClockOwner::Agent(&self.name);
        self.cx
            .clock_offsets
            .record(owner, update.clock_ms, read_wall_clock_ms());
        let now = self.cx.now();
        let mut state = self.cx.lock();
        state.learn_targets(
            &update.targets,
            format_args!("agent server={}", self.name),
            now,
        );
        state
            .dispatcher
            .observe_cached_parts(&self.name, &update.kv_changes, update.is_full_list);
        state
            .dispatcher
            .observe_agent_report(&self.name, update.report, now);
    }
}
