//! Grants that an entry holds for one account, and the sub-grants issued from
//! them.

use std::time::Duration;

use super::NodeId;
use super::Origin;
use super::charge::GrantDebit;
use super::loan_pool::NewGrant;
use super::share_parameters::with_clock_margin;
use crate::core::MonotonicTime;
use crate::core::ProcessIncarnation;

/// Grants that this entry holds for one account, ordered by expiry. A zone
/// coordinator issues sub-grants from them.
#[derive(Debug, Default)]
pub(super) struct HeldGrants {
    grants: Vec<HeldGrant>,
}

#[derive(Debug)]
struct HeldGrant {
    /// Local id, by which a charge refers to the grant.
    id: u64,
    issuer: Origin,
    /// Id of the grant at its issuer.
    issuer_grant_id: u64,
    /// Micro-tokens neither spent nor issued as sub-grants.
    remaining: u64,
    expires_at: MonotonicTime,
    /// Sub-grants that may still be in use.
    sub_grants: Vec<SubGrant>,
}

/// A part of a held grant that another entry may use until it expires.
#[derive(Debug)]
struct SubGrant {
    id: u64,
    micro_tokens: u64,
    expires_at: MonotonicTime,
}

/// A grant that its holder no longer uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FinishedGrant {
    /// Id of the grant at its issuer.
    pub grant_id: u64,
    /// Micro-tokens to return to the issuer.
    pub unused_micro_tokens: u64,
}

impl HeldGrants {
    /// Adds a grant under a new local id.
    pub(super) fn add(
        &mut self,
        id: u64,
        issuer: Origin,
        issuer_grant_id: u64,
        micro_tokens: u64,
        expires_at: MonotonicTime,
    ) {
        self.grants.push(HeldGrant {
            id,
            issuer,
            issuer_grant_id,
            remaining: micro_tokens,
            expires_at,
            sub_grants: Vec::new(),
        });
        self.grants.sort_by_key(|grant| grant.expires_at);
    }

    /// Drops expired grants and returns whether none is left.
    pub(super) fn is_empty(&mut self, now: MonotonicTime) -> bool {
        self.grants.retain(|grant| grant.expires_at > now);
        self.grants.is_empty()
    }

    /// Returns the micro-tokens in grants that stay valid for longer than
    /// `duration` from now.
    pub(super) fn usable_for(&self, duration: Duration, now: MonotonicTime) -> u64 {
        self.grants
            .iter()
            .filter(|grant| grant.expires_at > now + duration)
            .map(|grant| grant.remaining)
            .sum()
    }

    /// Takes micro-tokens from the grants that expire first. Returns `None` if
    /// there are too few, otherwise the debit of the last grant used, if any,
    /// which covers only what that grant paid.
    pub(super) fn try_take(
        &mut self,
        micro_tokens: u64,
        now: MonotonicTime,
    ) -> Option<Option<GrantDebit>> {
        if self.usable_for(Duration::ZERO, now) < micro_tokens {
            return None;
        }
        let mut missing = micro_tokens;
        let mut last_debit = None;
        for grant in self
            .grants
            .iter_mut()
            .filter(|grant| grant.expires_at > now)
        {
            let taken = grant.remaining.min(missing);
            if taken > 0 {
                grant.remaining -= taken;
                missing -= taken;
                last_debit = Some(GrantDebit {
                    held_grant_id: grant.id,
                    micro_tokens: taken,
                });
            }
        }
        Some(last_debit)
    }

    /// Returns micro-tokens to the grant that they were taken from; they are
    /// lost if it has expired or was released.
    pub(super) fn refund(&mut self, debit: GrantDebit, now: MonotonicTime) {
        let grant = self
            .grants
            .iter_mut()
            .find(|grant| grant.id == debit.held_grant_id);
        if let Some(grant) = grant.filter(|grant| grant.expires_at > now) {
            grant.remaining += debit.micro_tokens;
        }
    }

    /// Issues a sub-grant from one grant that outlasts it, of at most the
    /// requested size. Returns its micro-tokens, or 0 if there is no such
    /// grant.
    pub(super) fn issue_sub_grant(&mut self, new_grant: NewGrant, now: MonotonicTime) -> u64 {
        let expires_at = now + with_clock_margin(new_grant.lifetime);
        let found = self
            .grants
            .iter_mut()
            .find(|grant| grant.expires_at > expires_at && grant.remaining > 0);
        let Some(grant) = found else {
            return 0;
        };
        let micro_tokens = grant.remaining.min(new_grant.micro_tokens);
        grant.remaining -= micro_tokens;
        grant.sub_grants.push(SubGrant {
            id: new_grant.id,
            micro_tokens,
            expires_at,
        });
        micro_tokens
    }

    /// Takes back the unused micro-tokens of a sub-grant; ignores unknown and
    /// expired ones.
    pub(super) fn release_sub_grant(
        &mut self,
        id: u64,
        unused_micro_tokens: u64,
        now: MonotonicTime,
    ) {
        for grant in &mut self.grants {
            let found = grant
                .sub_grants
                .iter()
                .position(|sub_grant| sub_grant.id == id);
            if let Some(index) = found {
                let sub_grant = grant.sub_grants.swap_remove(index);
                if sub_grant.expires_at > now {
                    grant.remaining += unused_micro_tokens.min(sub_grant.micro_tokens);
                }
            }
        }
    }

    /// Returns the incarnation of the issuer of the earliest-expiring grant from
    /// `node`.
    pub(super) fn issuer_incarnation(&self, node: NodeId) -> Option<ProcessIncarnation> {
        self.grants
            .iter()
            .map(|grant| grant.issuer)
            .find(|issuer| issuer.node == node)
            .map(|issuer| issuer.incarnation)
    }

    /// Drops expired grants. Removes and returns the issuer's grants that are
    /// used up or expire within `min_remaining`, except those with sub-grants
    /// in use.
    pub(super) fn release_finished(
        &mut self,
        issuer: Origin,
        min_remaining: Duration,
        now: MonotonicTime,
    ) -> Vec<FinishedGrant> {
        let earliest_useful_end = now + min_remaining;
        let mut finished = Vec::new();
        self.grants.retain_mut(|grant| {
            grant
                .sub_grants
                .retain(|sub_grant| sub_grant.expires_at > now);
            let is_finished = grant.remaining == 0 || grant.expires_at <= earliest_useful_end;
            if grant.issuer != issuer
                || !is_finished
                || !grant.sub_grants.is_empty()
                || grant.expires_at <= now
            {
                return grant.expires_at > now;
            }
            finished.push(FinishedGrant {
                grant_id: grant.issuer_grant_id,
                unused_micro_tokens: grant.remaining,
            });
            false
        });
        finished
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ISSUER: Origin = Origin {
        node: NodeId(1),
        incarnation: ProcessIncarnation(1),
    };

    fn at(millis: u64) -> MonotonicTime {
        MonotonicTime::ZERO + Duration::from_millis(millis)
    }

    fn make_new_grant(micro_tokens: u64) -> NewGrant {
        NewGrant {
            id: 5,
            micro_tokens,
            lifetime: Duration::from_millis(500),
        }
    }

    #[test]
    fn try_take_only_before_expiry() {
        let mut held_grants = HeldGrants::default();
        held_grants.add(1, ISSUER, 1, 100, at(1_000));
        assert!(held_grants.try_take(60, at(999)).is_some());
        assert!(held_grants.try_take(40, at(1_000)).is_none());
    }

    #[test]
    fn issue_sub_grant_expires_before_its_grant() {
        let mut held_grants = HeldGrants::default();
        held_grants.add(1, ISSUER, 1, 100, at(1_000));
        assert_eq!(held_grants.issue_sub_grant(make_new_grant(60), at(400)), 60);
        assert_eq!(held_grants.issue_sub_grant(make_new_grant(40), at(490)), 0);
    }

    #[test]
    fn release_finished_waits_for_sub_grants() {
        let mut held_grants = HeldGrants::default();
        held_grants.add(1, ISSUER, 7, 100, at(1_000));
        held_grants.issue_sub_grant(make_new_grant(60), at(0));
        let min_remaining = Duration::from_secs(1);
        assert!(
            held_grants
                .release_finished(ISSUER, min_remaining, at(100))
                .is_empty()
        );
        held_grants.release_sub_grant(5, 10, at(200));
        let finished = FinishedGrant {
            grant_id: 7,
            unused_micro_tokens: 50,
        };
        assert_eq!(
            held_grants.release_finished(ISSUER, min_remaining, at(300)),
            [finished]
        );
    }

    #[test]
    fn refund_only_before_expiry() {
        let mut held_grants = HeldGrants::default();
        held_grants.add(1, ISSUER, 1, 100, at(1_000));
        let debit = held_grants
            .try_take(100, at(0))
            .flatten()
            .expect("the grant pays the full amount");
        held_grants.refund(debit, at(999));
        assert_eq!(held_grants.usable_for(Duration::ZERO, at(999)), 100);
        held_grants.try_take(100, at(999));
        held_grants.refund(debit, at(1_000));
        assert!(held_grants.is_empty(at(1_000)));
    }
}
