//! The planner of the entry as a policy of the simulation.

use std::time::Duration;

use teaseldrum::core::EngineIncarnation;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::ServerName;
use teaseldrum::core::WeightsVersion;
use teaseldrum::core::placement::CacheIdentity;
use teaseldrum::core::placement::CostModel;
use teaseldrum::core::placement::PlanRequest;
use teaseldrum::core::placement::Planner;
use teaseldrum::core::placement::ServerKey;
use teaseldrum::core::placement::ServerView;

use super::server_selector::LoadUpdate;
use super::trace::TracedRequest;
use super::workload::WorkloadParameters;

const POOL: &str = "drafting";
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Prefixes that the planner remembers.
const PREFIX_TABLE_CAPACITY: usize = 100_000;
/// Time for which a server is avoided after it failed an attempt.
const FAILED_SERVER_BACKOFF: Duration = Duration::from_secs(1);

/// The planner of one entry, set up as in production.
#[derive(Debug)]
pub struct TeaseldrumPolicy {
    planner: Planner,
    /// Planner keys by the index of the server.
    keys: Vec<ServerKey>,
}

impl TeaseldrumPolicy {
    /// Creates the planner of an entry that knows all servers but no load.
    pub fn new(parameters: &WorkloadParameters, entry: usize) -> Self {
        let zone = ZONES[entry % ZONES.len()];
        let mut planner = Planner::new(zone, CostModel::default(), PREFIX_TABLE_CAPACITY);
        let keys = (0..parameters.servers).map(|server| {
            let name = ServerName::from(format!("server-{server}").as_str());
            let zone = ZONES[server % ZONES.len()];
            planner.add_server(ServerView::new(name, POOL, zone))
        });
        let keys = keys.collect();
        Self { planner, keys }
    }

    /// Selects a server that is not in `tried` and records the attempt there.
    pub fn select(
        &mut self,
        request: &TracedRequest,
        tried: &[usize],
        now: MonotonicTime,
    ) -> Option<usize> {
        let tried: Vec<ServerKey> = tried.iter().map(|&server| self.keys[server]).collect();
        let plan_request = PlanRequest {
            pool: POOL,
            prefix: Some(&request.prefix),
            tried: &tried,
        };
        let plan = self.planner.plan(&plan_request, now)?;
        self.planner.record_sent(&plan, Some(&request.prefix), now);
        self.keys.iter().position(|&key| key == plan.server)
    }

    /// Records that an attempt at a server ended.
    pub fn record_attempt_end(&mut self, server: usize) {
        self.planner.record_end(self.keys[server]);
    }

    /// Records that a server failed an attempt: its prefix is no longer expected
    /// there, and the server is avoided for [`FAILED_SERVER_BACKOFF`].
    pub fn record_failure(&mut self, server: usize, request: &TracedRequest, now: MonotonicTime) {
        let key = self.keys[server];
        self.planner.forget_prefix(key, &request.prefix);
        if let Some(view) = self.planner.server_mut(key) {
            view.avoid_until(now + FAILED_SERVER_BACKOFF);
        }
    }

    /// Records the load and cache identity of a server, which is reachable again.
    pub fn observe_load(&mut self, update: &LoadUpdate, now: MonotonicTime) {
        let key = self.keys[update.server];
        if let Some(view) = self.planner.server_mut(key) {
            view.set_identity(CacheIdentity {
                engine: Some(EngineIncarnation(update.engine)),
                weights: Some(WeightsVersion(1)),
            });
            view.avoid_until(MonotonicTime::ZERO);
        }
        self.planner.observe_load(key, update.load, now);
    }
}
