//! The simulated entries, their limiters and the slots they hold.

use std::collections::BTreeMap;
use std::time::Duration;

use teaseldrum::core::MonotonicTime;
use teaseldrum::core::ProcessIncarnation;
use teaseldrum::core::limit::AccountId;
use teaseldrum::core::limit::AccountTokens;
use teaseldrum::core::limit::Allowance;
use teaseldrum::core::limit::Limiter;
use teaseldrum::core::limit::LiveEntries;
use teaseldrum::core::limit::LiveEntry;
use teaseldrum::core::limit::NodeId;
use teaseldrum::core::limit::Origin;
use teaseldrum::core::limit::ShareParameters;

use super::network::Network;

/// Time for which an entry holds a slot without renewing its lease.
pub const SLOT_LEASE: Duration = Duration::from_secs(3_600);

/// Time between two renewals of a slot lease.
pub const SLOT_RENEWAL_INTERVAL: Duration = Duration::from_secs(300);

/// One simulated entry.
#[derive(Debug)]
pub struct Entry {
    /// Rate limiter under test.
    pub limiter: Limiter,
    /// Node id and incarnation, which peers see on its messages.
    pub origin: Origin,
    /// Slots held; its share of each account is this part of all slots.
    pub slots: u16,
    /// Whether the process runs.
    pub is_running: bool,
    /// Whether it is sent requests; false while it drains and after a crash.
    pub accepts_requests: bool,
}

/// All simulated entries.
#[derive(Debug)]
pub struct Fleet {
    /// Entries by index, which is also their node id.
    pub entries: Vec<Entry>,
    network: Network,
    parameters: ShareParameters,
    allowances: BTreeMap<AccountId, Allowance>,
    incarnations: u64,
}

impl Fleet {
    /// Starts a fleet whose entries hold all slots between them, with full
    /// token buckets.
    pub fn start(count: usize, accounts: &[(AccountId, Allowance)], network: Network) -> Self {
        let mut fleet = Self {
            entries: Vec::with_capacity(count),
            network,
            parameters: ShareParameters::default(),
            allowances: accounts.iter().copied().collect(),
            incarnations: 0,
        };
        for index in 0..count {
            let mut entry = fleet.make_entry(index, count, Duration::ZERO);
            let slots = usize::from(fleet.parameters.slots);
            let own_slots = (0..slots).filter(|slot| slot % count == index).count();
            entry.slots = u16::try_from(own_slots).unwrap_or(0);
            let start = MonotonicTime::ZERO;
            entry
                .limiter
                .set_slots(entry.slots, start + SLOT_LEASE, start);
            let balances = fleet.make_full_balances(entry.slots);
            entry.limiter.add_handed_over_tokens(&balances, start);
            fleet.entries.push(entry);
        }
        fleet
    }

    /// Replaces an entry by a new incarnation without slots.
    pub fn restart(&mut self, index: usize, now: Duration) {
        self.entries[index] = self.make_entry(index, self.entries.len(), now);
    }

    /// Gives every running entry the list of entries that accept requests.
    pub fn update_live_entries(&mut self) {
        let accepts: Vec<bool> = self
            .entries
            .iter()
            .map(|entry| entry.accepts_requests)
            .collect();
        let network = self.network;
        let live_entries = make_live_entries(network, |index| accepts[index], accepts.len());
        for entry in self.entries.iter_mut().filter(|entry| entry.is_running) {
            entry.limiter.set_live_entries(live_entries.clone());
        }
    }

    /// Counts the running entries that hold slots.
    pub fn count_slot_holders(&self) -> usize {
        let holds_slots = |entry: &&Entry| entry.is_running && entry.slots > 0;
        self.entries.iter().filter(holds_slots).count()
    }

    /// Returns what a number of slots hold of each account while its token
    /// bucket is full.
    fn make_full_balances(&self, slots: u16) -> Vec<AccountTokens> {
        let share = |burst: u64| burst * u64::from(slots) / u64::from(self.parameters.slots);
        self.allowances
            .iter()
            .map(|(account, allowance)| AccountTokens {
                account: *account,
                tokens: share(allowance.burst),
            })
            .collect()
    }

    fn make_entry(&mut self, index: usize, count: usize, now: Duration) -> Entry {
        self.incarnations += 1;
        let origin = Origin {
            node: NodeId(index as u64),
            incarnation: ProcessIncarnation(self.incarnations),
        };
        let zone = self.network.zone(index);
        let first_number = self.incarnations.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 1;
        let mut limiter = Limiter::new(origin, zone, self.parameters, first_number);
        let now = MonotonicTime::ZERO + now;
        limiter.set_allowances(self.allowances.clone(), now);
        limiter.set_live_entries(make_live_entries(self.network, |_| true, count));
        Entry {
            limiter,
            origin,
            slots: 0,
            is_running: true,
            accepts_requests: true,
        }
    }
}

fn make_live_entries(
    network: Network,
    is_running: impl Fn(usize) -> bool,
    count: usize,
) -> LiveEntries {
    let peers = (0..count)
        .filter(|index| is_running(*index))
        .map(|index| LiveEntry {
            node: NodeId(index as u64),
            zone: network.zone(index),
        });
    LiveEntries::new(peers.collect())
}
