//! Shares of a service's capacity between entries, by their demand.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::core::MonotonicTime;

/// What other entries have told of their demand for one service.
#[derive(Debug, Default)]
pub(super) struct DemandShares {
    peers: HashMap<u64, PeerDemand>,
    /// Work that the peers ask for, by priority; rebuilt when a peer changes.
    total_ms: BTreeMap<u8, f64>,
}

#[derive(Debug)]
struct PeerDemand {
    work_ms: Vec<(u8, u32)>,
    heard_at: MonotonicTime,
}

impl DemandShares {
    /// Replaces what is known of a peer's demand.
    pub fn record(&mut self, peer: u64, work_ms: Vec<(u8, u32)>, now: MonotonicTime) {
        self.remove(peer);
        for (priority, ms) in &work_ms {
            *self.total_ms.entry(*priority).or_default() += f64::from(*ms);
        }
        let demand = PeerDemand {
            work_ms,
            heard_at: now,
        };
        self.peers.insert(peer, demand);
    }

    /// Forgets a peer's demand: it holds no calls any more, or has ended.
    pub fn remove(&mut self, peer: u64) {
        let Some(demand) = self.peers.remove(&peer) else {
            return;
        };
        for (priority, ms) in demand.work_ms {
            if let Some(total) = self.total_ms.get_mut(&priority) {
                *total = (*total - f64::from(ms)).max(0.0);
            }
        }
    }

    /// Forgets peers that have not been heard for `lifetime`.
    pub fn expire(&mut self, lifetime: Duration, now: MonotonicTime) {
        let silent = |demand: &PeerDemand| now.since(demand.heard_at) >= lifetime;
        let gone: Vec<u64> = self
            .peers
            .iter()
            .filter(|(_, demand)| silent(demand))
            .map(|(peer, _)| *peer)
            .collect();
        gone.into_iter().for_each(|peer| self.remove(peer));
    }

    /// Returns the part of the capacity that calls of `priority` at this entry may use:
    /// the entry's demand for them, over that of all entries for them and for more
    /// urgent ones. 1 while no other entry has any.
    pub fn share(&self, priority: u8, own_ms: f64) -> f64 {
        let others: f64 = self.total_ms.range(..=priority).map(|(_, ms)| ms).sum();
        if others < 1.0 {
            return 1.0;
        }
        own_ms.max(1.0) / (own_ms.max(1.0) + others)
    }

    /// Returns the number of peers with demand.
    pub fn count(&self) -> usize {
        self.peers.len()
    }
}
