//! Reports what this entry counts for a rollout to its leader.

use std::mem::replace;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Follower;
use super::REPORT_INTERVAL;
use super::Snapshot;
use super::TICK;
use crate::core::MonotonicTime;
use crate::core::fleet::RolloutPhase;
use crate::core::fleet::RolloutPlan;
use crate::core::fleet::RolloutReport;
use crate::mesh::connect_mesh;

/// Maximum number of reports a second at one leader; in a large fleet the interval is
/// longer.
const MAX_REPORTS_PER_S: u32 = 1_000;

/// Timeout of a report, below the validity of the plan that answers it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

impl Follower {
    pub(super) fn learn_own_phase(&self, fence: u64, phase: RolloutPhase, now: MonotonicTime) {
        let own = self.cx.settings.listen.peers;
        if let Some(rollout) = self.cx.lock().rollouts.find_mut(&self.service) {
            rollout.learn_leader(own, fence, phase, now);
        }
    }

    pub(super) fn build_report(&self, now: MonotonicTime) -> Option<RolloutReport> {
        let mut state = self.cx.lock();
        let state = &mut *state;
        let rollout = state.rollouts.find_mut(&self.service)?;
        let target = rollout.order().target.clone();
        let views = state.dispatcher.list_service_backends(&self.service);
        let old_running = views
            .filter(|view| view.member.build != target)
            .map(|view| view.own_calls())
            .sum();
        let name = &self.cx.settings.name;
        Some(rollout.build_report(name, self.cx.incarnation, old_running, now))
    }

    /// Applies a plan of this gateway's own leader.
    pub(super) fn apply_plan(&self, plan: &RolloutPlan, now: MonotonicTime) {
        let own = self.cx.settings.listen.peers;
        if let Some(rollout) = self.cx.lock().rollouts.find_mut(&self.service) {
            rollout.learn_leader(own, plan.fence, plan.phase, now);
            rollout.apply_plan(plan, now, now);
        }
    }

    /// Reports to the leader that is known, at intervals, and applies its plan.
    pub(super) async fn report(&mut self, snapshot: &Snapshot) {
        let now = self.cx.now();
        let Some((address, _)) = snapshot.leader else {
            return;
        };
        if now < self.next_report_at || address == self.cx.settings.listen.peers {
            return;
        }
        let entry_count = u32::try_from(self.cx.lock().quota.count_entries()).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1) * entry_count / MAX_REPORTS_PER_S;
        self.next_report_at = now + (interval.max(REPORT_INTERVAL) - TICK / 2);
        let result = self.report_to(address).await;
        let was_failing = replace(&mut self.is_report_failing, result.is_err());
        if let Err(reason) = result {
            self.client = None;
            if was_failing {
                return;
            }
            log::info!(
                "rollouts: not reported service={} leader={address} reason=\"{reason}\"",
                self.service
            );
        }
    }

    pub(super) async fn report_to(&mut self, address: SocketAddr) -> Result<(), String> {
        let client = match self.client.take() {
            Some((connected, client)) if connected == address => client,
            _ => connect_mesh(address).await.map_err(|e| e.to_string())?,
        };
        let sent_at = self.cx.now();
        let Some(report) = self.build_report(sent_at) else {
            return Ok(());
        };
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + REPORT_TIMEOUT;
        let plan = client
            .report_rollout(context, report)
            .await
            .map_err(|e| e.to_string())?;
        self.client = Some((address, client));
        let Some(plan) = plan else {
            return Err("it does not lead".into());
        };
        let now = self.cx.now();
        let mut state = self.cx.lock();
        let Some(rollout) = state.rollouts.find_mut(&self.service) else {
            return Ok(());
        };
        self.heard_leader_at = now;
        if rollout.apply_plan(&plan, sent_at, now) {
            log::info!(
                "rollouts: phase service={} phase={:?} fence={} source=leader",
                self.service,
                plan.phase,
                plan.fence
            );
            drop(state);
            if plan.phase.is_final() {
                self.cx.announce_news();
            }
        }
        Ok(())
    }
}
