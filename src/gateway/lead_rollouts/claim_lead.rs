//! Claims the lead of a rollout in the store, and writes its state there.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use xxhash_rust::xxh3::xxh3_64;

use super::Follower;
use super::REPORT_INTERVAL;
use super::Snapshot;
use super::StoreOutcome;
use crate::clock::read_wall_clock_ms;
use crate::core::MonotonicTime;
use crate::core::fleet::CLAIM_TTL;
use crate::core::fleet::ClaimGrant;
use crate::core::fleet::ClaimStep;
use crate::core::fleet::OrderClaim;
use crate::core::fleet::RolloutBounds;
use crate::core::fleet::RolloutLeader;
use crate::core::fleet::RolloutPhase;
use crate::core::fleet::RolloutRecord;
use crate::gateway::claim_rank::rank_of;
use crate::gateway::led_rollouts::LedRollout;
use crate::ports::PortError;
use crate::ports::RolloutWrite;
use crate::ports::StoredRollout;

/// Time without a plan after which the leader counts as lost; its lease may still run.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);

/// Additional time for each entry that comes before this one in the order in which
/// entries claim the lead.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// Interval between attempts to claim the lead, and between failed requests.
const CLAIM_INTERVAL: Duration = Duration::from_millis(700);

/// Time after which a leader that hears no other entry, although it knows some, gives up
/// the lead, and for which it leaves it to others.
const UNHEARD_TIME: Duration = Duration::from_secs(2);

/// Time for which a leader goes on to answer after the end of a rollout.
const FINAL_LINGER: Duration = Duration::from_secs(3);

/// Time after the end of a rollout from which entries check that it is in the store.
const END_CHECK_DELAY: Duration = Duration::from_secs(2);

impl Follower {
    /// Gives up a claim that a restore of the store may have lost. One that was granted
    /// since is kept: the tasks that read the store notice the same restore at different
    /// times.
    pub(super) fn drop_claim_after_restore(&mut self) {
        let Some(grant) = self.claim.held_grant(self.cx.now()) else {
            return;
        };
        if self.cx.ports.claims.predates_restore(grant) {
            log::info!(
                "rollouts: claim lost service={} reason=restored",
                self.service
            );
            self.claim = OrderClaim::default();
            self.record_revision = None;
        }
    }

    /// Starts the request to the store that is due, if none is under way.
    pub(super) fn start_request(&mut self, snapshot: &Snapshot, is_leading: bool) {
        if self.request.is_some() {
            return;
        }
        let now = self.cx.now();
        let (cx, service, group) = (
            Arc::clone(&self.cx),
            self.service.clone(),
            self.group.clone(),
        );
        let is_held = self.claim.held_fence(now).is_some();
        let needs_read = snapshot.needs_record
            || (is_held && self.record_revision.is_none())
            || (!is_held && self.is_end_check_due(snapshot, now));
        let is_needed = self.is_claim_needed(snapshot, is_leading, now);
        let step = self.claim.next_step(is_needed, 0, MonotonicTime::ZERO, now);
        let request =
            match step {
                ClaimStep::Renew(grant) => tokio::spawn(async move {
                    let sent_at = cx.now();
                    StoreOutcome::Renewed(cx.ports.claims.renew(grant).await, sent_at)
                }),
                ClaimStep::Release(lease) => {
                    log::info!("rollouts: claim released service={service}");
                    self.claim = OrderClaim::default();
                    self.cx.rollouts.lock().remove(&service);
                    self.record_revision = None;
                    tokio::spawn(async move {
                        StoreOutcome::Released(cx.ports.claims.release(lease).await)
                    })
                }
                _ if needs_read && now >= self.next_claim_at => tokio::spawn(async move {
                    StoreOutcome::Read(cx.ports.rollouts.read(&service).await)
                }),
                ClaimStep::Acquire => {
                    self.next_claim_at = now + CLAIM_INTERVAL;
                    tokio::spawn(async move {
                        let sent_at = cx.now();
                        let (claims, holder) = (&cx.ports.claims, cx.settings.name.as_str());
                        let grant = claims.acquire(&group, holder, CLAIM_TTL).await;
                        StoreOutcome::Acquired(grant, sent_at)
                    })
                }
                ClaimStep::Wait | ClaimStep::Refresh(_) => {
                    let Some((grant, write)) = self.find_write(now) else {
                        return;
                    };
                    tokio::spawn(async move {
                        let rollouts = &cx.ports.rollouts;
                        let written = rollouts.write(&service, &group, grant, &write).await;
                        StoreOutcome::Written(write.record, written)
                    })
                }
            };
        self.request = Some(request);
    }

    /// Returns whether this entry has to check that the end of the rollout is in the
    /// store: its leader may have ended before that.
    pub(super) fn is_end_check_due(&mut self, snapshot: &Snapshot, now: MonotonicTime) -> bool {
        if !snapshot.phase.is_final() || self.is_end_stored || self.is_rewrite_due {
            return false;
        }
        let ended_at = *self.ended_at.get_or_insert(now);
        now.since(ended_at) >= END_CHECK_DELAY + RANK_DELAY * self.rank(now)
    }

    /// Returns whether this entry has to hold the claim, or to try for it.
    pub(super) fn is_claim_needed(
        &mut self,
        snapshot: &Snapshot,
        is_leading: bool,
        now: MonotonicTime,
    ) -> bool {
        let is_open = !snapshot.phase.is_final() || self.is_rewrite_due;
        let can_lead = snapshot.order.duration.is_some() && !snapshot.needs_record;
        if is_leading {
            return self.is_lead_useful(is_open, now);
        }
        if !self.claim.is_idle() {
            return is_open && can_lead;
        }
        if !is_open || !can_lead || now < self.next_claim_at || self.cx.is_draining() {
            return false;
        }
        let silence = now.since(self.heard_leader_at);
        let base = if snapshot.leader.is_some() && !snapshot.phase.is_final() {
            LEADER_TIMEOUT
        } else {
            Duration::ZERO
        };
        silence >= base + RANK_DELAY * self.rank(now)
    }

    /// Returns whether the leader should go on: a rollout that has ended is told to the
    /// others for a while, and one without contact is left to them.
    pub(super) fn is_lead_useful(&mut self, is_open: bool, now: MonotonicTime) -> bool {
        if self.cx.is_draining() {
            return false;
        }
        if !is_open {
            let ended_at = *self.ended_at.get_or_insert(now);
            let leaders = self.cx.rollouts.lock();
            let led = leaders.get(&self.service);
            let is_written = led.is_none_or(|led| led.leader.pending_write().is_none());
            self.is_end_stored = is_written;
            return !is_written || now.since(ended_at) < FINAL_LINGER;
        }
        let knows_others = !self.cx.known_entries.list_names(now).is_empty();
        if knows_others && now.since(self.heard_entry_at) >= UNHEARD_TIME {
            log::warn!(
                "rollouts: lead given up service={} reason=\"no entry reports\"",
                self.service
            );
            self.next_claim_at = now + UNHEARD_TIME;
            return false;
        }
        true
    }

    /// Returns the number of known entries that claim the lead before this one.
    pub(super) fn rank(&self, now: MonotonicTime) -> u32 {
        let names = self.cx.known_entries.list_names(now);
        let task = xxh3_64(self.service.as_bytes());
        rank_of(&self.cx.settings.name, &names, task).min(1_000)
    }

    pub(super) fn find_write(&self, now: MonotonicTime) -> Option<(ClaimGrant, RolloutWrite)> {
        if now < self.next_claim_at {
            return None;
        }
        let expected_revision = self.record_revision?;
        let grant = self.claim.held_grant(now)?;
        let leaders = self.cx.rollouts.lock();
        let leader = &leaders.get(&self.service)?.leader;
        let (record, has_new_status) = leader.pending_write()?;
        let status = has_new_status.then_some(record.phase);
        let order_revision = leader.order().revision;
        let write = RolloutWrite {
            record,
            expected_revision,
            order_revision,
            status,
        };
        Some((grant, write))
    }

    /// Applies the outcome of the request to the store, if it has ended.
    pub(super) async fn collect_outcome(&mut self) {
        if !self.request.as_ref().is_some_and(JoinHandle::is_finished) {
            return;
        }
        let Some(request) = self.request.take() else {
            return;
        };
        let Ok(outcome) = request.await else { return };
        let now = self.cx.now();
        match outcome {
            StoreOutcome::Read(Ok(stored)) => self.apply_read(stored, now),
            StoreOutcome::Acquired(Ok(Some(grant)), sent_at) => {
                log::info!(
                    "rollouts: claim held service={} fence={}",
                    self.service,
                    grant.fence
                );
                self.claim = OrderClaim::default();
                self.claim.record_acquired(grant, sent_at, now);
                self.record_revision = None;
                self.next_claim_at = now;
                self.heard_entry_at = now;
            }
            StoreOutcome::Acquired(Ok(None), _) => {
                // The holder may write the end of the rollout, so it is read again.
                self.is_rewrite_due = false;
                self.ended_at = None;
            }
            StoreOutcome::Renewed(Ok(true), sent_at) => {
                self.claim.record_renewed(sent_at);
                self.update_led_claim();
            }
            StoreOutcome::Renewed(Ok(false), _) => {
                log::warn!("rollouts: claim lost service={}", self.service);
                self.claim = OrderClaim::default();
            }
            StoreOutcome::Written(record, Ok(Some(revision))) => {
                self.record_revision = Some(revision);
                self.confirm_write(record, now);
            }
            StoreOutcome::Written(record, Ok(None)) => {
                log::warn!(
                    "rollouts: not written service={} phase={:?} reason=\"changed meanwhile\"",
                    self.service,
                    record.phase
                );
                self.record_revision = None;
                self.next_claim_at = now + REPORT_INTERVAL;
            }
            StoreOutcome::Released(Ok(())) => {}
            StoreOutcome::Read(Err(e))
            | StoreOutcome::Acquired(Err(e), _)
            | StoreOutcome::Renewed(Err(e), _)
            | StoreOutcome::Written(_, Err(e))
            | StoreOutcome::Released(Err(e)) => self.record_failure(&e, now),
        }
    }

    /// Records that a request failed. A write may have taken effect, so the record is
    /// read before the next one.
    pub(super) fn record_failure(&mut self, e: &PortError, now: MonotonicTime) {
        log::warn!(
            "rollouts: store failed service={} reason=\"{e}\"",
            self.service
        );
        if *e == PortError::StoreRestored {
            self.cx.lock().record_restore(now);
        }
        self.record_revision = None;
        self.claim.record_failure(now);
        self.next_claim_at = now + CLAIM_INTERVAL / 2;
    }

    pub(super) fn update_led_claim(&self) {
        if let Some(led) = self.cx.rollouts.lock().get_mut(&self.service) {
            led.claim = self.claim;
        }
    }

    pub(super) fn confirm_write(&mut self, record: RolloutRecord, now: MonotonicTime) {
        if record.phase.is_final() {
            self.is_end_stored = true;
            self.is_rewrite_due = false;
        }
        log::info!(
            "rollouts: written service={} target={} phase={:?} granted_bound={} requests={}",
            self.service,
            record.target,
            record.phase,
            record.granted_bound,
            record.requests
        );
        let announced = {
            let mut leaders = self.cx.rollouts.lock();
            leaders.get_mut(&self.service).map(|led| {
                led.leader.confirm_write(record, now);
                (led.leader.fence(), led.leader.phase())
            })
        };
        if let Some((fence, phase)) = announced {
            self.learn_own_phase(fence, phase, now);
        }
        self.cx.announce_news();
    }

    /// Takes the state record: what an entry has to know that was not there from the
    /// start, and what a new leader goes on from.
    pub(super) fn apply_read(&mut self, stored: Option<StoredRollout>, now: MonotonicTime) {
        let Some(snapshot) = self.read_snapshot() else {
            return;
        };
        let order = &snapshot.order;
        let revision = stored.as_ref().map_or(0, |stored| stored.revision);
        let record = stored.and_then(|stored| stored.record);
        let own_record = record
            .as_ref()
            .filter(|record| order.duration.is_none() || record.is_of(order))
            .filter(|record| record.target == order.target);
        let stored_phase = own_record.map(|record| record.phase);
        {
            let mut state = self.cx.lock();
            if let Some(rollout) = state.rollouts.find_mut(&self.service) {
                let known = own_record.map(|record| (record.phase, record.given_up.as_slice()));
                rollout.observe_record(known, now);
            }
        }
        let is_end_stored = stored_phase.is_some_and(RolloutPhase::is_final);
        self.is_end_stored = is_end_stored;
        self.is_rewrite_due = snapshot.phase.is_final() && !is_end_stored;
        if self.claim.held_fence(now).is_none() {
            return;
        }
        self.record_revision = Some(revision);
        let mut leaders = self.cx.rollouts.lock();
        if let Some(led) = leaders.get_mut(&self.service)
            && led.leader.order().has_same_content(order)
        {
            led.leader.correct_stored(own_record.cloned(), now);
            return;
        }
        drop(leaders);
        self.start_leading(&snapshot, record, now);
    }

    pub(super) fn start_leading(
        &mut self,
        snapshot: &Snapshot,
        stored: Option<RolloutRecord>,
        now: MonotonicTime,
    ) {
        let Some(fence) = self.claim.held_fence(now) else {
            return;
        };
        let order = &snapshot.order;
        let wall_ms = read_wall_clock_ms();
        let known_ms = snapshot.known_age.map_or(0, |age| age.as_millis() as u64);
        let ordered_at_ms = wall_ms.saturating_sub(known_ms);
        let given_up = {
            let state = self.cx.lock();
            let rollout = state.rollouts.find(&self.service);
            rollout.map_or(Vec::new(), |rollout| rollout.given_up().to_vec())
        };
        let extends = stored
            .as_ref()
            .is_some_and(|record| record.target == order.target && !record.phase.is_final());
        let is_stored = stored.as_ref().is_some_and(|record| record.is_of(order));
        let record = match stored {
            Some(record) if is_stored => record,
            Some(record) => record.succeed(order, ordered_at_ms),
            None => RolloutRecord::start(order, ordered_at_ms, given_up),
        };
        // The clock of another host may differ by more than the rollout takes.
        let by_wall_clock = Duration::from_millis(wall_ms.saturating_sub(record.ordered_at_ms));
        let age = snapshot
            .known_age
            .unwrap_or(by_wall_clock.min(order.duration.unwrap_or_default()));
        log::info!(
            "rollouts: leading service={} target={} fence={fence} phase={:?} granted_bound={} is_stored={is_stored} age_ms={}",
            self.service,
            order.target,
            record.phase,
            record.granted_bound,
            age.as_millis()
        );
        let bounds = &self.cx.settings.bounds;
        let bounds = RolloutBounds {
            share: bounds.rollout_exposure_share,
            slack: bounds.rollout_exposure_slack,
        };
        let mut leader =
            RolloutLeader::new(order.clone(), record, is_stored, fence, age, bounds, now);
        if extends {
            leader.keep_status();
        }
        let led = LedRollout {
            leader,
            claim: self.claim,
        };
        self.cx.rollouts.lock().insert(self.service.clone(), led);
        self.idle_servers.clear();
        self.heard_entry_at = now;
    }
}
