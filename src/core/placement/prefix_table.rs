//! Bounded table of the prompt prefixes that were sent to servers.

use super::BlockHash;
use super::ServerKey;
use crate::core::MonotonicTime;

/// Number of prefixes that an entry remembers.
pub const PREFIX_TABLE_CAPACITY: usize = 200_000;

/// Number of servers remembered for one prefix.
const HOLDERS_PER_PREFIX: usize = 4;

/// Slots of one set; the least recently used prefix of a full set is replaced.
const WAYS: usize = 8;

/// Time in which a counted request decays to 1/e, about a third.
const TRAFFIC_DECAY_MS: f32 = 30_000.0;

/// Fraction by which traffic must exceed the limit before a prefix counts as
/// heavy, and fall below it before it no longer does.
const SPLIT_HYSTERESIS: f64 = 0.25;

/// Server that was sent a prefix and may still have it cached.
#[derive(Debug, Clone, Copy)]
pub struct Holder {
    /// Key of the server.
    pub server: ServerKey,
    /// Cache epoch of the server when it was sent the prefix. The server has
    /// lost entries of an earlier epoch.
    pub cache_epoch: u32,
    /// Milliseconds from the clock's origin to the last use.
    used_ms: u32,
}

/// Recent traffic of a prefix.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Traffic {
    /// Recent requests, decayed by age.
    pub requests: f64,
    /// The requests are too many for one home server.
    pub is_heavy: bool,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    hash: BlockHash,
    used_ms: u32,
    /// Recent requests, decayed by age over [`TRAFFIC_DECAY_MS`].
    traffic: f32,
    is_heavy: bool,
    holders: [Option<Holder>; HOLDERS_PER_PREFIX],
}

/// Bounded table of the prompt prefixes that were sent to servers: a
/// set-associative cache with least-recently-used replacement in each set.
#[derive(Debug)]
pub struct PrefixTable {
    slots: Vec<Option<Slot>>,
    sets: usize,
}

impl PrefixTable {
    /// Creates an empty table of at least `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        let sets = capacity.div_ceil(WAYS).max(1);
        Self {
            slots: vec![None; sets * WAYS],
            sets,
        }
    }

    /// Records that a server was sent a prefix. If the prefix already has its
    /// maximum of holders, the least recently used one is replaced.
    pub fn record_sent(
        &mut self,
        hash: BlockHash,
        server: ServerKey,
        cache_epoch: u32,
        now: MonotonicTime,
    ) {
        let used_ms = to_millis(now);
        let slot = self.find_or_insert_slot(hash, used_ms);
        slot.used_ms = used_ms;
        let index = choose_holder_index(&slot.holders, server);
        slot.holders[index] = Some(Holder {
            server,
            cache_epoch,
            used_ms,
        });
    }

    /// Counts a request with a prefix and returns its recent traffic. A prefix
    /// with more than `limit` requests is heavy, with some hysteresis.
    pub fn count_traffic(&mut self, hash: BlockHash, limit: f64, now: MonotonicTime) -> Traffic {
        let used_ms = to_millis(now);
        let slot = self.find_or_insert_slot(hash, used_ms);
        slot.traffic = decay(slot.traffic, used_ms.saturating_sub(slot.used_ms)) + 1.0;
        slot.used_ms = used_ms;
        let factor = if slot.is_heavy {
            1.0 - SPLIT_HYSTERESIS
        } else {
            1.0 + SPLIT_HYSTERESIS
        };
        slot.is_heavy = f64::from(slot.traffic) > limit * factor;
        Traffic {
            requests: f64::from(slot.traffic),
            is_heavy: slot.is_heavy,
        }
    }

    /// Removes a server from the holders of a prefix.
    pub fn forget(&mut self, hash: BlockHash, server: ServerKey) {
        let range = self.set_range(hash);
        let slot = self.slots[range].iter_mut().flatten();
        if let Some(slot) = slot.into_iter().find(|slot| slot.hash == hash) {
            for holder in &mut slot.holders {
                if holder.is_some_and(|holder| holder.server == server) {
                    *holder = None;
                }
            }
        }
    }

    /// Lists the latest servers that were sent a prefix.
    pub fn list_holders(&self, hash: BlockHash) -> impl Iterator<Item = &Holder> {
        self.slots[self.set_range(hash)]
            .iter()
            .flatten()
            .filter(move |slot| slot.hash == hash)
            .flat_map(|slot| slot.holders.iter().flatten())
    }

    /// Returns the memory used by the table, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.slots.capacity() * size_of::<Option<Slot>>()
    }

    fn set_range(&self, hash: BlockHash) -> std::ops::Range<usize> {
        let first = (hash.0 % self.sets as u64) as usize * WAYS;
        first..first + WAYS
    }

    fn find_or_insert_slot(&mut self, hash: BlockHash, used_ms: u32) -> &mut Slot {
        let range = self.set_range(hash);
        let set = &mut self.slots[range];
        let index = set
            .iter()
            .position(|slot| slot.is_some_and(|slot| slot.hash == hash))
            .or_else(|| set.iter().position(Option::is_none))
            .unwrap_or_else(|| find_least_recently_used(set));
        let is_known = set[index].is_some_and(|slot| slot.hash == hash);
        if !is_known {
            set[index] = None;
        }
        set[index].get_or_insert(Slot {
            hash,
            used_ms,
            traffic: 0.0,
            is_heavy: false,
            holders: [None; HOLDERS_PER_PREFIX],
        })
    }
}

impl Holder {
    /// Returns the milliseconds since the server was last sent the prefix.
    pub fn age_ms(&self, now: MonotonicTime) -> u32 {
        to_millis(now).saturating_sub(self.used_ms)
    }
}

/// Returns a count of recent requests after `elapsed_ms` without new ones.
pub fn decay(traffic: f32, elapsed_ms: u32) -> f32 {
    traffic * (-(elapsed_ms as f32) / TRAFFIC_DECAY_MS).exp()
}

fn to_millis(now: MonotonicTime) -> u32 {
    u32::try_from(now.as_micros() / 1_000).unwrap_or(u32::MAX)
}

fn find_least_recently_used(set: &[Option<Slot>]) -> usize {
    let ages = set.iter().map(|slot| slot.map_or(0, |slot| slot.used_ms));
    let oldest = ages.enumerate().min_by_key(|&(_, used_ms)| used_ms);
    oldest.map_or(0, |(index, _)| index)
}

/// Returns the index at which a server is recorded: its own, a free one, or
/// that of the least recently used holder.
fn choose_holder_index(holders: &[Option<Holder>; HOLDERS_PER_PREFIX], server: ServerKey) -> usize {
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
            .map_or(0, |(index, _)| index)
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
        let servers = make_servers(HOLDERS_PER_PREFIX + 1);
        let mut table = PrefixTable::new(64);
        for (second, &server) in servers.iter().enumerate() {
            table.record_sent(BlockHash(1), server, 0, at(second as u64));
        }
        let held: Vec<_> = table.list_holders(BlockHash(1)).collect();
        assert_eq!(held.len(), HOLDERS_PER_PREFIX);
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
    fn count_traffic_marks_heavy_prefix() {
        let mut table = PrefixTable::new(64);
        let is_heavy = (0..30).any(|_| table.count_traffic(BlockHash(1), 20.0, at(1)).is_heavy);
        assert!(is_heavy);
        assert!(!table.count_traffic(BlockHash(2), 20.0, at(1)).is_heavy);
    }

    #[test]
    fn count_traffic_merges_when_light() {
        let mut table = PrefixTable::new(64);
        for _ in 0..30 {
            table.count_traffic(BlockHash(1), 20.0, at(1));
        }
        assert!(table.count_traffic(BlockHash(1), 20.0, at(2)).is_heavy);
        assert!(!table.count_traffic(BlockHash(1), 20.0, at(60)).is_heavy);
    }
}
