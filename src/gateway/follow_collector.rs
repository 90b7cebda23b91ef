//! Follows one collector and applies the updates that it passes on.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tarpc::context::Context;
use tokio::sync::watch;

use super::agent_connections::AgentConnection;
use super::context::GatewayContext;
use super::follow_agents::CollectorShare;
use super::share_quarantine::share_with_agent;
use crate::core::MonotonicTime;
use crate::mesh::AnnouncementReceiver;
use crate::mesh::CollectRequest;
use crate::mesh::CollectResponse;
use crate::mesh::FollowedEngine;
use crate::mesh::MeshClient;
use crate::mesh::connect_mesh;

/// Timeout of a request to a collector, which holds the response back for up to
/// half a second.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for which a lost collector is not used again; doubles with each loss up
/// to [`MAX_EXCLUSION`].
const MIN_EXCLUSION: Duration = Duration::from_secs(2);
const MAX_EXCLUSION: Duration = Duration::from_secs(16);

/// Collectors that were lost, and until when they are not used.
#[derive(Debug, Default)]
pub struct CollectorHealth {
    exclusions: Mutex<HashMap<SocketAddr, Exclusion>>,
}

#[derive(Debug, Clone, Copy)]
struct Exclusion {
    until: MonotonicTime,
    length: Duration,
}

impl CollectorHealth {
    /// Returns whether an agent may be chosen as a collector.
    pub fn is_usable(&self, agent: SocketAddr, now: MonotonicTime) -> bool {
        self.lock()
            .get(&agent)
            .is_none_or(|exclusion| exclusion.until <= now)
    }

    fn record_loss(&self, agent: SocketAddr, now: MonotonicTime) {
        let mut exclusions = self.lock();
        let length = exclusions.get(&agent).map_or(MIN_EXCLUSION, |before| {
            (before.length * 2).min(MAX_EXCLUSION)
        });
        let until = now + length;
        exclusions.insert(agent, Exclusion { until, length });
    }

    fn record_response(&self, agent: SocketAddr) {
        self.lock().remove(&agent);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Exclusion>> {
        self.exclusions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies the updates of a collector about its share, whose changes are passed on
/// to it, until it is lost.
pub async fn follow_collector(
    cx: Arc<GatewayContext>,
    health: Arc<CollectorHealth>,
    collector: SocketAddr,
    mut share: watch::Receiver<CollectorShare>,
) {
    let reason = match connect_mesh(collector).await {
        Ok(client) => {
            log::info!(
                "agents: collected by={collector} engines={} stores={}",
                share.borrow().engines.len(),
                share.borrow().kv_cache_stores.len()
            );
            tokio::spawn(share_with_agent(Arc::clone(&cx), client.clone()));
            let connection = CollectorConnection {
                cx: &cx,
                collector,
                client,
                connected: Vec::new(),
            };
            collect_until_failure(connection, &health, &mut share).await
        }
        Err(e) => e.to_string(),
    };
    log::info!("agents: lost collector={collector} reason=\"{reason}\"");
    health.record_loss(collector, cx.now());
}

/// Connection to a collector, over which its engines' agents are reached until
/// this is dropped.
struct CollectorConnection<'a> {
    cx: &'a GatewayContext,
    collector: SocketAddr,
    client: MeshClient,
    connected: Vec<FollowedEngine>,
}

impl CollectorConnection<'_> {
    fn set_engines(&mut self, engines: &[FollowedEngine]) {
        let connections = &self.cx.agent_connections;
        for engine in engines {
            let connection = AgentConnection {
                address: self.collector,
                client: self.client.clone(),
                receiver: AnnouncementReceiver::Collector,
            };
            connections.insert(&engine.name, connection);
        }
        for before in &self.connected {
            if !engines.iter().any(|engine| engine.name == before.name) {
                connections.remove(&before.name, self.collector);
            }
        }
        self.connected = engines.to_vec();
    }
}

impl Drop for CollectorConnection<'_> {
    fn drop(&mut self) {
        for engine in &self.connected {
            self.cx
                .agent_connections
                .remove(&engine.name, self.collector);
        }
    }
}

/// Applies responses until a request fails, and returns the reason.
async fn collect_until_failure(
    mut connection: CollectorConnection<'_>,
    health: &CollectorHealth,
    share: &mut watch::Receiver<CollectorShare>,
) -> String {
    share.mark_changed();
    loop {
        let changed = share.has_changed().unwrap_or(false).then(|| {
            let changed = share.borrow_and_update().clone();
            connection.set_engines(&changed.engines);
            changed
        });
        let (cx, collector) = (connection.cx, connection.collector);
        let (engines, kv_cache_stores) = changed
            .map(|share| (share.engines, share.kv_cache_stores))
            .unzip();
        let request = CollectRequest {
            engines,
            kv_cache_stores: kv_cache_stores.unwrap_or_default(),
            targets: cx.lock().dispatcher.list_target_versions(),
        };
        let mut context: Context = tarpc::context::current();
        context.deadline = Instant::now() + COLLECT_TIMEOUT;
        match connection.client.collect(context, request).await {
            Ok(Some(response)) => {
                health.record_response(collector);
                apply_response(cx, collector, response);
            }
            Ok(None) => return "the process is not an agent".into(),
            Err(e) => return e.to_string(),
        }
    }
}

fn apply_response(cx: &GatewayContext, collector: SocketAddr, response: CollectResponse) {
    let now = cx.now();
    let mut state = cx.lock();
    state.learn_targets(
        &response.targets,
        format_args!("collector={collector}"),
        now,
    );
    for update in response.kv_cache_stores {
        let (address, dispatcher) = (update.address, &mut state.dispatcher);
        dispatcher.observe_kv_cache_store(address, &update.kv_changes, update.is_full_list);
        if !update.is_reachable {
            dispatcher.mark_kv_cache_store_unreachable(address);
        } else if !update.is_watched {
            dispatcher.mark_kv_cache_store_unwatched(address);
        }
    }
    for update in response.engines {
        state.dispatcher.observe_cached_parts(
            &update.name,
            &update.kv_changes,
            update.is_full_list,
        );
        state
            .dispatcher
            .observe_agent_report(&update.name, update.report, now);
    }
}
