//! Share of the calls of one service that leaves a zone, and where they go.

use std::collections::BTreeMap;
use std::time::Duration;

use super::BalanceInput;
use super::ZoneLoad;
use crate::core::MonotonicTime;

/// Part of the own zone's capacity beyond which calls leave. The rest covers deviations.
const OWN_LIMIT: f64 = 0.85;

/// Part of another zone's capacity up to which it takes calls of others.
const OTHER_LIMIT: f64 = 0.8;

/// Largest change of the share in a second.
const MAX_CHANGE_PER_S: f64 = 0.5;

/// Longest time between two updates that counts as such.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Share of the calls of one service that leaves a zone. The demand does not depend on where calls
/// go, so that the share does not feed back on itself.
#[derive(Debug, Clone)]
pub struct ServiceBalance {
    zone: String,
    share: f64,
    /// Weights of the zones that calls leave to; their sum is 1, or there are none.
    targets: BTreeMap<String, f64>,
    updated_at: Option<MonotonicTime>,
    /// Parts of calls that are still to leave, in total and by zone.
    credit: f64,
    target_credits: BTreeMap<String, f64>,
}

impl ServiceBalance {
    /// Creates the balance of a service in `zone`, from which nothing leaves.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.into(),
            share: 0.0,
            targets: BTreeMap::new(),
            updated_at: None,
            credit: 0.0,
            target_credits: BTreeMap::new(),
        }
    }

    /// Returns the share of calls that leaves: 0 while no other zone has room.
    pub fn share(&self) -> f64 {
        if self.targets.is_empty() {
            0.0
        } else {
            self.share
        }
    }

    /// Returns the zones that calls leave to, with their weights.
    pub fn targets(&self) -> &BTreeMap<String, f64> {
        &self.targets
    }

    /// Computes the share anew.
    pub fn update(&mut self, input: &BalanceInput, now: MonotonicTime) {
        let elapsed = self.updated_at.map_or(Duration::ZERO, |at| now.since(at));
        self.updated_at = Some(now);
        let own = input.zones.get(&self.zone);
        let Some(own) = own.filter(|own| own.capacity > 0.0) else {
            // Without servers in the own zone, everything leaves at once.
            self.share = 1.0;
            self.targets = self.weigh_targets(input, f64::INFINITY).0;
            return;
        };
        let Some(utilization) = own.utilization() else {
            // Nothing leaves on figures that are invalid.
            self.share = 0.0;
            self.targets.clear();
            return;
        };
        let (targets, room) = self.weigh_targets(input, utilization);
        self.targets = targets;
        let excess = own.demand - OWN_LIMIT * own.capacity;
        let wait_ms = excess / own.capacity * input.slot_hold_ms;
        let desired = if excess > 0.0 && wait_ms > input.leave_cost_ms {
            excess.min(room) / own.demand
        } else {
            0.0
        };
        let max_change = MAX_CHANGE_PER_S * elapsed.min(MAX_STEP).as_secs_f64();
        self.share += (desired - self.share).clamp(-max_change, max_change);
    }

    /// Returns the weights of the zones with room that are less utilized than the own
    /// one, and the calls that they have room for. If the own zone has no servers, zones
    /// without room share the calls as well.
    fn weigh_targets(&self, input: &BalanceInput, own: f64) -> (BTreeMap<String, f64>, f64) {
        let others = || {
            let zones = input.zones.iter();
            zones.filter(|(zone, load)| {
                !zone.is_empty() && **zone != self.zone && load.utilization().is_some()
            })
        };
        let mut weights: BTreeMap<String, f64> = others()
            .filter(|(_, load)| load.utilization().is_some_and(|other| other < own))
            .map(|(zone, load)| (zone.clone(), OTHER_LIMIT * load.capacity - load.demand))
            .filter(|(_, room)| *room > 0.0)
            .collect();
        if weights.is_empty() && own.is_infinite() {
            let capacities = others().map(|(zone, load)| (zone.clone(), load.capacity));
            weights = capacities.collect();
        }
        let room: f64 = weights.values().sum();
        weights.values_mut().for_each(|weight| *weight /= room);
        (weights, room)
    }

    /// Returns whether the own zone has servers and its demand is beyond what they take
    /// before calls leave.
    pub fn is_own_zone_full(&self, input: &BalanceInput) -> bool {
        let own = input.zones.get(&self.zone);
        own.and_then(ZoneLoad::utilization)
            .is_some_and(|utilization| utilization > OWN_LIMIT)
    }

    /// Returns the zone that the next call leaves for, without counting the call.
    pub fn next_zone(&self) -> Option<&str> {
        if self.credit + self.share() < 1.0 {
            return None;
        }
        let credit_of = |zone| self.target_credits.get(zone).copied().unwrap_or_default();
        let credits = self.targets.iter();
        let credits = credits.map(|(zone, weight)| (zone, credit_of(zone) + weight));
        let most = credits.max_by(|a, b| a.1.total_cmp(&b.1))?;
        Some(most.0)
    }

    /// Decides whether the next call leaves, and to which zone. Of many calls the share
    /// leaves, without a random deviation.
    pub fn choose_zone(&mut self) -> Option<String> {
        let chosen = self.next_zone().map(str::to_owned);
        self.credit += self.share();
        if self.credit < 1.0 {
            return None;
        }
        self.credit -= 1.0;
        for (zone, weight) in &self.targets {
            *self.target_credits.entry(zone.clone()).or_default() += weight;
        }
        let targets = &self.targets;
        self.target_credits
            .retain(|zone, _| targets.contains_key(zone));
        *self.target_credits.get_mut(chosen.as_ref()?)? -= 1.0;
        chosen
    }
}
