//! Chooses servers by the predicted time to the first token.

use std::cmp::Reverse;
use std::collections::HashMap;

use slotmap::SecondaryMap;
use slotmap::SlotMap;

use super::BlockHash;
use super::CostModel;
use super::Plan;
use super::PlanRequest;
use super::PrefixTable;
use super::PromptPrefix;
use super::ServerKey;
use super::ServerView;
use super::score_rendezvous;
use super::server_pool::ServerPool;
use crate::core::LoadReport;
use crate::core::MonotonicTime;
use crate::core::ServerName;

/// Levels shorter than this are not worth a table entry of their own.
const MIN_LEARNED_BLOCKS: u32 = 4;

/// Levels shorter than this do not choose a home server, unless the prompt is
/// shorter.
const MIN_HOME_BLOCKS: u32 = 32;

/// Share of a prompt that a heavy prefix must cover to be spread over several
/// home servers.
const LEAST_SHARED: f64 = 0.75;

/// Home servers of one prefix at most.
const MAX_HOMES: usize = 16;

/// What chooses the home servers of a prompt.
#[derive(Debug, Clone, Copy)]
struct Home {
    prefix: BlockHash,
    servers: usize,
    /// Recent requests with the prefix.
    requests: f64,
}

#[derive(Debug, Clone, Copy)]
struct RankedServer {
    score: u64,
    key: ServerKey,
}

/// Chooses servers by the predicted time to the first token, from what this
/// entry has learned.
#[derive(Debug)]
pub struct Planner {
    zone: String,
    rates: CostModel,
    servers: SlotMap<ServerKey, ServerView>,
    pools: HashMap<String, ServerPool>,
    learned: PrefixTable,
    expected: SecondaryMap<ServerKey, u32>,
}

impl Planner {
    /// Creates a planner in an availability zone that remembers about
    /// `capacity` prefixes.
    pub fn new(zone: &str, rates: CostModel, capacity: usize) -> Self {
        Self {
            zone: zone.into(),
            rates,
            servers: SlotMap::with_key(),
            pools: HashMap::new(),
            learned: PrefixTable::new(capacity),
            expected: SecondaryMap::new(),
        }
    }

    /// Adds a server.
    pub fn add_server(&mut self, view: ServerView) -> ServerKey {
        let pool = view.pool.clone();
        let key = self.servers.insert(view);
        self.pools.entry(pool).or_default().keys.push(key);
        key
    }

    /// Removes a server and with it all that was learned of it.
    pub fn remove_server(&mut self, key: ServerKey) -> Option<ServerView> {
        let view = self.servers.remove(key)?;
        if let Some(pool) = self.pools.get_mut(&view.pool) {
            pool.keys.retain(|&other| other != key);
        }
        Some(view)
    }

    /// Returns a server.
    pub fn server(&self, key: ServerKey) -> Option<&ServerView> {
        self.servers.get(key)
    }

    /// Returns a server for change.
    pub fn server_mut(&mut self, key: ServerKey) -> Option<&mut ServerView> {
        self.servers.get_mut(key)
    }

    /// Finds a server by name.
    pub fn find_server(&self, name: &ServerName) -> Option<ServerKey> {
        self.servers
            .iter()
            .find(|(_, view)| view.name == *name)
            .map(|(key, _)| key)
    }

    /// Lists all servers.
    pub fn servers(&self) -> impl Iterator<Item = (ServerKey, &ServerView)> {
        self.servers.iter()
    }

    /// Returns the memory of all state, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.learned.memory_bytes() + self.server_bytes()
    }

    /// Returns the memory of the state that grows with the servers, in bytes.
    pub fn server_bytes(&self) -> usize {
        let views = self.servers.values().map(ServerView::memory_bytes);
        views.sum()
    }

    /// Chooses the server with the least predicted cost; none if no server
    /// of the pool takes new work.
    pub fn plan(&mut self, request: &PlanRequest, now: MonotonicTime) -> Option<Plan> {
        let prefix = request.prefix;
        let reuse = prefix.map_or(0.0, |prefix| self.expect_cached(prefix, request, now));
        let weight = self.rates.weigh_recompute(reuse);
        let tokens = request.prefix.map_or(0, |prefix| prefix.tokens);
        let keys = &self.pools.get(request.pool)?.keys;
        let best = keys
            .iter()
            .filter(|key| !request.tried.contains(key))
            .filter_map(|&key| Some((key, self.servers.get(key)?)))
            .filter(|(_, view)| view.accepts_work(now))
            .map(|(key, view)| (self.predict_cost(key, view, tokens, weight, now), key))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, key)| key);
        let plan = best.and_then(|key| self.make_plan(key, tokens, now));
        self.expected.clear();
        plan
    }

    /// Takes note that a planned request was sent.
    pub fn record_sent(&mut self, plan: &Plan, prefix: Option<&PromptPrefix>, now: MonotonicTime) {
        let Some(view) = self.servers.get_mut(plan.server) else {
            return;
        };
        view.load.record_sent(plan.uncached_tokens, now);
        let epoch = view.epoch;
        for level in prefix.iter().flat_map(|prefix| &prefix.levels) {
            if level.blocks >= MIN_LEARNED_BLOCKS {
                self.learned
                    .record_sent(level.hash, plan.server, epoch, now);
            }
        }
    }

    /// Takes note that a request has ended.
    pub fn record_end(&mut self, server: ServerKey) {
        if let Some(view) = self.servers.get_mut(server) {
            view.load.record_end();
        }
    }

    /// Takes note that a request never ran, so that its prefix was not cached.
    pub fn forget_prefix(&mut self, server: ServerKey, prefix: &PromptPrefix) {
        for level in &prefix.levels {
            self.learned.forget(level.hash, server);
        }
    }

    /// Takes note of a server's load report.
    pub fn observe_load(&mut self, server: ServerKey, report: LoadReport, now: MonotonicTime) {
        let lag = self.rates.report_lag;
        if let Some(view) = self.servers.get_mut(server) {
            view.load.apply_report(report, lag, now);
        }
    }

    /// Computes for each server the tokens of a prompt that it is expected to
    /// hold: what this entry sent there, and at the home servers of the prompt
    /// what other entries are expected to have sent. Returns the recent
    /// requests with the prefix that chose the home servers.
    fn expect_cached(
        &mut self,
        prefix: &PromptPrefix,
        request: &PlanRequest,
        now: MonotonicTime,
    ) -> f64 {
        self.expected.clear();
        let mut most_known = 0;
        for level in &prefix.levels {
            for holder in self.learned.list_holders(level.hash) {
                let Some(view) = self.servers.get(holder.server) else {
                    continue;
                };
                let is_fresh = u128::from(holder.age_ms(now)) < self.rates.retention.as_millis();
                if view.epoch == holder.epoch && is_fresh {
                    self.expected.insert(holder.server, level.tokens());
                    most_known = level.tokens();
                }
            }
        }
        let Some(home) = self.find_home(prefix, request.pool, now) else {
            return 0.0;
        };
        self.expect_at_homes(home, prefix.tokens, most_known, request, now);
        home.requests
    }

    /// Finds what chooses the home servers of a prompt: the first level whose
    /// traffic one server can bear, or a heavier one with several servers where
    /// little of the prompt comes after it. All entries see about the same
    /// traffic and so agree on it.
    fn find_home(&mut self, prefix: &PromptPrefix, pool: &str, now: MonotonicTime) -> Option<Home> {
        let pool = self.pools.get_mut(pool)?;
        pool.count_traffic(now);
        let most = self.rates.home_share * pool.traffic_per_server();
        let mut heavy = None;
        let eligible = prefix
            .levels
            .iter()
            .filter(|level| level.blocks >= MIN_HOME_BLOCKS);
        for level in eligible {
            let traffic = self.learned.count_traffic(level.hash, most, now);
            if !traffic.is_heavy {
                return Some(heavy.unwrap_or(Home {
                    prefix: level.hash,
                    servers: 1,
                    requests: traffic.requests,
                }));
            }
            if f64::from(level.tokens()) >= LEAST_SHARED * f64::from(prefix.tokens) {
                let servers = (traffic.requests / most).ceil() as usize;
                heavy = Some(Home {
                    prefix: level.hash,
                    servers: servers.clamp(1, MAX_HOMES),
                    requests: traffic.requests,
                });
            }
        }
        let last = prefix.levels.last().map(|level| Home {
            prefix: level.hash,
            servers: 1,
            requests: 1.0,
        });
        heavy.or(last)
    }

    /// Expects a prompt at its home servers, the rendezvous winners, and a
    /// part of it at the next in the order.
    fn expect_at_homes(
        &mut self,
        home: Home,
        tokens: u32,
        most_known: u32,
        request: &PlanRequest,
        now: MonotonicTime,
    ) {
        let pool = self.pools.get(request.pool);
        let mut ranked: Vec<RankedServer> = pool
            .into_iter()
            .flat_map(|pool| &pool.keys)
            .filter_map(|&key| Some((key, self.servers.get(key)?)))
            .filter(|(_, view)| view.accepts_work(now))
            .map(|(key, view)| RankedServer {
                score: score_rendezvous(home.prefix, view.seed),
                key,
            })
            .collect();
        let last = home.servers.min(ranked.len().saturating_sub(1));
        if !ranked.is_empty() {
            ranked.select_nth_unstable_by_key(last, |server| Reverse(server.score));
        }
        let share = self.rates.rendezvous_share * f64::from(tokens);
        for server in ranked.iter().take(home.servers) {
            self.raise_expected(server.key, most_known.max(share as u32));
        }
        if let Some(server) = ranked.get(home.servers) {
            self.raise_expected(server.key, (share * self.rates.second_share) as u32);
        }
    }

    fn raise_expected(&mut self, key: ServerKey, tokens: u32) {
        let known = self.expected.get(key).copied().unwrap_or(0);
        self.expected.insert(key, known.max(tokens));
    }

    fn predict_cost(
        &self,
        key: ServerKey,
        view: &ServerView,
        tokens: u32,
        weight: f64,
        now: MonotonicTime,
    ) -> f64 {
        let compute = self.predict_compute(key, tokens);
        let wait = view.load.predict_wait(&self.rates, now);
        wait + compute * weight + self.predict_trip(view)
    }

    fn predict_compute(&self, key: ServerKey, tokens: u32) -> f64 {
        let cached = self.expected.get(key).copied().unwrap_or(0);
        f64::from(tokens.saturating_sub(cached)) / self.rates.prefill_tokens_per_second
    }

    fn predict_trip(&self, view: &ServerView) -> f64 {
        if view.zone == self.zone {
            0.0
        } else {
            self.rates.zone_round_trip.as_secs_f64()
        }
    }

    fn make_plan(&self, server: ServerKey, tokens: u32, now: MonotonicTime) -> Option<Plan> {
        let view = self.servers.get(server)?;
        let cached_tokens = self.expected.get(server).copied().unwrap_or(0).min(tokens);
        let wait = view.load.predict_wait(&self.rates, now);
        let compute = self.predict_compute(server, tokens);
        Some(Plan {
            server,
            identity: view.identity,
            cached_tokens,
            uncached_tokens: tokens - cached_tokens,
            predicted_seconds: wait + compute + self.predict_trip(view),
        })
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;
    use crate::core::CacheSalt;
    use crate::core::EngineIncarnation;
    use crate::core::WeightsVersion;
    use crate::core::placement::CacheIdentity;

    const POOL: &str = "draft";

    fn make_planner(servers: usize) -> (Planner, Vec<ServerKey>) {
        let mut planner = Planner::new("a", CostModel::default(), 4_096);
        let keys = (0..servers).map(|number| {
            let name = ServerName::from(format!("s{number}").as_str());
            planner.add_server(ServerView::new(name, POOL, "a"))
        });
        let keys = keys.collect();
        (planner, keys)
    }

    fn make_prefix(account: &str) -> PromptPrefix {
        let salt = CacheSalt::of_account(&account.into());
        PromptPrefix::of_text(Some(salt), &[b'm'; 256 * 200])
    }

    fn plan(planner: &mut Planner, prefix: &PromptPrefix, tried: &[ServerKey]) -> Option<Plan> {
        let request = PlanRequest {
            pool: POOL,
            prefix: Some(prefix),
            tried,
        };
        planner.plan(&request, at(1))
    }

    fn at(seconds: u64) -> MonotonicTime {
        MonotonicTime::ZERO + Duration::from_secs(seconds)
    }

    fn identity(engine: u64, weights: u64) -> CacheIdentity {
        CacheIdentity {
            engine: Some(EngineIncarnation(engine)),
            weights: Some(WeightsVersion(weights)),
        }
    }

    /// Sends a prompt once and returns the plan of the same prompt later.
    fn plan_again(planner: &mut Planner, prefix: &PromptPrefix) -> (Plan, Plan) {
        let first = plan(planner, prefix, &[]).expect("a plan");
        planner.record_sent(&first, Some(prefix), at(1));
        planner.observe_load(first.server, LoadReport::default(), at(20));
        let again = plan(planner, prefix, &[]).expect("a plan");
        (first, again)
    }

    #[test]
    fn plan_returns_to_holder() {
        let (mut planner, _) = make_planner(8);
        let (first, again) = plan_again(&mut planner, &make_prefix("guild"));
        assert_eq!(first.server, again.server);
        assert_eq!(again.cached_tokens, 200 * 64);
    }

    #[test]
    fn plan_busy_holder_spreads() {
        let (mut planner, _) = make_planner(8);
        let prefix = make_prefix("guild");
        let (first, _) = plan_again(&mut planner, &prefix);
        let busy = LoadReport {
            queued_prompt_tokens: 1_000_000,
            ..LoadReport::default()
        };
        planner.observe_load(first.server, busy, at(1));
        let other = plan(&mut planner, &prefix, &[]).expect("a plan");
        assert_ne!(first.server, other.server);
    }

    #[test]
    fn plan_same_prompt_of_two_accounts() {
        let (mut planner, _) = make_planner(1);
        plan_again(&mut planner, &make_prefix("guild"));
        let other = plan(&mut planner, &make_prefix("other"), &[]).expect("a plan");
        let share = CostModel::default().rendezvous_share;
        assert!(f64::from(other.cached_tokens) <= share * 200.0 * 64.0);
    }

    #[test]
    fn plan_engine_restarted_expects_nothing_learned() {
        let (mut planner, keys) = make_planner(1);
        let prefix = make_prefix("guild");
        planner.servers[keys[0]].set_identity(identity(1, 1));
        let (_, warm) = plan_again(&mut planner, &prefix);
        planner.servers[keys[0]].set_identity(identity(2, 1));
        let cold = plan(&mut planner, &prefix, &[]).expect("a plan");
        assert!(cold.cached_tokens < warm.cached_tokens);
        assert_eq!(cold.identity, identity(2, 1));
    }

    #[test]
    fn plan_weights_changed_expects_nothing_learned() {
        let (mut planner, keys) = make_planner(1);
        let prefix = make_prefix("guild");
        planner.servers[keys[0]].set_identity(identity(1, 1));
        let (_, warm) = plan_again(&mut planner, &prefix);
        planner.servers[keys[0]].set_identity(identity(1, 2));
        let cold = plan(&mut planner, &prefix, &[]).expect("a plan");
        assert!(cold.cached_tokens < warm.cached_tokens);
    }

    #[test]
    fn plan_cold_entries_agree() {
        let (mut first, _) = make_planner(8);
        let (mut second, _) = make_planner(8);
        let prefix = make_prefix("guild");
        let first = plan(&mut first, &prefix, &[]).expect("a plan");
        let second = plan(&mut second, &prefix, &[]).expect("a plan");
        assert_eq!(first.server, second.server);
    }

    #[test]
    fn plan_leaves_out_tried_and_leaving() {
        let (mut planner, keys) = make_planner(2);
        let prefix = make_prefix("guild");
        planner.servers[keys[0]].leaving = true;
        let only = plan(&mut planner, &prefix, &[]).expect("a plan");
        assert_eq!(only.server, keys[1]);
        assert_eq!(plan(&mut planner, &prefix, &[keys[1]]), None);
    }

    #[test]
    fn forget_prefix_that_never_ran() {
        let (mut planner, _) = make_planner(1);
        let prefix = make_prefix("guild");
        let (first, again) = plan_again(&mut planner, &prefix);
        planner.forget_prefix(first.server, &prefix);
        let after = plan(&mut planner, &prefix, &[]).expect("a plan");
        assert!(after.cached_tokens < again.cached_tokens);
    }
}
