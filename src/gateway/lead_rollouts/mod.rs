//! Follows orders to move services to a build: reports to the leader of each rollout,
//! or leads it under a claim in the store.

mod check_servers;
mod claim_lead;
mod report_to_leader;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::context::GatewayContext;
use super::state::GatewayState;
use crate::core::MonotonicTime;
use crate::core::ServerName;
use crate::core::fleet::ClaimGrant;
use crate::core::fleet::OrderClaim;
use crate::core::fleet::RolloutNews;
use crate::core::fleet::RolloutOrder;
use crate::core::fleet::RolloutPhase;
use crate::core::fleet::RolloutRecord;
use crate::mesh::MeshClient;
use crate::ports::PortError;
use crate::ports::StoredRollout;

/// Interval between the decisions of a leader, and checks of the store's responses.
const TICK: Duration = Duration::from_millis(50);

/// Interval between the reports of an entry.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Takes an order from the store.
pub fn observe_rollout_order(
    cx: &GatewayContext,
    state: &mut GatewayState,
    order: RolloutOrder,
    is_new: bool,
    now: MonotonicTime,
) {
    let table = state.route_table.as_ref();
    let is_unknown = table.is_some_and(|table| {
        let mut services = table.configuration().services.iter();
        !services.any(|service| service.name == order.service)
    });
    let (service, target, revision) = (order.service.clone(), order.target.clone(), order.revision);
    let ms = order.duration.map_or(0, |duration| duration.as_millis());
    let result = if is_unknown {
        Err("unknown-service")
    } else {
        state.rollouts.observe_order(order, is_new, now)
    };
    match result {
        Ok(is_changed) => {
            log::info!(
                "rollouts: order service={service} target={target} ms={ms} revision={revision} is_new={is_new} is_changed={is_changed}"
            );
            cx.rollouts.announce_order();
        }
        Err(reason) => {
            log::warn!(
                "rollouts: order rejected service={service} target={target} revision={revision} reason={reason}"
            );
            cx.metrics.count_rejected_rollout(reason);
        }
    }
}

/// Learns what a peer knows of rollouts. An end of one is passed on at once.
pub fn learn_rollouts(
    cx: &GatewayContext,
    state: &mut GatewayState,
    news: &[RolloutNews],
    now: MonotonicTime,
) {
    for rollout in news {
        let is_unknown = state.rollouts.find(&rollout.service).is_none();
        let is_changed = state.rollouts.learn(rollout, now);
        if is_changed {
            log::info!(
                "rollouts: phase service={} phase={:?} fence={} source=peer",
                rollout.service,
                rollout.phase,
                rollout.fence
            );
        }
        if is_unknown || is_changed {
            cx.rollouts.announce_order();
        }
        if is_changed && rollout.phase.is_final() {
            cx.announce_news();
        }
    }
}

/// Follows all orders for as long as the gateway runs. Without orders, nothing is done.
pub async fn lead_rollouts(cx: Arc<GatewayContext>) {
    let mut orders = cx.rollouts.order_count.subscribe();
    let mut tasks: HashMap<String, JoinHandle<()>> = HashMap::new();
    loop {
        orders.borrow_and_update();
        let services: Vec<String> = {
            let state = cx.lock();
            let rollouts = state.rollouts.list();
            rollouts.map(|r| r.order().service.clone()).collect()
        };
        for service in services {
            if tasks.get(&service).is_none_or(JoinHandle::is_finished) {
                let task = follow_rollout(Arc::clone(&cx), service.clone());
                tasks.insert(service, tokio::spawn(task));
            }
        }
        // The sender is in the context, so it still exists.
        let _ = orders.changed().await;
    }
}

async fn follow_rollout(cx: Arc<GatewayContext>, service: String) {
    let now = cx.now();
    let mut follower = Follower {
        group: format!("rollout-{service}"),
        claim: OrderClaim::default(),
        record_revision: None,
        request: None,
        heard_leader_at: now,
        next_claim_at: now,
        heard_entry_at: now,
        next_report_at: now,
        client: None,
        is_report_failing: false,
        is_rewrite_due: false,
        ended_at: None,
        is_end_stored: false,
        idle_servers: HashSet::new(),
        cx,
        service,
    };
    while follower.step().await {
        sleep(TICK).await;
    }
}

/// Outcome of a request to the store.
enum StoreOutcome {
    Read(Result<Option<StoredRollout>, PortError>),
    Acquired(Result<Option<ClaimGrant>, PortError>, MonotonicTime),
    Renewed(Result<bool, PortError>, MonotonicTime),
    Written(RolloutRecord, Result<Option<u64>, PortError>),
    Released(Result<(), PortError>),
}

/// Follows the rollout of one service.
struct Follower {
    cx: Arc<GatewayContext>,
    service: String,
    group: String,
    claim: OrderClaim,
    /// Revision of the state record, 0 for none; `None` if it has to be read.
    record_revision: Option<u64>,
    /// Request to the store that is under way. Decisions and reports go on meanwhile.
    request: Option<JoinHandle<StoreOutcome>>,
    /// When the leader last sent a plan.
    heard_leader_at: MonotonicTime,
    next_claim_at: MonotonicTime,
    /// When another entry last reported to this one.
    heard_entry_at: MonotonicTime,
    next_report_at: MonotonicTime,
    client: Option<(SocketAddr, MeshClient)>,
    /// Whether the last report failed; only the first failure is logged.
    is_report_failing: bool,
    /// The store lacks the end of the rollout that this entry remembers.
    is_rewrite_due: bool,
    /// When this entry first saw that the rollout has ended.
    ended_at: Option<MonotonicTime>,
    /// Whether the end of the rollout is known to be in the store.
    is_end_stored: bool,
    /// Old servers that have stated to run nothing since they were closed.
    idle_servers: HashSet<ServerName>,
}

/// What is known of the rollout at a step.
struct Snapshot {
    order: RolloutOrder,
    phase: RolloutPhase,
    needs_record: bool,
    known_age: Option<Duration>,
    leader: Option<(SocketAddr, u64)>,
}

impl Follower {
    /// Does what is due. Returns false once the rollout has ended and nothing is left to
    /// do for it.
    async fn step(&mut self) -> bool {
        self.collect_outcome().await;
        let Some(snapshot) = self.read_snapshot() else {
            return false;
        };
        self.drop_claim_after_restore();
        let now = self.cx.now();
        let is_leading = self.claim.held_fence(now).is_some()
            && self.cx.rollouts.lock().contains_key(&self.service);
        if is_leading {
            self.lead(&snapshot).await;
        } else {
            self.cx.rollouts.lock().remove(&self.service);
            if !snapshot.phase.is_final() {
                self.report(&snapshot).await;
            }
        }
        self.start_request(&snapshot, is_leading);
        if !snapshot.phase.is_final() {
            self.ended_at = None;
            self.is_end_stored = false;
        }
        let phase = snapshot.phase as i64;
        self.cx
            .metrics
            .set_rollout(&self.service, phase, is_leading);
        !(snapshot.phase.is_final()
            && !snapshot.needs_record
            && self.is_end_stored
            && self.claim.is_idle()
            && self.request.is_none())
    }

    fn read_snapshot(&self) -> Option<Snapshot> {
        let now = self.cx.now();
        let state = self.cx.lock();
        let rollout = state.rollouts.find(&self.service)?;
        Some(Snapshot {
            order: rollout.order().clone(),
            phase: rollout.phase(),
            needs_record: rollout.needs_record(),
            known_age: rollout.known_age(now),
            leader: rollout.leader(),
        })
    }

    /// Reports to the own leader and lets it decide.
    async fn lead(&mut self, snapshot: &Snapshot) {
        if !self.follow_order(snapshot) {
            return;
        }
        let now = self.cx.now();
        let report = self.build_report(now);
        let (is_closing, is_whole) = {
            let mut leaders = self.cx.rollouts.lock();
            let Some(led) = leaders.get_mut(&self.service) else {
                return;
            };
            let plan = report.and_then(|report| led.leader.observe_report(report, now));
            if let Some(plan) = plan {
                self.apply_plan(&plan, now);
            }
            if led.leader.count_heard(&self.cx.settings.name, now) > 0 {
                self.heard_entry_at = now;
            }
            (led.leader.is_closing(), led.leader.phase().is_whole())
        };
        self.heard_leader_at = now;
        let entries = if is_whole {
            self.list_running_entries().await
        } else {
            let names = self.cx.known_entries.list_names(now).into_iter();
            names.chain([self.cx.settings.name.clone()]).collect()
        };
        let old_running = if is_closing {
            self.read_old_load(&snapshot.order).await
        } else {
            None
        };
        let servers = self.count_servers(&snapshot.order, old_running);
        let now = self.cx.now();
        if self.claim.held_fence(now).is_none() {
            return;
        }
        let mut leaders = self.cx.rollouts.lock();
        let Some(led) = leaders.get_mut(&self.service) else {
            return;
        };
        let Some(phase) = led.leader.advance(servers, &entries, now) else {
            return;
        };
        log::info!(
            "rollouts: decided service={} target={} phase={phase:?} fence={} age_ms={} charged={} requests={} reason=\"{}\"",
            self.service,
            snapshot.order.target,
            led.leader.fence(),
            led.leader.age(now).as_millis(),
            led.leader.charged(),
            led.leader.requests(),
            led.leader.reason()
        );
        if phase == RolloutPhase::RolledBack {
            let (fence, announced) = (led.leader.fence(), led.leader.phase());
            drop(leaders);
            self.learn_own_phase(fence, announced, now);
            self.cx.announce_news();
        }
    }

    /// Follows a newer order. Returns false if the leader of the earlier one has ended.
    fn follow_order(&mut self, snapshot: &Snapshot) -> bool {
        let mut leaders = self.cx.rollouts.lock();
        let Some(led) = leaders.get_mut(&self.service) else {
            return false;
        };
        if led.leader.order().revision == snapshot.order.revision {
            return true;
        }
        if led.leader.order().has_same_content(&snapshot.order) {
            let fence = led.leader.fence();
            led.leader.renew(snapshot.order.clone(), fence);
            return true;
        }
        log::info!(
            "rollouts: order replaced service={} target={} by={}",
            self.service,
            led.leader.order().target,
            snapshot.order.target
        );
        leaders.remove(&self.service);
        // The record is read again, and a leader of the new order starts from it.
        self.record_revision = None;
        false
    }
}
