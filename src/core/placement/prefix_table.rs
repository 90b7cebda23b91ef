//! Bounded table of the prefixes that servers were sent.

use super::BlockHash;
use super::ServerKey;
use crate::core::MonotonicTime;

/// Prefixes that an entry remembers.
pub const PREFIX_TABLE_CAPACITY: usize = 200_000;

/// Servers remembered for one prefix.
const HOLDERS: usize = 4;

/// Prefixes that compete for the same place; the least recently used goes.
const WAYS: usize = 8;

/// Milliseconds in which a counted request fades to a third.
const TRAFFIC_DECAY_MS: f32 = 30_000.0;

/// Share by which traffic must pass a limit before a prefix is split or
/// joined again.
const SPLIT_MARGIN: f64 = 0.25;

/// A server that was sent a prefix.
#[derive(Debug, Clone, Copy)]
pub struct Holder {
    /// The server.
    pub server: ServerKey,
    /// Cache epoch of the server at that time; entries of an earlier epoch
    /// are worthless.
    pub epoch: u32,
    /// Milliseconds from the table's origin to the last use.
    used_ms: u32,
}

/// Recent traffic of a prefix.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Traffic {
    /// Recent requests, older ones faded.
    pub requests: f64,
    /// They are too many for one server.
    pub is_heavy: bool,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    hash: BlockHash,
    used_ms: u32,
    /// Recent requests, each fading by [`TRAFFIC_DECAY_MS`].
    traffic: f32,
    is_heavy: bool,
    holders: [Option<Holder>; HOLDERS],
}

/// Bounded table of the prefixes that servers were sent: a set-associative
/// cache with least-recently-used replacement within each set.
#[derive(Debug)]
pub struct PrefixTable {
    slots: Vec<Option<Slot>>,
    sets: usize,
}

impl PrefixTable {
    /// Creates an empty table for about `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        let sets = capacity.div_ceil(WAYS).max(1);
        Self {
            slots: vec![None; sets * WAYS],
            sets,
        }
    }

    /// Notes that a server was sent a prefix.
    pub fn record_sent(
        &mut self,
        hash: BlockHash,
        server: ServerKey,
        epoch: u32,
        now: MonotonicTime,
    ) {
        let used_ms = to_millis(now);
        let slot = self.take_slot(hash, used_ms);
        slot.used_ms = used_ms;
        let place = choose_place(&slot.holders, server);
        slot.holders[place] = Some(Holder {
            server,
            epoch,
            used_ms,
        });
    }

    /// Counts a request with a prefix, and tells whether the prefix brings too
    /// much traffic for one server: more than `most`, with some hysteresis.
    pub fn count_traffic(&mut self, hash: BlockHash, most: f64, now: MonotonicTime) -> Traffic {
        let used_ms = to_millis(now);
        let slot = self.take_slot(hash, used_ms);
        slot.traffic = decay(slot.traffic, used_ms.saturating_sub(slot.used_ms)) + 1.0;
        slot.used_ms = used_ms;
        let factor = if slot.is_heavy {
            1.0 - SPLIT_MARGIN
        } else {
            1.0 + SPLIT_MARGIN
        };
        slot.is_heavy = f64::from(slot.traffic) > most * factor;
        Traffic {
            requests: f64::from(slot.traffic),
            is_heavy: slot.is_heavy,
        }
    }

    /// Forgets that a server holds a prefix.
    pub fn forget(&mut self, hash: BlockHash, server: ServerKey) {
        let range = self.set_of(hash);
        let slot = self.slots[range].iter_mut().flatten();
        if let Some(slot) = slot.into_iter().find(|slot| slot.hash == hash) {
            for holder in &mut slot.holders {
                if holder.is_some_and(|holder| holder.server == server) {
                    *holder = None;
                }
            }
        }
    }

    /// Lists the servers that were sent a prefix.
    pub fn list_holders(&self, hash: BlockHash) -> impl Iterator<Item = &Holder> {
        self.slots[self.set_of(hash)]
            .iter()
            .flatten()
            .filter(move |slot| slot.hash == hash)
            .flat_map(|slot| slot.holders.iter().flatten())
    }

    /// Returns the memory that the table takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.slots.capacity() * size_of::<Option<Slot>>()
    }

    fn set_of(&self, hash: BlockHash) -> std::ops::Range<usize> {
        let first = (hash.0 % self.sets as u64) as usize * WAYS;
        first..first + WAYS
    }

    fn take_slot(&mut self, hash: BlockHash, used_ms: u32) -> &mut Slot {
        let range = self.set_of(hash);
        let set = &mut self.slots[range];
        let place = set
            .iter()
            .position(|slot| slot.is_some_and(|slot| slot.hash == hash))
            .or_else(|| set.iter().position(Option::is_none))
            .unwrap_or_else(|| find_oldest(set));
        let is_known = set[place].is_some_and(|slot| slot.hash == hash);
        if !is_known {
            set[place] = None;
        }
        set[place].get_or_insert(Slot {
            hash,
            used_ms,
            traffic: 0.0,
            is_heavy: false,
            holders: [None; HOLDERS],
        })
    }
}

impl Holder {
    /// Returns how long ago the server was last sent the prefix, in milliseconds.
    pub fn age_ms(&self, now: MonotonicTime) -> u32 {
        to_millis(now).saturating_sub(self.used_ms)
    }
}

/// Returns what is left of a count of traffic after a time.
pub fn decay(traffic: f32, passed_ms: u32) -> f32 {
    traffic * (-(passed_ms as f32) / TRAFFIC_DECAY_MS).exp()
}

fn to_millis(now: MonotonicTime) -> u32 {
    u32::try_from(now.as_micros() / 1_000).unwrap_or(u32::MAX)
}

fn find_oldest(set: &[Option<Slot>]) -> usize {
    let ages = set.iter().map(|slot| slot.map_or(0, |slot| slot.used_ms));
    let oldest = ages.enumerate().min_by_key(|&(_, used_ms)| used_ms);
    oldest.map_or(0, |(place, _)| place)
}

/// Chooses the place of a server: its own, a free one, or that of the holder
/// used longest ago.
fn choose_place(holders: &[Option<Holder>; HOLDERS], server: ServerKey) -> usize {
    let own = holders
        .iter()
        .position(|holder| holder.is_some_and(|holder| holder.server == server));
    let free = || holders.iter().position(Option::is_none);
    let oldest = || {
        let used = holders
            .iter()
            .map(|holder| holder.map_or(0, |holder| holder.used_ms));
        used.enumerate()
            .min_by_key(|&(_, used_ms)| used_ms)
            .map_or(0, |(place, _)| place)
    };
    own.or_else(free).unwrap_or_else(oldest)
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use slotmap::SlotMap;

    use super::*;

    fn make_servers(count: usize) -> Vec<ServerKey> {
        let mut servers = SlotMap::with_key();
        (0..count).map(|_| servers.insert(())).collect()
    }

    fn at(seconds: u64) -> MonotonicTime {
        MonotonicTime::ZERO + Duration::from_secs(seconds)
    }

    #[test]
    fn record_sent_keeps_latest_holders() {
        let servers = make_servers(HOLDERS + 1);
        let mut table = PrefixTable::new(64);
        for (second, &server) in servers.iter().enumerate() {
            table.record_sent(BlockHash(1), server, 0, at(second as u64));
        }
        let held: Vec<_> = table.list_holders(BlockHash(1)).collect();
        assert_eq!(held.len(), HOLDERS);
        assert!(held.iter().all(|holder| holder.server != servers[0]));
    }

    #[test]
    fn record_sent_full_set_drops_least_recently_used() {
        let server = make_servers(1)[0];
        let mut table = PrefixTable::new(WAYS);
        for hash in 0..WAYS as u64 {
            table.record_sent(BlockHash(hash), server, 0, at(hash));
        }
        table.record_sent(BlockHash(0), server, 0, at(50));
        table.record_sent(BlockHash(99), server, 0, at(51));
        assert_eq!(table.list_holders(BlockHash(0)).count(), 1);
        assert_eq!(table.list_holders(BlockHash(1)).count(), 0);
        assert_eq!(table.list_holders(BlockHash(99)).count(), 1);
    }

    #[test]
    fn record_sent_memory_is_bounded() {
        let server = make_servers(1)[0];
        let mut table = PrefixTable::new(1_000);
        let before = table.memory_bytes();
        for hash in 0..100_000 {
            table.record_sent(BlockHash(hash), server, 0, at(hash));
        }
        assert_eq!(table.memory_bytes(), before);
    }

    #[test]
    fn forget_one_holder() {
        let servers = make_servers(2);
        let mut table = PrefixTable::new(64);
        table.record_sent(BlockHash(1), servers[0], 0, at(0));
        table.record_sent(BlockHash(1), servers[1], 0, at(0));
        table.forget(BlockHash(1), servers[0]);
        let held: Vec<_> = table.list_holders(BlockHash(1)).collect();
        assert_eq!(held.len(), 1);
        assert_eq!(held[0].server, servers[1]);
    }

    #[test]
    fn count_traffic_splits_heavy_prefix() {
        let mut table = PrefixTable::new(64);
        let is_heavy = (0..30).any(|_| table.count_traffic(BlockHash(1), 20.0, at(1)).is_heavy);
        assert!(is_heavy);
        assert!(!table.count_traffic(BlockHash(2), 20.0, at(1)).is_heavy);
    }

    #[test]
    fn count_traffic_joins_when_cool() {
        let mut table = PrefixTable::new(64);
        for _ in 0..30 {
            table.count_traffic(BlockHash(1), 20.0, at(1));
        }
        assert!(table.count_traffic(BlockHash(1), 20.0, at(2)).is_heavy);
        assert!(!table.count_traffic(BlockHash(1), 20.0, at(60)).is_heavy);
    }
}
