//! Planner that chooses the server of each request by predicted cost.

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

/// Length in blocks below which a prefix level is not recorded in the table.
const MIN_TRACKED_BLOCKS: u32 = 4;

/// Length in blocks below which a prefix level does not determine the home
/// servers, unless the whole prompt is shorter.
const MIN_HOME_BLOCKS: u32 = 32;

/// Minimum fraction of a prompt that a prefix with too much traffic for one home
/// server must cover to be given several.
const MIN_SHARED_FRACTION: f64 = 0.75;

/// Maximum number of home servers of one prefix.
const MAX_HOME_SERVERS: usize = 16;

/// Prefix that determines the home servers of a prompt, and their number. Home
/// servers are those to which all entries send a prefix by preference.
#[derive(Debug, Clone, Copy)]
struct HomeChoice {
    prefix: BlockHash,
    server_count: usize,
    /// Recent requests with the prefix, decayed by age.
    recent_requests: f64,
}

#[derive(Debug, Clone, Copy)]
struct RankedServer {
    score: u64,
    key: ServerKey,
}

/// Chooses servers by predicted cost, from the requests that this entry has sent
/// and the reports that it has received. The cost is the time to the first
/// token, in which the time to compute uncached tokens has a higher weight.
#[derive(Debug)]
pub struct Planner {
    zone: String,
    costs: CostModel,
    servers: SlotMap<ServerKey, ServerView>,
    pools: HashMap<String, ServerPool>,
    prefix_table: PrefixTable,
    /// Prompt tokens that each server is expected to have cached. Only used
    /// during a call of [`Self::plan`].
    expected_cached: SecondaryMap<ServerKey, u32>,
}

impl Planner {
    /// Creates the planner of an entry in availability zone `zone`, which
    /// remembers about `capacity` prefixes.
    pub fn new(zone: &str, costs: CostModel, capacity: usize) -> Self {
        Self {
            zone: zone.into(),
            costs,
            servers: SlotMap::with_key(),
            pools: HashMap::new(),
            prefix_table: PrefixTable::new(capacity),
            expected_cached: SecondaryMap::new(),
        }
    }

    /// Adds a server to its pool.
    pub fn add_server(&mut self, view: ServerView) -> ServerKey {
        let pool = view.pool.clone();
        let key = self.servers.insert(view);
        self.pools.entry(pool).or_default().keys.push(key);
        key
    }

    /// Removes a server. Its recorded prefixes are no longer used.
    pub fn remove_server(&mut self, key: ServerKey) -> Option<ServerView> {
        let view = self.servers.remove(key)?;
        if let Some(pool) = self.pools.get_mut(&view.pool) {
            pool.keys.retain(|&other| other != key);
        }
        Some(view)
    }

    /// Returns the state of a server.
    pub fn server(&self, key: ServerKey) -> Option<&ServerView> {
        self.servers.get(key)
    }

    /// Returns the mutable state of a server.
    pub fn server_mut(&mut self, key: ServerKey) -> Option<&mut ServerView> {
        self.servers.get_mut(key)
    }

    /// Finds the key of a server by its name.
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

    /// Returns the memory used by the planner, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.prefix_table.memory_bytes() + self.server_bytes()
    }

    /// Returns the memory that grows with the number of servers, in bytes.
    pub fn server_bytes(&self) -> usize {
        let views = self.servers.values().map(ServerView::memory_bytes);
        views.sum()
    }

    /// Chooses the server with the least predicted cost; `None` if no untried
    /// server of the pool accepts new requests.
    pub fn plan(&mut self, request: &PlanRequest, now: MonotonicTime) -> Option<Plan> {
        let prefix = request.prefix;
        let recent_requests =
            prefix.map_or(0.0, |prefix| self.update_estimates(prefix, request, now));
        let recompute_weight = self.costs.weigh_recompute(recent_requests);
        let tokens = request.prefix.map_or(0, |prefix| prefix.tokens);
        let keys = &self.pools.get(request.pool)?.keys;
        let best = keys
            .iter()
            .filter(|key| !request.tried.contains(key))
            .filter_map(|&key| Some((key, self.servers.get(key)?)))
            .filter(|(_, view)| view.accepts_work(now))
            .map(|(key, view)| {
                (
                    self.predict_cost(key, view, tokens, recompute_weight, now),
                    key,
                )
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, key)| key);
        let plan = best.and_then(|key| self.make_plan(key, tokens, now));
        self.expected_cached.clear();
        plan
    }

    /// Records that a planned request was sent.
    pub fn record_sent(&mut self, plan: &Plan, prefix: Option<&PromptPrefix>, now: MonotonicTime) {
        let Some(view) = self.servers.get_mut(plan.server) else {
            return;
        };
        view.load.record_sent(plan.uncached_tokens, now);
        let cache_epoch = view.cache_epoch;
        for level in prefix.iter().flat_map(|prefix| &prefix.levels) {
            if level.blocks >= MIN_TRACKED_BLOCKS {
                self.prefix_table
                    .record_sent(level.hash, plan.server, cache_epoch, now);
            }
        }
    }

    /// Records that a request has ended.
    pub fn record_end(&mut self, server: ServerKey) {
        if let Some(view) = self.servers.get_mut(server) {
            view.load.record_end();
        }
    }

    /// Removes a server from the holders of a prefix after a request with it
    /// did not run there. Also forgets that earlier requests may have cached
    /// the prefix there.
    pub fn forget_prefix(&mut self, server: ServerKey, prefix: &PromptPrefix) {
        for level in &prefix.levels {
            self.prefix_table.forget(level.hash, server);
        }
    }

    /// Applies a server's load report, which arrived now.
    pub fn observe_load(&mut self, server: ServerKey, report: LoadReport, now: MonotonicTime) {
        let lag = self.costs.report_lag;
        if let Some(view) = self.servers.get_mut(server) {
            view.load.apply_report(report, lag, now);
        }
    }

    /// Updates the estimates of how many tokens of a prompt each server has
    /// cached: what this entry sent there and, on the prompt's home servers,
    /// what other entries are expected to have sent. Returns the number of
    /// recent requests with the prefix that determines the home servers.
    fn update_estimates(
        &mut self,
        prefix: &PromptPrefix,
        request: &PlanRequest,
        now: MonotonicTime,
    ) -> f64 {
        self.expected_cached.clear();
        let mut longest_known = 0;
        for level in &prefix.levels {
            for holder in self.prefix_table.list_holders(level.hash) {
                let Some(view) = self.servers.get(holder.server) else {
                    continue;
                };
                let is_fresh =
                    u128::from(holder.age_ms(now)) < self.costs.cache_retention.as_millis();
                if view.cache_epoch == holder.cache_epoch && is_fresh {
                    self.expected_cached.insert(holder.server, level.tokens());
                    longest_known = level.tokens();
                }
            }
        }
        let Some(home) = self.choose_home(prefix, request.pool, now) else {
            return 0.0;
        };
        self.estimate_at_homes(home, prefix.tokens, longest_known, request, now);
        home.recent_requests
    }

    /// Chooses the prefix that determines the home servers of a prompt: the
    /// shortest level whose traffic one server can take, or a heavier level
    /// with several home servers if it covers most of the prompt. If there is
    /// neither, it is the last level, with one home server. All entries see
    /// about the same traffic and therefore choose the same level.
    ///
    /// Also counts the request in the traffic of the pool and of each level
    /// that it examines.
    fn choose_home(
        &mut self,
        prefix: &PromptPrefix,
        pool: &str,
        now: MonotonicTime,
    ) -> Option<HomeChoice> {
        let pool = self.pools.get_mut(pool)?;
        pool.count_traffic(now);
        let max_home_traffic = self.costs.max_home_traffic_share * pool.traffic_per_server();
        let mut spread_choice = None;
        let eligible = prefix
            .levels
            .iter()
            .filter(|level| level.blocks >= MIN_HOME_BLOCKS);
        for level in eligible {
            let traffic = self
                .prefix_table
                .count_traffic(level.hash, max_home_traffic, now);
            if !traffic.is_heavy {
                return Some(spread_choice.unwrap_or(HomeChoice {
                    prefix: level.hash,
                    server_count: 1,
                    recent_requests: traffic.requests,
                }));
            }
            if f64::from(level.tokens()) >= MIN_SHARED_FRACTION * f64::from(prefix.tokens) {
                let servers = (traffic.requests / max_home_traffic).ceil() as usize;
                spread_choice = Some(HomeChoice {
                    prefix: level.hash,
                    server_count: servers.clamp(1, MAX_HOME_SERVERS),
                    recent_requests: traffic.requests,
                });
            }
        }
        // The traffic of this level may not have been counted: only this request
        // is assumed.
        let last = prefix.levels.last().map(|level| HomeChoice {
            prefix: level.hash,
            server_count: 1,
            recent_requests: 1.0,
        });
        spread_choice.or(last)
    }

    /// Raises the estimates of the prompt's home servers, which are the servers
    /// with the highest rendezvous scores, and of the next one. Other entries
    /// prefer the home servers too, so these are expected to have cached at
    /// least `longest_known`, the tokens of the longest level that this entry
    /// has recently sent to any server.
    fn estimate_at_homes(
        &mut self,
        home: HomeChoice,
        tokens: u32,
        longest_known: u32,
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
                score: score_rendezvous(home.prefix, view.name_hash),
                key,
            })
            .collect();
        let last = home.server_count.min(ranked.len().saturating_sub(1));
        if !ranked.is_empty() {
            ranked.select_nth_unstable_by_key(last, |server| Reverse(server.score));
        }
        let share = self.costs.winner_cached_share * f64::from(tokens);
        for server in ranked.iter().take(home.server_count) {
            self.raise_estimate(server.key, longest_known.max(share as u32));
        }
        if let Some(server) = ranked.get(home.server_count) {
            self.raise_estimate(server.key, (share * self.costs.runner_up_share) as u32);
        }
    }

    fn raise_estimate(&mut self, key: ServerKey, tokens: u32) {
        let known = self.expected_cached.get(key).copied().unwrap_or(0);
        self.expected_cached.insert(key, known.max(tokens));
    }

    /// Predicts the cost of sending a prompt to a server: the time to the first
    /// token in seconds, in which the time to compute uncached tokens is
    /// multiplied by `recompute_weight`.
    fn predict_cost(
        &self,
        key: ServerKey,
        view: &ServerView,
        tokens: u32,
        recompute_weight: f64,
        now: MonotonicTime,
    ) -> f64 {
        let compute = self.predict_compute(key, tokens);
        let wait = view.load.predict_wait(&self.costs, now);
        wait + compute * recompute_weight + self.predict_round_trip(view)
    }

    fn predict_compute(&self, key: ServerKey, tokens: u32) -> f64 {
        let cached = self.expected_cached.get(key).copied().unwrap_or(0);
        f64::from(tokens.saturating_sub(cached)) / self.costs.prefill_tokens_per_second
    }

    fn predict_round_trip(&self, view: &ServerView) -> f64 {
        if view.zone == self.zone {
            0.0
        } else {
            self.costs.zone_round_trip.as_secs_f64()
        }
    }

    fn make_plan(&self, server: ServerKey, tokens: u32, now: MonotonicTime) -> Option<Plan> {
        let view = self.servers.get(server)?;
        let cached_tokens = self
            .expected_cached
            .get(server)
            .copied()
            .unwrap_or(0)
            .min(tokens);
        let wait = view.load.predict_wait(&self.costs, now);
        let compute = self.predict_compute(server, tokens);
        Some(Plan {
            server,
            identity: view.identity,
            cached_tokens,
            uncached_tokens: tokens - cached_tokens,
            predicted_seconds: wait + compute + self.predict_round_trip(view),
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

    /// Plans and sends a prompt, reports the server as idle, plans the prompt
    /// again and returns both plans.
    fn plan_twice(planner: &mut Planner, prefix: &PromptPrefix) -> (Plan, Plan) {
        let first = plan(planner, prefix, &[]).expect("a server accepts the request");
        planner.record_sent(&first, Some(prefix), at(1));
        planner.observe_load(first.server, LoadReport::default(), at(20));
        let again = plan(planner, prefix, &[]).expect("a server accepts the request");
        (first, again)
    }

    #[test]
    fn plan_returns_to_holder() {
        let (mut planner, _) = make_planner(8);
        let (first, again) = plan_twice(&mut planner, &make_prefix("guild"));
        assert_eq!(first.server, again.server);
        assert_eq!(again.cached_tokens, 200 * 64);
    }

    #[test]
    fn plan_avoids_busy_holder() {
        let (mut planner, _) = make_planner(8);
        let prefix = make_prefix("guild");
        let (first, _) = plan_twice(&mut planner, &prefix);
        let busy = LoadReport {
            queued_prompt_tokens: 1_000_000,
            ..LoadReport::default()
        };
        planner.observe_load(first.server, busy, at(1));
        let other = plan(&mut planner, &prefix, &[]).expect("a server accepts the request");
        assert_ne!(first.server, other.server);
    }

    #[test]
    fn plan_two_accounts_share_no_cache() {
        let (mut planner, _) = make_planner(1);
        plan_twice(&mut planner, &make_prefix("guild"));
        let other =
            plan(&mut planner, &make_prefix("other"), &[]).expect("a server accepts the request");
        let share = CostModel::default().winner_cached_share;
        assert!(f64::from(other.cached_tokens) <= share * 200.0 * 64.0);
    }

    #[test]
    fn plan_engine_restart_discards_holders() {
        let (mut planner, keys) = make_planner(1);
        let prefix = make_prefix("guild");
        planner.servers[keys[0]].set_identity(identity(1, 1));
        let (_, warm) = plan_twice(&mut planner, &prefix);
        planner.servers[keys[0]].set_identity(identity(2, 1));
        let cold = plan(&mut planner, &prefix, &[]).expect("a server accepts the request");
        assert!(cold.cached_tokens < warm.cached_tokens);
        assert_eq!(cold.identity, identity(2, 1));
    }

    #[test]
    fn plan_weights_change_discards_holders() {
        let (mut planner, keys) = make_planner(1);
        let prefix = make_prefix("guild");
        planner.servers[keys[0]].set_identity(identity(1, 1));
        let (_, warm) = plan_twice(&mut planner, &prefix);
        planner.servers[keys[0]].set_identity(identity(1, 2));
        let cold = plan(&mut planner, &prefix, &[]).expect("a server accepts the request");
        assert!(cold.cached_tokens < warm.cached_tokens);
    }

    #[test]
    fn plan_same_on_entries_without_history() {
        let (mut first, _) = make_planner(8);
        let (mut second, _) = make_planner(8);
        let prefix = make_prefix("guild");
        let first = plan(&mut first, &prefix, &[]).expect("a server accepts the request");
        let second = plan(&mut second, &prefix, &[]).expect("a server accepts the request");
        assert_eq!(first.server, second.server);
    }

    #[test]
    fn plan_skips_tried_and_leaving() {
        let (mut planner, keys) = make_planner(2);
        let prefix = make_prefix("guild");
        planner.servers[keys[0]].leaving = true;
        let only = plan(&mut planner, &prefix, &[]).expect("a server accepts the request");
        assert_eq!(only.server, keys[1]);
        assert_eq!(plan(&mut planner, &prefix, &[keys[1]]), None);
    }

    #[test]
    fn forget_prefix_of_request_that_never_ran() {
        let (mut planner, _) = make_planner(1);
        let prefix = make_prefix("guild");
        let (first, again) = plan_twice(&mut planner, &prefix);
        planner.forget_prefix(first.server, &prefix);
        let after = plan(&mut planner, &prefix, &[]).expect("a server accepts the request");
        assert!(after.cached_tokens < again.cached_tokens);
    }
}
