//! Chooses the relays of the zones from the entries that are heard.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Exchange;
use super::ExchangePlan;
use super::HeardEntry;
use crate::core::MonotonicTime;
use crate::core::StallDetector;

/// Number of entries up to which all exchange directly, which is faster by two hops.
pub const MAX_DIRECT_ENTRIES: usize = 8;

/// Number of entries from which all exchange directly again. A relay has the other
/// entries of its zone as partners: with 150 entries in four zones, on hosts with little
/// processor time, relays fell behind and far more bytes passed than without them.
pub const MAX_RELAYED_ENTRIES: usize = 40;

/// Interval of exchanges with a relay in a small fleet. Admissions pass three of them,
/// together as long as one interval between two entries without relays.
const RELAY_INTERVAL: Duration = Duration::from_millis(25);

/// Interval of exchanges between other entries of a zone.
const ZONE_INTERVAL: Duration = Duration::from_millis(75);

/// Part of either interval for each partner: an entry takes part in at most 200
/// exchanges a second.
const INTERVAL_PER_PARTNER: Duration = Duration::from_millis(5);

/// Age of the last message, besides that in intervals, from which an entry is not chosen
/// as a relay. It is shorter than the ages from which entries exchange directly, so that
/// the next relay is found first.
const RELAY_MAX_AGE: Duration = Duration::from_millis(300);
const RELAY_MAX_INTERVALS: u32 = 5;

/// Age of what relays pass on of an entry from which it is exchanged with directly, by a
/// relay and by other entries, before it counts as silent (600 ms). A relay passes on what
/// it hears, so that others need not connect. With 250 and 400 ms, 24 processes on 7 busy
/// cores changed between the two once a second.
const RELAY_FALLBACK_AGE: Duration = Duration::from_millis(400);
const FALLBACK_AGE: Duration = Duration::from_millis(500);
const FALLBACK_INTERVALS: u32 = 6;

/// Time for which relays must have passed on the state of an entry before it is no longer
/// exchanged with directly.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time between two plans from which this process has stood still, and time after that in
/// which the plan does not change: messages that have arrived are read first.
const MIN_STALL: Duration = Duration::from_millis(150);
const STALL_GRACE: Duration = Duration::from_millis(100);

/// Time without a message after which an entry is forgotten.
const ENTRY_EXPIRY: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct Entry {
    incarnation: u64,
    /// `None` for an entry of an earlier release.
    zone: Option<String>,
    is_leaving: bool,
    /// When the entry was last heard, directly or by a relay that passed it on.
    heard_at: MonotonicTime,
    /// When the entry was last heard by a relay that passed it on, and since when it was
    /// without a gap.
    relayed_at: Option<MonotonicTime>,
    relayed_since: MonotonicTime,
}

/// The entries that one entry hears, and what follows from that for the relays. All
/// entries that hear the same ones find the same relays, by rendezvous hashing. The
/// interval of exchanges is part of every age limit, so that entries of a large fleet are
/// not taken for silent.
#[derive(Debug)]
pub struct ZoneRelays {
    name: String,
    zone: String,
    is_leaving: bool,
    entries: HashMap<String, Entry>,
    /// Interval of exchanges with relays, as of the last plan.
    interval: Duration,
    stalls: StallDetector,
    last_plan: ExchangePlan,
}

impl ZoneRelays {
    /// Creates the state of the entry `name`, which has heard no other one.
    pub fn new(name: &str, zone: &str) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            is_leaving: false,
            entries: HashMap::new(),
            interval: RELAY_INTERVAL,
            stalls: StallDetector::new(MIN_STALL, STALL_GRACE),
            last_plan: ExchangePlan::default(),
        }
    }

    /// Records that this entry is about to stop, so that it no longer is a relay.
    pub fn record_stop(&mut self) {
        self.is_leaving = true;
    }

    /// Records a message of an entry itself. `zone` is `None` for one of an earlier
    /// release.
    pub fn record_direct(&mut self, heard: HeardEntry<'_>, zone: Option<&str>, now: MonotonicTime) {
        if heard.name == self.name {
            return;
        }
        // A zone without a name is none that others could agree on.
        let zone = zone.filter(|zone| !zone.is_empty()).map(str::to_owned);
        let entry = self.entries.entry(heard.name.into());
        let entry = entry.or_insert_with(|| Entry {
            incarnation: heard.incarnation,
            zone: None,
            is_leaving: false,
            heard_at: now,
            relayed_at: None,
            relayed_since: now,
        });
        if entry.incarnation != heard.incarnation || entry.zone != zone {
            entry.relayed_at = None;
        }
        entry.incarnation = heard.incarnation;
        entry.zone = zone;
        entry.is_leaving = heard.is_leaving;
        entry.heard_at = now;
    }

    /// Records what a relay passed on of an entry that was heard `age` ago. Returns
    /// false for a run that was never heard directly: its zone is unknown.
    pub fn record_relayed(
        &mut self,
        heard: HeardEntry<'_>,
        age: Duration,
        now: MonotonicTime,
    ) -> bool {
        let max_age = self.fallback_age(FALLBACK_AGE);
        let Some(entry) = self.entries.get_mut(heard.name) else {
            return false;
        };
        if entry.incarnation != heard.incarnation {
            return false;
        }
        let heard_at = now.saturating_sub(age);
        if heard_at > entry.heard_at {
            entry.heard_at = heard_at;
            entry.is_leaving = heard.is_leaving;
        }
        let has_gap = entry
            .relayed_at
            .is_none_or(|before| now.since(before) >= max_age);
        if has_gap {
            entry.relayed_since = now;
        }
        entry.relayed_at = entry.relayed_at.max(Some(heard_at));
        true
    }

    /// Records that the host of an entry refuses connections.
    pub fn record_stopped_entry(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.is_leaving = true;
        }
    }

    /// Returns the zone of an entry, if it is known.
    pub fn find_zone(&self, name: &str) -> Option<&str> {
        self.entries.get(name)?.zone.as_deref()
    }

    /// Forgets entries that were not heard for long, and decides how the state is
    /// exchanged with each of the others.
    pub fn plan(&mut self, now: MonotonicTime) -> ExchangePlan {
        self.stalls.record_run(now);
        if !self.stalls.is_catching_up(now) {
            self.last_plan = self.make_plan(now);
        }
        self.last_plan.clone()
    }

    fn make_plan(&mut self, now: MonotonicTime) -> ExchangePlan {
        self.entries
            .retain(|_, entry| now.since(entry.heard_at) < ENTRY_EXPIRY);
        let sizes = self.zone_sizes();
        let interval = relay_interval(&sizes);
        let (zones, own_size) = (sizes.len(), sizes.get(self.zone.as_str()).copied());
        self.interval = interval;
        // The others, and this one.
        let entry_count = self.entries.len() + 1;
        if entry_count <= MAX_DIRECT_ENTRIES || entry_count > MAX_RELAYED_ENTRIES || zones < 2 {
            return ExchangePlan::default();
        }
        let relays = self.choose_relays(now);
        let is_relay = self.is_relay(&relays);
        let partners = u32::try_from(own_size.unwrap_or(1) - 1).unwrap_or(u32::MAX);
        let zone_interval = ZONE_INTERVAL.max(INTERVAL_PER_PARTNER * partners);
        let max_age = self.fallback_age(if is_relay {
            RELAY_FALLBACK_AGE
        } else {
            FALLBACK_AGE
        });
        let peers = self.entries.iter().map(|(name, entry)| {
            let is_peer_relay = |zone: &String| relays.get(zone) == Some(name);
            let exchange = match &entry.zone {
                None => Exchange::Direct,
                Some(zone) if *zone == self.zone && (is_relay || is_peer_relay(zone)) => {
                    Exchange::Every(interval)
                }
                Some(zone) if *zone == self.zone => Exchange::Every(zone_interval),
                Some(zone) if is_relay && is_peer_relay(zone) => Exchange::Every(interval),
                Some(_) if entry.is_relayed(max_age, now) => Exchange::ThroughRelays,
                Some(_) => Exchange::Direct,
            };
            (name.clone(), exchange)
        });
        ExchangePlan {
            peers: peers.collect(),
            relays,
        }
    }

    /// Lists the entries whose state this entry passes on to a peer: as the relay of its
    /// zone, those of its zone to other zones, and those of other zones to its own. Each
    /// with whether it is about to stop.
    pub(super) fn list_passed_on<'a>(
        &'a self,
        plan: &ExchangePlan,
        peer: &'a str,
    ) -> impl Iterator<Item = (&'a str, bool)> {
        let is_relay = self.is_relay(&plan.relays);
        let peer_zone = self.find_zone(peer).filter(|_| is_relay);
        let is_to_own_zone = peer_zone == Some(self.zone.as_str());
        self.entries
            .iter()
            .filter(move |(name, entry)| {
                let zone = entry.zone.as_deref().filter(|_| peer_zone.is_some());
                name.as_str() != peer
                    && zone.is_some_and(|zone| (zone == self.zone) != is_to_own_zone)
            })
            .map(|(name, entry)| (name.as_str(), entry.is_leaving))
    }

    fn is_relay(&self, relays: &HashMap<String, String>) -> bool {
        relays.get(&self.zone) == Some(&self.name)
    }

    /// Number of entries by zone, with this one.
    fn zone_sizes(&self) -> BTreeMap<&str, usize> {
        let mut sizes = BTreeMap::from([(self.zone.as_str(), 1)]);
        for zone in self.entries.values().filter_map(|e| e.zone.as_deref()) {
            *sizes.entry(zone).or_default() += 1;
        }
        sizes
    }

    fn choose_relays(&self, now: MonotonicTime) -> HashMap<String, String> {
        let max_age = RELAY_MAX_AGE.max(self.interval * RELAY_MAX_INTERVALS);
        let others = self.entries.iter().filter_map(|(name, entry)| {
            let is_candidate = !entry.is_leaving && now.since(entry.heard_at) < max_age;
            let zone = entry.zone.as_deref().filter(|_| is_candidate)?;
            Some((zone, name.as_str()))
        });
        let own = (!self.is_leaving).then_some((self.zone.as_str(), self.name.as_str()));
        let mut chosen: HashMap<&str, &str> = HashMap::new();
        for (zone, name) in others.chain(own) {
            let current = chosen.entry(zone).or_insert(name);
            if rank(zone, name) < rank(zone, current) {
                *current = name;
            }
        }
        let chosen = chosen.into_iter();
        chosen
            .map(|(zone, name)| (zone.into(), name.into()))
            .collect()
    }

    fn fallback_age(&self, min: Duration) -> Duration {
        min.max(self.interval * FALLBACK_INTERVALS)
    }
}

impl Entry {
    /// Returns whether relays pass on this entry's state, and have done so for a while.
    fn is_relayed(&self, max_age: Duration, now: MonotonicTime) -> bool {
        self.relayed_at
            .is_some_and(|relayed_at| now.since(relayed_at) < max_age)
            && now.since(self.relayed_since) >= SETTLE_TIME
    }
}

/// Returns the interval of exchanges with relays: a relay has the other entries of its
/// zone and the relays of the other zones as partners.
fn relay_interval(sizes: &BTreeMap<&str, usize>) -> Duration {
    let largest = sizes.values().max().copied().unwrap_or(1);
    let partners = (largest + sizes.len()).saturating_sub(2);
    let partners = u32::try_from(partners).unwrap_or(u32::MAX);
    RELAY_INTERVAL.max(INTERVAL_PER_PARTNER * partners)
}

/// Rank of an entry in its zone; the lowest one is the relay.
fn rank<'a>(zone: &str, name: &'a str) -> (u64, &'a str) {
    let hash = xxh3_64_with_seed(name.as_bytes(), xxh3_64(zone.as_bytes()));
    (hash, name)
}
