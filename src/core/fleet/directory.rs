//! Which backend servers there are, as the store tells it.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::Member;
use crate::core::MonotonicTime;
use crate::core::ServerName;

/// Time after the store's return within which a living server is listed
/// again: by the platform's contract about two seconds. The return is noticed
/// late by up to a call's timeout, which is the margin.
const RETURN_GRACE: Duration = Duration::from_secs(2);

/// A change of what is known of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// A server is listed, anew or with other facts.
    Listed(Member),
    /// A server is gone.
    Removed(ServerName),
}

/// Which backend servers there are. A server whose record lapses while the
/// store is in trouble stays until the store has been back for a while.
#[derive(Debug, Default)]
pub struct Directory {
    members: HashMap<ServerName, Member>,
    lapsed: HashSet<ServerName>,
    is_store_failing: bool,
    store_back_at: Option<MonotonicTime>,
}

impl Directory {
    /// Takes note that a call to the store failed.
    pub fn record_store_failure(&mut self) {
        self.is_store_failing = true;
    }

    /// Takes note that a call to the store was answered.
    pub fn record_store_answer(&mut self, now: MonotonicTime) {
        if self.is_store_failing {
            self.is_store_failing = false;
            self.store_back_at = Some(now);
        }
    }

    /// Takes note of one change and returns what follows from it.
    pub fn apply(&mut self, change: MemberChange, now: MonotonicTime) -> Option<MemberChange> {
        match change {
            MemberChange::Listed(member) => {
                self.lapsed.remove(&member.name);
                if self.members.get(&member.name) == Some(&member) {
                    return None;
                }
                self.members.insert(member.name.clone(), member.clone());
                Some(MemberChange::Listed(member))
            }
            MemberChange::Removed(name) => self.remove(name, now),
        }
    }

    /// Takes over a whole list and returns what follows from it.
    pub fn replace(&mut self, listed: Vec<Member>, now: MonotonicTime) -> Vec<MemberChange> {
        let missing: Vec<ServerName> = self
            .members
            .keys()
            .filter(|name| !listed.iter().any(|member| member.name == **name))
            .cloned()
            .collect();
        let listed = listed.into_iter().map(MemberChange::Listed);
        let gone = missing.into_iter().map(MemberChange::Removed);
        listed
            .chain(gone)
            .filter_map(|change| self.apply(change, now))
            .collect()
    }

    /// Returns the servers that lapsed and did not return in time.
    pub fn remove_expired(&mut self, now: MonotonicTime) -> Vec<MemberChange> {
        if self.is_unstable(now) {
            return Vec::new();
        }
        let expired: Vec<ServerName> = self.lapsed.drain().collect();
        for name in &expired {
            self.members.remove(name);
        }
        expired.into_iter().map(MemberChange::Removed).collect()
    }

    /// Lists the servers known, lapsed ones included.
    pub fn list(&self) -> Vec<Member> {
        self.members.values().cloned().collect()
    }

    /// Servers known, lapsed ones included.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Tells whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn remove(&mut self, name: ServerName, now: MonotonicTime) -> Option<MemberChange> {
        if !self.members.contains_key(&name) {
            return None;
        }
        if self.is_unstable(now) {
            self.lapsed.insert(name);
            return None;
        }
        self.lapsed.remove(&name);
        self.members.remove(&name);
        Some(MemberChange::Removed(name))
    }

    fn is_unstable(&self, now: MonotonicTime) -> bool {
        let is_just_back = |at| now.since(at) < RETURN_GRACE;
        self.is_store_failing || self.store_back_at.is_some_and(is_just_back)
    }
}
