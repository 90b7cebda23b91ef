//! Sees to engines that have no agent: orders their weights, under a claim in
//! the store, so that only one process orders an engine at a time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures::future::join_all;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::claim_rank::rank_of;
use super::context::GatewayContext;
use super::follow_agents::list_engines;
use super::probe_port::is_refused;
use super::substitute_right::CONNECT_TIMEOUT;
use super::substitute_right::SubstituteRight;
use crate::core::MonotonicTime;
use crate::core::ServerName;
use crate::core::fleet::CLAIM_TTL;
use crate::core::fleet::ClaimStep;
use crate::core::fleet::EngineAgent;
use crate::core::fleet::OrderClaim;
use crate::core::fleet::TargetVersion;
use crate::ports::PortError;
use crate::settings::SidecarSettings;
use crate::sidecar::EnginePause;
use crate::sidecar::OrderRight;
use crate::sidecar::SidecarContext;
use crate::sidecar::SidecarPorts;
use crate::sidecar::reconcile_engine;

/// Interval between checks of the agents and of the claims.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without an agent after which an engine gets a substitute. Agents that
/// restart are back sooner.
const ABSENCE_TIME: Duration = Duration::from_secs(5);

/// Longest time between two checks of the agents. After a longer one, such as while the
/// process stood still, the silence before it does not count: an agent may have been in
/// contact with other entries meanwhile.
const MAX_CHECK_GAP: Duration = Duration::from_secs(2);

/// Additional time for each entry that comes before this one in the order in
/// which entries claim a group.
const RANK_DELAY: Duration = Duration::from_secs(2);

/// Number of entries that claim a group; the others only take their places when
/// these are no longer known.
const MAX_CLAIMANTS: u32 = 4;

/// Number of groups that engines are claimed in: few claims, spread over several
/// entries.
const GROUP_COUNT: u64 = 16;

/// Interval between reads of a distant engine's report, which count as probes.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Engines of one group that this entry sees to.
#[derive(Default)]
struct Group {
    claim: Arc<Mutex<OrderClaim>>,
    substitutes: HashMap<ServerName, Substitute>,
}

/// Task that orders one engine, with what the order loop knows of it.
struct Substitute {
    engine: Arc<SidecarContext>,
    right: Arc<SubstituteRight>,
    task: JoinHandle<()>,
}

/// Pauses of an engine that this entry sees to. They hold for its calls as well.
struct GatewayPause {
    cx: Arc<GatewayContext>,
    engine: ServerName,
}

impl EnginePause for GatewayPause {
    fn is_paused(&self) -> bool {
        let now = self.cx.now();
        let state = self.cx.lock();
        let view = state.dispatcher.find_backend(&self.engine);
        view.is_some_and(|view| view.is_paused(now))
    }

    fn record(&self, pause: Duration) {
        let now = self.cx.now();
        let mut state = self.cx.lock();
        state
            .dispatcher
            .record_engine_pause(&self.engine, pause, now);
    }
}

impl Drop for Substitute {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Engine without an agent, as found by one check.
struct AbsentAgent {
    name: ServerName,
    agent: SocketAddr,
    address: SocketAddr,
    batch_position: (u64, u64),
}

/// Sees to engines without an agent for as long as the gateway runs.
pub async fn substitute_agents(cx: Arc<GatewayContext>) {
    let mut absent_since: HashMap<ServerName, MonotonicTime> = HashMap::new();
    let mut groups: HashMap<u64, Group> = HashMap::new();
    let mut checked_at = cx.now();
    loop {
        sleep(CHECK_INTERVAL).await;
        if cx.now().since(checked_at) > MAX_CHECK_GAP {
            absent_since.clear();
        }
        checked_at = cx.now();
        let absent = find_absent_agents(&cx, &mut absent_since).await;
        let targets = cx.lock().dispatcher.list_target_versions();
        for group in 0..GROUP_COUNT {
            let members: Vec<&AbsentAgent> = absent
                .iter()
                .filter(|engine| group_of(engine.agent) == group)
                .collect();
            if members.is_empty() && !groups.contains_key(&group) {
                continue;
            }
            let state = groups.entry(group).or_default();
            let is_needed = !members.is_empty() || !state.substitutes.is_empty();
            update_claim(&cx, group, state, is_needed, &targets).await;
            update_substitutes(&cx, state, &members, &targets);
            let is_idle = members.is_empty() && state.substitutes.is_empty();
            if is_idle && lock_claim(&state.claim).is_idle() {
                groups.remove(&group);
            }
        }
    }
}

/// Returns the engines whose agent has been silent for [`ABSENCE_TIME`], and
/// longer depending on this entry's rank, and whose host refuses a connection to
/// it. A host that does not answer may be cut off, together with its engine.
async fn find_absent_agents(
    cx: &GatewayContext,
    absent_since: &mut HashMap<ServerName, MonotonicTime>,
) -> Vec<AbsentAgent> {
    let now = cx.now();
    record_silence(cx, absent_since, now);
    if absent_since.is_empty() {
        return Vec::new();
    }
    let peers = cx.known_entries.list_names(now);
    let is_due = |engine: &EngineAgent| {
        let Some(since) = absent_since.get(&engine.name) else {
            return false;
        };
        let age = now.since(*since);
        if age < ABSENCE_TIME {
            return false;
        }
        let rank = rank_of(&cx.settings.name, &peers, group_of(engine.agent));
        rank < MAX_CLAIMANTS && age >= ABSENCE_TIME + RANK_DELAY * rank
    };
    let mut silent = list_engines(cx);
    silent.retain(|(engine, _)| is_due(engine));
    let checks = silent
        .iter()
        .map(|(engine, _)| is_refused(engine.agent, CONNECT_TIMEOUT));
    let are_refused = join_all(checks).await;
    let state = cx.lock();
    silent
        .into_iter()
        .zip(are_refused)
        .filter(|(_, is_refused)| *is_refused)
        .filter_map(|((engine, batch_position), _)| {
            let view = state.dispatcher.find_backend(&engine.name)?;
            Some(AbsentAgent {
                address: view.member.address,
                name: engine.name,
                agent: engine.agent,
                batch_position,
            })
        })
        .collect()
}

/// Records since when the agent of each listed engine has been silent.
fn record_silence(
    cx: &GatewayContext,
    absent_since: &mut HashMap<ServerName, MonotonicTime>,
    now: MonotonicTime,
) {
    let state = cx.lock();
    absent_since.retain(|name, _| {
        let view = state.dispatcher.find_backend(name);
        view.is_some_and(|view| !view.has_recent_agent_report(now))
    });
    for view in state.dispatcher.list_backends() {
        if !view.member.models.is_empty() && !view.has_recent_agent_report(now) {
            absent_since.entry(view.member.name.clone()).or_insert(now);
        }
    }
}

/// Returns the group of an engine, which one entry sees to.
pub(super) fn group_of(agent: SocketAddr) -> u64 {
    xxh3_64(agent.to_string().as_bytes()) % GROUP_COUNT
}

fn lock_claim(claim: &Mutex<OrderClaim>) -> MutexGuard<'_, OrderClaim> {
    claim.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends the request to the store that the claim needs next.
async fn update_claim(
    cx: &GatewayContext,
    group: u64,
    state: &Group,
    is_needed: bool,
    targets: &[TargetVersion],
) {
    let newest_revision = targets.iter().map(|target| target.revision).max();
    let now = cx.now();
    if let Some(restored_at) = cx.lock().store_restored_at {
        lock_claim(&state.claim).record_restore(restored_at);
    }
    let terms = state.substitutes.values();
    let newest_term = terms
        .filter_map(|substitute| substitute.right.term_began_at(now))
        .max();
    let step = lock_claim(&state.claim).next_step(
        is_needed,
        newest_revision.unwrap_or(0),
        newest_term.unwrap_or(MonotonicTime::ZERO),
        now,
    );
    let (name, holder) = (group.to_string(), cx.settings.name.as_str());
    let claims = &cx.ports.claims;
    let result: Result<(), PortError> = match step {
        ClaimStep::Wait => return,
        ClaimStep::Acquire => claims.acquire(&name, holder, CLAIM_TTL).await.map(|grant| {
            let mut claim = lock_claim(&state.claim);
            match grant {
                Some(grant) => claim.record_acquired(grant, now, cx.now()),
                None => claim.record_lost(cx.now()),
            }
        }),
        ClaimStep::Renew(grant) => claims.renew(grant).await.map(|is_held| {
            let mut claim = lock_claim(&state.claim);
            if is_held {
                claim.record_renewed(now);
            } else {
                claim.record_lost(cx.now());
            }
        }),
        ClaimStep::Refresh(grant) => claims.refresh(&name, holder, grant).await.map(|fence| {
            let mut claim = lock_claim(&state.claim);
            match fence {
                Some(fence) => claim.record_refreshed(fence, now),
                None => claim.record_lost(cx.now()),
            }
        }),
        ClaimStep::Release(lease) => {
            lock_claim(&state.claim).record_lost(cx.now());
            claims.release(lease).await
        }
    };
    match &result {
        Ok(()) if matches!(step, ClaimStep::Renew(_)) => {}
        Ok(()) => log::info!("orders: claim group={group} step={step:?}"),
        Err(e) => {
            log::warn!("orders: claim failed group={group} step={step:?} reason=\"{e}\"");
            if *e == PortError::StoreRestored {
                cx.lock().record_restore(cx.now());
            }
            lock_claim(&state.claim).record_failure(cx.now());
        }
    }
}

/// Starts a substitute for each engine of a held group that has none and passes
/// on targets. A substitute ends as soon as its agent is back or has been heard by
/// this entry, and leaves everything that it has not ordered to the agent.
fn update_substitutes(
    cx: &Arc<GatewayContext>,
    state: &mut Group,
    members: &[&AbsentAgent],
    targets: &[TargetVersion],
) {
    if lock_claim(&state.claim).held_fence(cx.now()).is_none() {
        state.substitutes.clear();
        return;
    }
    for engine in members {
        let substitute = state
            .substitutes
            .entry(engine.name.clone())
            .or_insert_with(|| start_substitute(cx, &state.claim, engine));
        let now = substitute.engine.now();
        let mut engine_state = substitute.engine.lock();
        engine_state.engine_run = Some(engine.name.to_string());
        let (index, count) = engine.batch_position;
        engine_state.weights_change.set_batch_position(index, count);
        for target in targets {
            engine_state.weights_change.observe_target(target, now);
        }
    }
    let now = cx.now();
    let gateway_state = cx.lock();
    state.substitutes.retain(|name, substitute| {
        let Some(view) = gateway_state.dispatcher.find_backend(name) else {
            return false;
        };
        let is_back = view.has_recent_agent_report(now) || substitute.right.is_agent_back();
        if is_back {
            log::info!("orders: agent returned server={name}");
        }
        !is_back
    });
}

fn start_substitute(
    cx: &Arc<GatewayContext>,
    claim: &Arc<Mutex<OrderClaim>>,
    absent: &AbsentAgent,
) -> Substitute {
    log::info!(
        "orders: no agent server={} agent={}",
        absent.name,
        absent.agent
    );
    let settings = SidecarSettings {
        name: cx.settings.name.clone(),
        zone: cx.settings.zone.clone(),
        listen: absent.agent,
        metrics: None,
        engine: absent.address,
        version_time: cx.settings.bounds.version_time,
        is_first_start: false,
        options: Vec::new(),
        memory: cx.settings.memory.clone(),
        log: cx.settings.log,
    };
    let ports = SidecarPorts {
        engine: Arc::clone(&cx.ports.engine),
        kv_cache: Arc::clone(&cx.ports.kv_cache),
    };
    let right = Arc::new(SubstituteRight::new(
        Arc::clone(cx),
        absent.agent,
        Arc::clone(claim),
    ));
    let engine = Arc::new(SidecarContext::for_distant_engine(
        settings,
        ports,
        Arc::clone(&right) as Arc<dyn OrderRight>,
        REPORT_INTERVAL,
        Box::new(GatewayPause {
            cx: Arc::clone(cx),
            engine: absent.name.clone(),
        }),
    ));
    Substitute {
        right,
        task: tokio::spawn(reconcile_engine(Arc::clone(&engine))),
        engine,
    }
}
