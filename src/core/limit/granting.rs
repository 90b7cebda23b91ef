//! Grants from keepers to entries, through zone keepers where there are many
//! entries.

use std::collections::BTreeMap;
use std::time::Duration;

use super::AccountId;
use super::GrantItem;
use super::GrantRequestItem;
use super::Limiter;
use super::NodeId;
use super::Origin;
use super::ReleasedGrant;
use super::ReleasedGrants;
use super::ShareMessage;
use super::account_state::HeldAsk;
use super::bucket::MICRO;
use super::pending::PendingAsk;
use super::pool::Issue;
use crate::core::MonotonicTime;

/// A grant gives ahead of need at most one part in this many of the level.
const AHEAD_DIVISOR: u64 = 8;

/// Requests to be expected within a grant's life for it to be worth asking
/// ahead of need.
const REQUESTS_AHEAD: f64 = 1.5;

/// Whom to ask for tokens.
#[derive(Debug, Clone, Copy)]
struct Source {
    node: NodeId,
    /// Life of the grants asked for.
    life: Duration,
    /// Span of a grant's life in which tokens should be at hand.
    ahead: Duration,
}

impl Limiter {
    /// Notes what another entry asks for and grants what can be granted.
    pub(super) fn hear_ask(
        &mut self,
        from: Origin,
        number: u64,
        items: &[GrantRequestItem],
        life: Duration,
        now: MonotonicTime,
    ) {
        for item in items {
            let Some(allowance) = self.allowances.get(&item.account).copied() else {
                continue;
            };
            let state = self.state(item.account, allowance);
            let is_known = state
                .asked_of_us
                .iter()
                .any(|ask| ask.number == number && ask.from == from.node);
            if is_known {
                continue;
            }
            // An entry asks again only when it has given up the request before.
            state.asked_of_us.retain(|ask| ask.from != from.node);
            let need = item.need.saturating_mul(MICRO);
            let want = item.want.max(item.need).saturating_mul(MICRO);
            state.demand.count(want, now);
            state.asked_of_us.push_back(HeldAsk {
                from: from.node,
                number,
                need,
                want,
                life,
                until: now + life * 4 / 5,
            });
            self.active.insert(item.account);
            self.serve(item.account, now);
        }
    }

    /// Takes back what is left of grants that this run gave.
    pub(super) fn hear_closes(&mut self, closes: Option<ReleasedGrants>, now: MonotonicTime) {
        let Some(closes) = closes.filter(|closes| closes.incarnation == self.origin.incarnation)
        else {
            return;
        };
        for item in closes.items {
            let Some(state) = self.accounts.get_mut(&item.account) else {
                continue;
            };
            let unused = item.unused.saturating_mul(MICRO);
            let allowance = state.allowance;
            state.purse.close(item.grant, unused, now);
            let group = item.account.group(self.parameters.groups);
            let pool = &mut self.pools[usize::from(group)];
            pool.close(item.account, allowance, item.grant, unused, now);
        }
    }

    /// Takes grants that this entry asked for; others are ignored.
    pub(super) fn accept_grants(
        &mut self,
        from: Origin,
        number: u64,
        items: &[GrantItem],
        now: MonotonicTime,
    ) {
        for item in items {
            let Some(pending) = self.asks.get_mut(&number) else {
                return;
            };
            if pending.to != from.node || pending.until <= now {
                return;
            }
            if !pending.accounts.remove(&item.account) {
                continue;
            }
            let until = pending.until;
            let local = self.draw_number();
            if let Some(state) = self.accounts.get_mut(&item.account) {
                let micros = item.tokens.saturating_mul(MICRO);
                state.purse.add(local, from, item.grant, micros, until);
                state.asking_until = None;
                self.serve(item.account, now);
            }
        }
    }

    /// Grants what others asked for, oldest first, as far as tokens go.
    pub(super) fn serve_asks(&mut self, account: AccountId, now: MonotonicTime) {
        let Some(state) = self.accounts.get_mut(&account) else {
            return;
        };
        state.asked_of_us.retain(|ask| ask.until > now);
        while let Some(ask) = self.first_ask(account) {
            let Some(item) = self.grant(account, ask, now) else {
                return;
            };
            if let Some(state) = self.accounts.get_mut(&account) {
                state.asked_of_us.pop_front();
            }
            self.send_grant(ask, item);
        }
    }

    /// Asks ahead of need for an account that is in steady use.
    pub(super) fn plan_ahead(&mut self, account: AccountId, now: MonotonicTime) {
        let Some(source) = self.source(account) else {
            return;
        };
        let Some(state) = self.accounts.get_mut(&account) else {
            return;
        };
        let ahead = source.ahead.as_secs_f64();
        if state.demand.requests_in(ahead, now) < REQUESTS_AHEAD {
            return;
        }
        let enough = state.demand.micros_in(ahead / 3.0, now);
        let kept = source.life - source.ahead;
        if state.purse.usable(kept, now) < enough {
            self.to_ask.insert(account);
        }
    }

    /// Sends one request to each entry that has to be asked for something.
    pub(super) fn send_asks(&mut self, now: MonotonicTime) {
        let accounts = std::mem::take(&mut self.to_ask);
        let mut asks: BTreeMap<NodeId, (Source, Vec<GrantRequestItem>)> = BTreeMap::new();
        for account in accounts {
            let Some(source) = self.source(account) else {
                continue;
            };
            if let Some(item) = self.build_ask(account, source, now) {
                let (_, items) = asks
                    .entry(source.node)
                    .or_insert_with(|| (source, Vec::new()));
                items.push(item);
            }
        }
        for (source, items) in asks.into_values() {
            self.send_ask(source, items, now);
        }
    }

    fn first_ask(&self, account: AccountId) -> Option<HeldAsk> {
        self.accounts.get(&account)?.asked_of_us.front().copied()
    }

    /// Issues a grant from the pool kept here, or else a part of a grant held.
    fn grant(&mut self, account: AccountId, ask: HeldAsk, now: MonotonicTime) -> Option<GrantItem> {
        let group = account.group(self.parameters.groups);
        let keeps = self.keeps(group);
        self.next_grant += 1;
        let grant = self.next_grant;
        let state = self.accounts.get_mut(&account)?;
        let micros = if keeps {
            let pool = &mut self.pools[usize::from(group)];
            let level = pool.level(account, state.allowance, now);
            let micros = choose_amount(ask, level)?;
            let issue = Issue {
                grant,
                micros,
                life: ask.life,
            };
            pool.issue(account, state.allowance, issue, now)
                .then_some(micros)?
        } else {
            let micros = choose_amount(ask, state.purse.usable(ask.life, now))?;
            let issue = Issue {
                grant,
                micros,
                life: ask.life,
            };
            state.purse.issue(issue, now)
        };
        let tokens = micros / MICRO;
        (tokens > 0).then_some(GrantItem {
            account,
            grant,
            tokens,
        })
    }

    /// Sends a grant, together with others for the same request.
    fn send_grant(&mut self, ask: HeldAsk, item: GrantItem) {
        let same =
            self.outgoing
                .iter_mut()
                .rev()
                .find_map(|outgoing| match &mut outgoing.message {
                    ShareMessage::Grant { number, items }
                        if *number == ask.number && outgoing.to == ask.from =>
                    {
                        Some(items)
                    }
                    _ => None,
                });
        if let Some(items) = same {
            items.push(item);
            return;
        }
        let grant = ShareMessage::Grant {
            number: ask.number,
            items: vec![item],
        };
        self.send(ask.from, grant);
    }

    fn build_ask(
        &mut self,
        account: AccountId,
        source: Source,
        now: MonotonicTime,
    ) -> Option<GrantRequestItem> {
        let state = self.accounts.get_mut(&account)?;
        if state.asking_until.is_some_and(|until| until > now) {
            return None;
        }
        let ahead = source.ahead.as_secs_f64();
        let mut want = state.needed();
        if state.demand.requests_in(ahead, now) >= REQUESTS_AHEAD {
            want += state.demand.micros_in(ahead, now);
        }
        let held = state.purse.usable(source.life - source.ahead, now);
        let most = state.allowance.burst;
        let want = want.saturating_sub(held).div_ceil(MICRO).min(most);
        let need = state.first_need().saturating_sub(held).div_ceil(MICRO);
        let need = need.min(want);
        (want > 0).then_some(GrantRequestItem {
            account,
            need,
            want,
        })
    }

    fn send_ask(&mut self, source: Source, items: Vec<GrantRequestItem>, now: MonotonicTime) {
        let number = self.draw_number();
        let until = now + source.life;
        for item in &items {
            if let Some(state) = self.accounts.get_mut(&item.account) {
                state.asking_until = Some(until);
            }
        }
        let pending = PendingAsk {
            to: source.node,
            accounts: items.iter().map(|item| item.account).collect(),
            until,
        };
        self.asks.insert(number, pending);
        let closes = self.collect_closes(source, &items, now);
        let ask = ShareMessage::RequestGrants {
            number,
            items,
            life_ms: u32::try_from(source.life.as_millis()).unwrap_or(u32::MAX),
            closes,
        };
        self.send(source.node, ask);
    }

    /// Collects grants of the entry to be asked that are done with.
    fn collect_closes(
        &mut self,
        source: Source,
        items: &[GrantRequestItem],
        now: MonotonicTime,
    ) -> Option<ReleasedGrants> {
        let least = (source.life - source.ahead).min(source.life / 2);
        let giver = items.iter().find_map(|item| {
            let state = self.accounts.get(&item.account)?;
            state.purse.find_giver(source.node)
        })?;
        let origin = Origin {
            node: source.node,
            incarnation: giver,
        };
        let mut closes = Vec::new();
        for item in items {
            let Some(state) = self.accounts.get_mut(&item.account) else {
                continue;
            };
            let closed = state.purse.close_done(origin, least, now);
            closes.extend(closed.iter().map(|closed| ReleasedGrant {
                account: item.account,
                grant: closed.grant,
                unused: closed.unused / MICRO,
            }));
        }
        (!closes.is_empty()).then_some(ReleasedGrants {
            incarnation: giver,
            items: closes,
        })
    }

    /// Returns whom to ask for tokens of an account; nobody if this entry
    /// keeps them itself.
    fn source(&self, account: AccountId) -> Option<Source> {
        let group = usize::from(account.group(self.parameters.groups));
        let own = self.origin.node;
        let keeper = self.keepers[group].filter(|keeper| *keeper != own)?;
        let is_flat = self.roster.len() <= self.parameters.max_entries_without_zones;
        let zone_keeper = self.zone_keepers[group].filter(|_| !is_flat);
        let grant = self.parameters.grant_duration;
        let part = self.parameters.sub_grant_duration;
        match zone_keeper {
            Some(node) if node == own => Some(Source {
                node: keeper,
                life: grant,
                ahead: grant - part,
            }),
            Some(node) if node != keeper => Some(Source {
                node,
                life: part,
                ahead: part * 2 / 3,
            }),
            _ => Some(Source {
                node: keeper,
                life: grant,
                ahead: grant * 2 / 3,
            }),
        }
    }
}

/// Chooses how much of a level to grant.
fn choose_amount(ask: HeldAsk, level: u64) -> Option<u64> {
    if level < ask.need {
        return None;
    }
    let ahead = (level - ask.need) / AHEAD_DIVISOR;
    let micros = ask.need + ahead.min(ask.want - ask.need);
    let whole = micros / MICRO * MICRO;
    (whole > 0).then_some(whole)
}
