//! Connects to the agent beside each engine and applies its updates.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tarpc::context::Context;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::clock_offsets::ClockOwner;
use super::context::GatewayContext;
use crate::clock::read_wall_clock_ms;
use crate::core::ServerName;
use crate::core::fleet::MemberState;
use crate::core::fleet::TargetVersion;
use crate::mesh::EngineUpdate;
use crate::mesh::MeshClient;
use crate::mesh::ObserveRequest;
use crate::mesh::connect_mesh;

/// Timeout of a request for an update; the agent holds the response back for at
/// most half a second.
const OBSERVE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Delay before reconnecting to an agent.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);

/// Interval between checks for added and removed engines.
const MEMBER_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs one follower task for each listed engine.
pub async fn follow_agents(cx: Arc<GatewayContext>) {
    let mut followers: HashMap<ServerName, JoinHandle<()>> = HashMap::new();
    loop {
        let engines = list_engines(&cx);
        followers.retain(|name, follower| {
            let is_listed = engines.iter().any(|(listed, _)| listed == name);
            if !is_listed {
                follower.abort();
                cx.agent_connections.remove(name);
            }
            is_listed
        });
        for (name, address) in engines {
            followers.entry(name).or_insert_with_key(|name| {
                let follower = follow_agent(Arc::clone(&cx), name.clone(), address);
                tokio::spawn(follower)
            });
        }
        sleep(MEMBER_POLL_INTERVAL).await;
    }
}

/// Lists the engines, which are the servers with models, and the addresses of
/// the agents beside them.
fn list_engines(cx: &GatewayContext) -> Vec<(ServerName, SocketAddr)> {
    let state = cx.lock();
    state
        .dispatcher
        .list_backends()
        .filter(|view| !view.member.models.is_empty())
        .map(|view| {
            let address = SocketAddr::new(view.member.address.ip(), cx.settings.agent_port);
            (view.member.name.clone(), address)
        })
        .collect()
}

async fn follow_agent(cx: Arc<GatewayContext>, name: ServerName, agent: SocketAddr) {
    let mut request = ObserveRequest {
        incarnation: 0,
        known_update: 0,
        next_kv_change: 0,
        engine_run: name.to_string(),
        targets: Vec::new(),
        batch_position: (0, 1),
    };
    let mut is_lost = false;
    loop {
        let reason = match connect_mesh(agent).await {
            Ok(client) => {
                if is_lost {
                    log::info!("agents: regained server={name} agent={agent}");
                    is_lost = false;
                }
                cx.agent_connections.insert(&name, client.clone());
                let reason = observe_until_failure(&cx, &name, &client, &mut request).await;
                cx.agent_connections.remove(&name);
                reason
            }
            Err(e) => e.to_string(),
        };
        if !is_lost {
            log::info!("agents: lost server={name} agent={agent} reason=\"{reason}\"");
            is_lost = true;
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Applies updates until the connection fails, and returns the reason.
async fn observe_until_failure(
    cx: &GatewayContext,
    name: &ServerName,
    client: &MeshClient,
    request: &mut ObserveRequest,
) -> String {
    loop {
        (request.targets, request.batch_position) = find_batch_position(cx, name);
        let mut context: Context = tarpc::context::current();
        context.deadline = Instant::now() + OBSERVE_TIMEOUT;
        match client.observe(context, request.clone()).await {
            Ok(Some(update)) => apply_update(cx, name, update, request),
            Ok(None) => return "the process has no engine".into(),
            Err(e) => return e.to_string(),
        }
    }
}

/// Returns the target versions, the position of an engine among the ready ones
/// of its service and their number. Engines are ordered by name, so that every
/// entry finds the same position.
fn find_batch_position(cx: &GatewayContext, name: &ServerName) -> (Vec<TargetVersion>, (u64, u64)) {
    let state = cx.lock();
    let targets = state.dispatcher.list_target_versions();
    let Some(engine) = state.dispatcher.find_backend(name) else {
        return (targets, (0, 1));
    };
    let service = state
        .dispatcher
        .list_service_backends(&engine.member.service);
    let (mut position, mut count) = (0, 0);
    for view in service.filter(|view| view.member.state == MemberState::Ready) {
        count += 1;
        position += u64::from(view.member.name < *name);
    }
    (targets, (position, count))
}

fn apply_update(
    cx: &GatewayContext,
    name: &ServerName,
    update: EngineUpdate,
    request: &mut ObserveRequest,
) {
    let owner = ClockOwner::Agent(name);
    cx.clock_offsets
        .record(owner, update.clock_ms, read_wall_clock_ms());
    let now = cx.now();
    let mut state = cx.lock();
    state.learn_targets(&update.targets, format_args!("agent server={name}"), now);
    request.incarnation = update.incarnation;
    request.known_update = update.sequence;
    request.next_kv_change = update.next_kv_change;
    state
        .dispatcher
        .observe_cached_parts(name, &update.kv_changes, update.is_full_list);
    state
        .dispatcher
        .observe_agent_report(name, update.report, now);
}
