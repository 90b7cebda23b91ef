//! The entries of a fleet and the slots they hold.

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

/// Life of a slot's lease.
pub const LEASE: Duration = Duration::from_secs(3_600);

/// Time between two renewals of it.
pub const RENEWAL: Duration = Duration::from_secs(300);

/// One entry.
#[derive(Debug)]
pub struct Entry {
    /// Its limiter.
    pub limiter: Limiter,
    /// Host and run.
    pub origin: Origin,
    /// Slots it holds.
    pub slots: u16,
    /// It is up.
    pub lives: bool,
    /// Callers reach it.
    pub serves: bool,
}

/// All entries.
#[derive(Debug)]
pub struct Fleet {
    /// Entries by index, which is also their node id.
    pub entries: Vec<Entry>,
    network: Network,
    terms: ShareParameters,
    allowances: BTreeMap<AccountId, Allowance>,
    runs: u64,
}

impl Fleet {
    /// Starts a fleet whose slots are all taken.
    pub fn start(count: usize, accounts: &[(AccountId, Allowance)], network: Network) -> Self {
        let mut fleet = Self {
            entries: Vec::with_capacity(count),
            network,
            terms: ShareParameters::default(),
            allowances: accounts.iter().copied().collect(),
            runs: 0,
        };
        for index in 0..count {
            let mut entry = fleet.make_entry(index, count, Duration::ZERO);
            let slots = usize::from(fleet.terms.slots);
            let own = (0..slots).filter(|slot| slot % count == index).count();
            entry.slots = u16::try_from(own).unwrap_or(0);
            let start = MonotonicTime::ZERO;
            entry.limiter.set_slots(entry.slots, start + LEASE, start);
            let levels = fleet.find_full_levels(entry.slots);
            entry.limiter.add_handed_over_tokens(&levels, start);
            fleet.entries.push(entry);
        }
        fleet
    }

    /// Replaces an entry by a new run without slots.
    pub fn restart(&mut self, index: usize, now: Duration) {
        self.entries[index] = self.make_entry(index, self.entries.len(), now);
    }

    /// Tells all entries who lives.
    pub fn spread_roster(&mut self) {
        let lives: Vec<bool> = self.entries.iter().map(|entry| entry.serves).collect();
        let network = self.network;
        let roster = make_roster(network, |index| lives[index], lives.len());
        for entry in self.entries.iter_mut().filter(|entry| entry.lives) {
            entry.limiter.set_live_entries(roster.clone());
        }
    }

    /// Counts the entries that hold slots.
    pub fn count_holders(&self) -> usize {
        let holds = |entry: &&Entry| entry.lives && entry.slots > 0;
        self.entries.iter().filter(holds).count()
    }

    /// Returns the part of all bursts that some slots hold after a quiet time.
    fn find_full_levels(&self, slots: u16) -> Vec<AccountTokens> {
        let part = |burst: u64| burst * u64::from(slots) / u64::from(self.terms.slots);
        self.allowances
            .iter()
            .map(|(account, allowance)| AccountTokens {
                account: *account,
                tokens: part(allowance.burst),
            })
            .collect()
    }

    fn make_entry(&mut self, index: usize, count: usize, now: Duration) -> Entry {
        self.runs += 1;
        let origin = Origin {
            node: NodeId(index as u64),
            incarnation: ProcessIncarnation(self.runs),
        };
        let zone = self.network.zone(index);
        let first_number = self.runs.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 1;
        let mut limiter = Limiter::new(origin, zone, self.terms, first_number);
        let now = MonotonicTime::ZERO + now;
        limiter.set_allowances(self.allowances.clone(), now);
        limiter.set_live_entries(make_roster(self.network, |_| true, count));
        Entry {
            limiter,
            origin,
            slots: 0,
            lives: true,
            serves: true,
        }
    }
}

fn make_roster(network: Network, lives: impl Fn(usize) -> bool, count: usize) -> LiveEntries {
    let peers = (0..count)
        .filter(|index| lives(*index))
        .map(|index| LiveEntry {
            node: NodeId(index as u64),
            zone: network.zone(index),
        });
    LiveEntries::new(peers.collect())
}
