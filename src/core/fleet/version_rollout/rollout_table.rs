//! Rollouts of all services that an entry knows.

use std::collections::HashMap;
use std::time::Duration;

use super::RolloutNews;
use super::RolloutOrder;
use super::RolloutPhase;
use super::ServiceRollout;
use crate::core::MonotonicTime;
use crate::core::fleet::Build;

/// Time from the sending of a report for which the plan that answers it is valid.
const PLAN_VALIDITY: Duration = Duration::from_secs(1);

/// Rollouts by service. Empty while there are no orders.
#[derive(Debug)]
pub struct RolloutTable {
    rollouts: HashMap<String, ServiceRollout>,
    plan_validity: Duration,
}

impl Default for RolloutTable {
    fn default() -> Self {
        Self {
            rollouts: HashMap::new(),
            plan_validity: PLAN_VALIDITY,
        }
    }
}

impl RolloutTable {
    /// Creates a table without orders, of a fleet in which a bad build gets no calls
    /// after `rollback_time`. An entry that hears no leader stops within half of it; the
    /// rest is left for the decision.
    pub fn within(rollback_time: Duration) -> Self {
        Self {
            plan_validity: PLAN_VALIDITY.min(rollback_time / 2),
            ..Self::default()
        }
    }

    /// Returns the rollout of a service.
    pub fn find(&self, service: &str) -> Option<&ServiceRollout> {
        self.rollouts.get(service)
    }

    /// Returns the rollout of a service, to change it.
    pub fn find_mut(&mut self, service: &str) -> Option<&mut ServiceRollout> {
        self.rollouts.get_mut(service)
    }

    /// Returns all rollouts.
    pub fn list(&self) -> impl Iterator<Item = &ServiceRollout> {
        self.rollouts.values()
    }

    /// Takes an order from the store, just written or found in a full read. Returns
    /// whether it changes anything.
    ///
    /// # Errors
    ///
    /// The order is not started, for the reason given.
    pub fn observe_order(
        &mut self,
        order: RolloutOrder,
        is_new: bool,
        now: MonotonicTime,
    ) -> Result<bool, &'static str> {
        if order.duration.is_none_or(|duration| duration.is_zero()) {
            return Err("no-duration");
        }
        let Some(rollout) = self.rollouts.get_mut(&order.service) else {
            self.insert(order, is_new, Vec::new(), now);
            return Ok(true);
        };
        let known = rollout.order();
        if order.has_same_content(known) {
            rollout.renew(order);
            return Ok(false);
        }
        if order.revision < known.revision {
            return Ok(false);
        }
        let is_same_target = order.target == known.target;
        // News of a peer may have come before the order itself.
        let completes_news = known.revision == order.revision;
        if is_same_target && (completes_news || !rollout.phase().is_final()) {
            rollout.extend(order, is_new, now);
            return Ok(true);
        }
        let given_up = list_given_up(rollout, &order.target);
        self.insert(order, is_new, given_up, now);
        Ok(true)
    }

    /// Learns what a peer knows. Returns whether the phase of a rollout changed.
    pub fn learn(&mut self, news: &RolloutNews, now: MonotonicTime) -> bool {
        let is_known = self
            .rollouts
            .get(&news.service)
            .is_some_and(|rollout| rollout.order().revision >= news.revision);
        if !is_known {
            // The peer has seen an order that this entry has yet to see. Its duration,
            // which only a leader needs, comes with the order.
            let order = RolloutOrder {
                service: news.service.clone(),
                target: news.target.clone(),
                duration: None,
                revision: news.revision,
            };
            self.learn_order(order, now);
        }
        let Some(rollout) = self.rollouts.get_mut(&news.service) else {
            return false;
        };
        let is_same = rollout.order().revision == news.revision;
        match news.leader {
            Some(leader) if is_same => rollout.learn_leader(leader, news.fence, news.phase, now),
            _ => false,
        }
    }

    fn learn_order(&mut self, order: RolloutOrder, now: MonotonicTime) {
        let known = self.rollouts.get(&order.service);
        if let Some(known) = known
            && known.order().target == order.target
        {
            // A later write of the order, or one with another duration: it is taken
            // from the store.
            return;
        }
        let given_up = known.map_or_else(Vec::new, |known| list_given_up(known, &order.target));
        self.insert(order, false, given_up, now);
    }

    fn insert(
        &mut self,
        order: RolloutOrder,
        has_known_age: bool,
        given_up: Vec<Build>,
        now: MonotonicTime,
    ) {
        let service = order.service.clone();
        let rollout = ServiceRollout::new(order, has_known_age, given_up, self.plan_validity, now);
        self.rollouts.insert(service, rollout);
    }
}

/// Returns the targets that get nothing once an order for `target` replaces `known`.
fn list_given_up(known: &ServiceRollout, target: &Build) -> Vec<Build> {
    let mut given_up = known.given_up().to_vec();
    if known.phase() != RolloutPhase::Completed {
        given_up.push(known.order().target.clone());
    }
    given_up.retain(|build| build != target);
    given_up
}
