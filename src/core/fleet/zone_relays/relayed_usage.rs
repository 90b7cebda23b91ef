//! Usage of other entries that a relay passes on.

use std::time::Duration;

use super::ExchangePlan;
use super::HeardEntry;
use super::RelayLink;
use super::ZoneRelays;
use crate::core::MonotonicTime;
use crate::core::fleet::FleetQuota;
use crate::core::fleet::PeerUsage;
use crate::core::fleet::RelayedOutcome;
use crate::core::fleet::UsageCursor;

/// Usage of an entry that a relay passes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedUsage {
    /// What the entry has admitted; without levels.
    pub usage: PeerUsage,
    /// Time since the entry itself was heard.
    pub age: Duration,
    /// Whether the entry is about to stop.
    pub is_leaving: bool,
}

impl RelayedUsage {
    /// Lists what an entry passes on to a peer, as far as the peer has not confirmed it
    /// on the connection.
    pub fn list(
        relays: &ZoneRelays,
        plan: &ExchangePlan,
        quota: &FleetQuota,
        link: &mut RelayLink,
        peer: &str,
        now: MonotonicTime,
    ) -> Vec<Self> {
        let mut relayed = Vec::new();
        for (name, is_leaving) in relays.list_passed_on(plan, peer) {
            let known = link.known_usage(name);
            let Some((usage, age)) = quota.build_relayed_usage(name, known, now) else {
                continue;
            };
            let cursor = UsageCursor {
                incarnation: usage.incarnation,
                sequence: usage.sequence,
            };
            link.record_usage(name, cursor);
            relayed.push(Self {
                usage,
                age,
                is_leaving,
            });
        }
        relayed
    }

    /// Applies what a relay has passed on.
    pub fn apply(
        &self,
        relays: &mut ZoneRelays,
        quota: &mut FleetQuota,
        now: MonotonicTime,
    ) -> RelayedOutcome {
        let outcome = quota.observe_relayed_usage(&self.usage, self.age, now);
        if matches!(
            outcome,
            RelayedOutcome::Applied | RelayedOutcome::UnknownBase
        ) {
            let heard = HeardEntry {
                name: &self.usage.name,
                incarnation: self.usage.incarnation,
                is_leaving: self.is_leaving,
            };
            relays.record_relayed(heard, self.age, now);
        }
        outcome
    }
}
