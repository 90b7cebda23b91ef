//! Maintains the list of backend servers from the store. Servers whose records
//! are removed during a store outage, mostly by expiry, stay listed until live
//! ones have had time to register again.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Departure;
use super::Member;
use super::MemberState;
use crate::core::MonotonicTime;
use crate::core::ServerName;

/// Time after the store's recovery within which a live server has registered
/// again: about two seconds by the platform's contract. The period starts late,
/// by up to a call's timeout; this is the margin.
const REGISTRATION_GRACE: Duration = Duration::from_secs(2);

/// Time for which servers that left are remembered: longer than the age of a copy
/// from which the store is restored.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(120);

/// A change of the list of backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// A server's record is in the store; [`Directory::apply`] returns this
    /// only if the record is new or has changed.
    Listed(Member),
    /// A server is removed.
    Removed(ServerName),
}

/// Backend servers by name. A server whose record is removed while the store is
/// failing stays until shortly after the store's recovery, when live servers
/// have registered again.
#[derive(Debug, Default)]
pub struct Directory {
    members: HashMap<ServerName, Member>,
    /// Servers whose records were removed, but which stay listed for now.
    deferred_removals: HashSet<ServerName>,
    /// Last write of each server's record that said it was ready.
    ready_writes: HashMap<ServerName, u64>,
    /// Servers that have left, and those that are leaving, with the time at which
    /// that was seen.
    departed: HashMap<ServerName, MonotonicTime>,
    is_store_failing: bool,
    store_recovered_at: Option<MonotonicTime>,
}

impl Directory {
    /// Records that a call to the store failed.
    pub fn record_store_failure(&mut self) {
        self.is_store_failing = true;
    }

    /// Records that the store answered a call; after failures, this starts the
    /// grace period.
    pub fn record_store_answer(&mut self, now: MonotonicTime) {
        if self.is_store_failing {
            self.is_store_failing = false;
            self.store_recovered_at = Some(now);
        }
    }

    /// Takes a record that the store lists, as the write `write` left it. Returns
    /// false for one that must not be used: the store was restored from a copy that
    /// still shows a server as ready which has left or is leaving. One that has been
    /// written since bears another number.
    pub fn accept_record(&mut self, member: &Member, write: u64) -> bool {
        let known = self.ready_writes.get(&member.name);
        let is_old = known == Some(&write) && self.departed.contains_key(&member.name);
        if member.state == MemberState::Ready && !is_old {
            self.ready_writes.insert(member.name.clone(), write);
            self.departed.remove(&member.name);
        }
        !is_old || member.state != MemberState::Ready
    }

    /// Returns the servers that have left or are leaving, with the write of their records
    /// that [`Self::accept_record`] refuses.
    pub fn list_departures(&self) -> Vec<Departure> {
        let departed = self.departed.keys();
        let departed = departed.filter_map(|name| {
            let ready_write = *self.ready_writes.get(name)?;
            let server = name.clone();
            Some(Departure {
                server,
                ready_write,
            })
        });
        departed.collect()
    }

    /// Learns of departures that a peer has seen. What this entry has read itself stays.
    pub fn learn_departures(&mut self, departures: Vec<Departure>, now: MonotonicTime) {
        for departure in departures {
            let Departure {
                server,
                ready_write,
            } = departure;
            if !self.ready_writes.contains_key(&server) {
                self.ready_writes.insert(server.clone(), ready_write);
                self.departed.insert(server, now);
            }
        }
    }

    fn record_departure(&mut self, name: &ServerName, now: MonotonicTime) {
        self.departed.insert(name.clone(), now);
    }

    /// Forgets servers that left longer ago than a copy can be old.
    fn expire_departures(&mut self, now: MonotonicTime) {
        self.departed
            .retain(|_, departed_at| now.since(*departed_at) < DEPARTURE_MEMORY);
        let (members, departed) = (&self.members, &self.departed);
        self.ready_writes
            .retain(|name, _| members.contains_key(name) || departed.contains_key(name));
    }

    /// Applies a change and returns it if it takes effect now. A removal during
    /// an outage or the grace period is deferred.
    pub fn apply(&mut self, change: MemberChange, now: MonotonicTime) -> Option<MemberChange> {
        match change {
            MemberChange::Listed(member) => {
                self.deferred_removals.remove(&member.name);
                if member.state == MemberState::Draining {
                    self.record_departure(&member.name, now);
                }
                if self.members.get(&member.name) == Some(&member) {
                    return None;
                }
                self.members.insert(member.name.clone(), member.clone());
                Some(MemberChange::Listed(member))
            }
            MemberChange::Removed(name) => self.remove(name, now),
        }
    }

    /// Replaces the whole list and returns the changes that take effect now.
    pub fn replace(&mut self, listed: Vec<Member>, now: MonotonicTime) -> Vec<MemberChange> {
        self.list_changes(listed)
            .into_iter()
            .filter_map(|change| self.apply(change, now))
            .collect()
    }

    /// Applies a change that has taken effect at a peer, which has already
    /// deferred it as long as necessary. Returns it if it is one here.
    pub fn adopt(&mut self, change: MemberChange, now: MonotonicTime) -> Option<MemberChange> {
        let MemberChange::Removed(name) = change else {
            return self.apply(change, now);
        };
        self.deferred_removals.remove(&name);
        self.members.remove(&name)?;
        Some(MemberChange::Removed(name))
    }

    /// Replaces the whole list by a peer's, and returns the changes.
    pub fn adopt_all(&mut self, listed: Vec<Member>, now: MonotonicTime) -> Vec<MemberChange> {
        self.list_changes(listed)
            .into_iter()
            .filter_map(|change| self.adopt(change, now))
            .collect()
    }

    /// Returns the changes that lead to a list.
    fn list_changes(&self, listed: Vec<Member>) -> Vec<MemberChange> {
        let listed_names: HashSet<&ServerName> = listed.iter().map(|member| &member.name).collect();
        let missing_names = self.members.keys();
        let removals: Vec<MemberChange> = missing_names
            .filter(|name| !listed_names.contains(name))
            .map(|name| MemberChange::Removed(name.clone()))
            .collect();
        let listed = listed.into_iter().map(MemberChange::Listed);
        listed.chain(removals).collect()
    }

    /// Returns whether the last call to the store failed.
    pub fn is_store_failing(&self) -> bool {
        self.is_store_failing
    }

    /// Removes the servers whose removal was deferred and that have not
    /// registered again by the end of the grace period, and returns their
    /// removals.
    pub fn apply_deferred_removals(&mut self, now: MonotonicTime) -> Vec<MemberChange> {
        self.expire_departures(now);
        if self.is_store_unstable(now) {
            return Vec::new();
        }
        let removed: Vec<ServerName> = self.deferred_removals.drain().collect();
        for name in &removed {
            self.members.remove(name);
            self.record_departure(name, now);
        }
        removed.into_iter().map(MemberChange::Removed).collect()
    }

    /// Returns the known servers, including those whose removal is deferred.
    pub fn list(&self) -> Vec<Member> {
        self.members.values().cloned().collect()
    }

    /// Returns the number of known servers, including those whose removal is
    /// deferred.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn remove(&mut self, name: ServerName, now: MonotonicTime) -> Option<MemberChange> {
        if !self.members.contains_key(&name) {
            return None;
        }
        if self.is_store_unstable(now) {
            self.deferred_removals.insert(name);
            return None;
        }
        self.deferred_removals.remove(&name);
        self.members.remove(&name);
        self.record_departure(&name, now);
        Some(MemberChange::Removed(name))
    }

    fn is_store_unstable(&self, now: MonotonicTime) -> bool {
        let has_just_recovered = |at| now.since(at) < REGISTRATION_GRACE;
        self.is_store_failing || self.store_recovered_at.is_some_and(has_just_recovered)
    }
}
