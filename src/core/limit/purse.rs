//! Grants that this entry holds for one account.

use std::time::Duration;

use super::NodeId;
use super::Origin;
use super::charge::GrantPart;
use super::pool::Issue;
use super::share_parameters::hold;
use crate::core::MonotonicTime;
use crate::core::ProcessIncarnation;

/// Grants that this entry holds for one account. A zone keeper passes parts
/// of them on.
#[derive(Debug, Default)]
pub(super) struct Purse {
    held: Vec<Held>,
}

#[derive(Debug)]
struct Held {
    number: u64,
    giver: Origin,
    grant: u64,
    left: u64,
    until: MonotonicTime,
    parts: Vec<Part>,
}

#[derive(Debug)]
struct Part {
    number: u64,
    micros: u64,
    until: MonotonicTime,
}

/// A grant that its holder has done with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Closed {
    /// Number of the grant at the giver.
    pub grant: u64,
    /// Millionths of a token left over.
    pub unused: u64,
}

impl Purse {
    /// Adds a grant.
    pub(super) fn add(
        &mut self,
        number: u64,
        giver: Origin,
        grant: u64,
        micros: u64,
        until: MonotonicTime,
    ) {
        self.held.push(Held {
            number,
            giver,
            grant,
            left: micros,
            until,
            parts: Vec::new(),
        });
        self.held.sort_by_key(|held| held.until);
    }

    /// Tells whether nothing is held.
    pub(super) fn is_empty(&mut self, now: MonotonicTime) -> bool {
        self.held.retain(|held| held.until > now);
        self.held.is_empty()
    }

    /// Returns what may be used for at least `span` from now.
    pub(super) fn usable(&self, span: Duration, now: MonotonicTime) -> u64 {
        self.held
            .iter()
            .filter(|held| held.until > now + span)
            .map(|held| held.left)
            .sum()
    }

    /// Takes tokens that are spent at once, from the grants that end first.
    pub(super) fn take(&mut self, micros: u64, now: MonotonicTime) -> Option<Option<GrantPart>> {
        if self.usable(Duration::ZERO, now) < micros {
            return None;
        }
        let mut open = micros;
        let mut last = None;
        for held in self.held.iter_mut().filter(|held| held.until > now) {
            let taken = held.left.min(open);
            if taken > 0 {
                held.left -= taken;
                open -= taken;
                last = Some(GrantPart {
                    number: held.number,
                    micros: taken,
                });
            }
        }
        Some(last)
    }

    /// Puts tokens back into the grant that they came from, while it lives.
    pub(super) fn put_back(&mut self, part: GrantPart, now: MonotonicTime) {
        let held = self.held.iter_mut().find(|held| held.number == part.number);
        if let Some(held) = held.filter(|held| held.until > now) {
            held.left += part.micros;
        }
    }

    /// Passes on a part of one grant, of at most the tokens named; returns
    /// the millionths passed on.
    pub(super) fn issue(&mut self, issue: Issue, now: MonotonicTime) -> u64 {
        let until = now + hold(issue.life);
        let found = self
            .held
            .iter_mut()
            .find(|held| held.until > until && held.left > 0);
        let Some(held) = found else {
            return 0;
        };
        let micros = held.left.min(issue.micros);
        held.left -= micros;
        held.parts.push(Part {
            number: issue.grant,
            micros,
            until,
        });
        micros
    }

    /// Takes back what is left of a part; an unknown or ended one is left
    /// alone.
    pub(super) fn close(&mut self, number: u64, unused: u64, now: MonotonicTime) {
        for held in &mut self.held {
            let found = held.parts.iter().position(|part| part.number == number);
            if let Some(index) = found {
                let part = held.parts.swap_remove(index);
                if part.until > now {
                    held.left += unused.min(part.micros);
                }
            }
        }
    }

    /// Returns the run of a node that gave a grant which may be closed.
    pub(super) fn find_giver(&self, node: NodeId) -> Option<ProcessIncarnation> {
        self.held
            .iter()
            .map(|held| held.giver)
            .find(|giver| giver.node == node)
            .map(|giver| giver.incarnation)
    }

    /// Removes the grants of a giver that are used up, or end within `least`,
    /// and of which no part is out.
    pub(super) fn close_done(
        &mut self,
        giver: Origin,
        least: Duration,
        now: MonotonicTime,
    ) -> Vec<Closed> {
        let too_late = now + least;
        let mut closed = Vec::new();
        self.held.retain_mut(|held| {
            held.parts.retain(|part| part.until > now);
            let is_done = held.left == 0 || held.until <= too_late;
            if held.giver != giver || !is_done || !held.parts.is_empty() || held.until <= now {
                return held.until > now;
            }
            closed.push(Closed {
                grant: held.grant,
                unused: held.left,
            });
            false
        });
        closed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GIVER: Origin = Origin {
        node: NodeId(1),
        incarnation: ProcessIncarnation(1),
    };

    fn at(millis: u64) -> MonotonicTime {
        MonotonicTime::ZERO + Duration::from_millis(millis)
    }

    fn make_part(micros: u64) -> Issue {
        Issue {
            grant: 5,
            micros,
            life: Duration::from_millis(500),
        }
    }

    #[test]
    fn take_only_while_grant_lives() {
        let mut purse = Purse::default();
        purse.add(1, GIVER, 1, 100, at(1_000));
        assert!(purse.take(60, at(999)).is_some());
        assert!(purse.take(40, at(1_000)).is_none());
    }

    #[test]
    fn issue_ends_before_its_grant() {
        let mut purse = Purse::default();
        purse.add(1, GIVER, 1, 100, at(1_000));
        assert_eq!(purse.issue(make_part(60), at(400)), 60);
        assert_eq!(purse.issue(make_part(40), at(490)), 0);
    }

    #[test]
    fn close_done_waits_for_parts() {
        let mut purse = Purse::default();
        purse.add(1, GIVER, 7, 100, at(1_000));
        purse.issue(make_part(60), at(0));
        let least = Duration::from_secs(1);
        assert!(purse.close_done(GIVER, least, at(100)).is_empty());
        purse.close(5, 10, at(200));
        let closed = Closed {
            grant: 7,
            unused: 50,
        };
        assert_eq!(purse.close_done(GIVER, least, at(300)), [closed]);
    }

    #[test]
    fn put_back_only_while_grant_lives() {
        let mut purse = Purse::default();
        purse.add(1, GIVER, 1, 100, at(1_000));
        let part = purse.take(100, at(0)).flatten().expect("a part");
        purse.put_back(part, at(999));
        assert_eq!(purse.usable(Duration::ZERO, at(999)), 100);
        purse.take(100, at(999));
        purse.put_back(part, at(1_000));
        assert!(purse.is_empty(at(1_000)));
    }
}
