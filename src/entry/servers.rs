//! Backend servers as this entry knows them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use slotmap::SecondaryMap;

use super::choice::Choice;
use crate::clock::Clock;
use crate::core::Report;
use crate::core::ServerName;
use crate::core::placement::CacheIdentity;
use crate::core::placement::CostRates;
use crate::core::placement::LEARNED_PREFIXES;
use crate::core::placement::PlanRequest;
use crate::core::placement::Planner;
use crate::core::placement::PromptPrefix;
use crate::core::placement::ServerKey;
use crate::core::placement::ServerView;
use crate::core::retry::AttemptFailure;
use crate::settings::EntrySettings;

/// Time for which a server that was not reached gets no new work.
const AVOID_UNREACHED: Duration = Duration::from_secs(1);

/// Backend servers as this entry knows them.
#[derive(Debug)]
pub struct Servers {
    clock: Clock,
    known: Mutex<Known>,
}

#[derive(Debug)]
struct Known {
    planner: Planner,
    links: SecondaryMap<ServerKey, Link>,
}

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    report: Option<Report>,
}

impl Servers {
    /// Creates the table from servers named in settings.
    pub fn new(settings: &EntrySettings) -> Arc<Self> {
        let rates = CostRates::default();
        let mut planner = Planner::new(&settings.zone, rates, LEARNED_PREFIXES);
        let mut links = SecondaryMap::new();
        for server in &settings.servers {
            let view = ServerView::new(server.name.clone(), &server.pool, &server.zone);
            let link = Link {
                address: server.address,
                report: None,
            };
            links.insert(planner.add_server(view), link);
        }
        Arc::new(Self {
            clock: Clock::start(),
            known: Mutex::new(Known { planner, links }),
        })
    }

    /// Chooses the server of a pool that is expected to answer first, leaving
    /// out those in `tried`, and counts the request there.
    pub fn choose(
        self: &Arc<Self>,
        pool: &str,
        prefix: Option<&Arc<PromptPrefix>>,
        tried: &[ServerName],
    ) -> Option<Choice> {
        let now = self.clock.now();
        let mut known = self.lock_known();
        let planner = &mut known.planner;
        let tried: Vec<ServerKey> = tried
            .iter()
            .filter_map(|name| planner.find_server(name))
            .collect();
        let request = PlanRequest {
            pool,
            prefix: prefix.map(Arc::as_ref),
            tried: &tried,
        };
        let plan = planner.plan(&request, now)?;
        planner.begin(&plan, request.prefix, now);
        let name = planner.server(plan.server)?.name.clone();
        let link = known.links.get(plan.server)?;
        Some(Choice {
            name,
            address: link.address,
            report: link.report.clone(),
            key: plan.server,
            prefix: prefix.cloned(),
            servers: Arc::clone(self),
        })
    }

    /// Takes note of a server's report.
    pub fn observe(&self, name: &ServerName, report: Report) {
        let now = self.clock.now();
        let mut known = self.lock_known();
        let Some(key) = known.planner.find_server(name) else {
            return;
        };
        known.planner.observe_load(key, report.load, now);
        if let Some(view) = known.planner.server_mut(key) {
            view.leaving = report.leaving;
            view.set_identity(CacheIdentity {
                engine: report.engine,
                weights: report.weights,
            });
        }
        if let Some(link) = known.links.get_mut(key) {
            link.report = Some(report);
        }
    }

    /// Takes note that an attempt failed: what did not run was not cached, and
    /// a server that was not reached is left out for a while.
    pub(super) fn note_failure(&self, choice: &Choice, failure: AttemptFailure) {
        if !failure.is_not_run() {
            return;
        }
        let mut known = self.lock_known();
        if let Some(prefix) = &choice.prefix {
            known.planner.forget(choice.key, prefix);
        }
        if failure == AttemptFailure::Unsent
            && let Some(view) = known.planner.server_mut(choice.key)
        {
            view.avoid_until(self.clock.now() + AVOID_UNREACHED);
        }
    }

    /// Ends the count of a request that [`Self::choose`] began.
    pub(super) fn end(&self, key: ServerKey) {
        self.lock_known().planner.end(key);
    }

    fn lock_known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;
    use crate::core::EngineIncarnation;
    use crate::core::LoadReport;
    use crate::core::ProcessIncarnation;
    use crate::core::RequestId;
    use crate::core::Revision;
    use crate::core::WeightsVersion;

    const POOL: &str = "draft";

    fn make_servers(count: usize) -> Arc<Servers> {
        let list: Vec<_> = (0..count)
            .map(|number| {
                let name = format!("s{number}");
                json!({"name": name, "pool": POOL, "zone": "a", "address": "127.0.0.1:1"})
            })
            .collect();
        let settings = EntrySettings::parse(&json!({
            "name": "e1", "zone": "a", "listen": {"traffic": "127.0.0.1:0"}, "servers": list,
        }));
        Servers::new(&settings.expect("valid settings"))
    }

    fn make_report(engine: u64) -> Report {
        Report {
            request: RequestId::draw(),
            attempt: 1,
            revision: Revision(0),
            agent: ProcessIncarnation(1),
            engine: Some(EngineIncarnation(engine)),
            weights: Some(WeightsVersion(1)),
            leaving: false,
            load: LoadReport::default(),
            stamp: 0,
        }
    }

    fn count_in_flight(servers: &Servers) -> u32 {
        let known = servers.lock_known();
        let views = known.planner.servers();
        views.map(|(_, view)| view.load.in_flight()).sum()
    }

    fn make_prefix() -> Arc<PromptPrefix> {
        Arc::new(PromptPrefix::of_text(None, &[b'm'; 256 * 100]))
    }

    #[test]
    fn choose_dropped_choice_no_longer_counts() {
        let servers = make_servers(2);
        let choice = servers.choose(POOL, None, &[]).expect("a server");
        assert_eq!(count_in_flight(&servers), 1);
        drop(choice);
        assert_eq!(count_in_flight(&servers), 0);
    }

    #[test]
    fn choose_same_prompt_returns_to_server() {
        let servers = make_servers(6);
        let prefix = make_prefix();
        let first = servers.choose(POOL, Some(&prefix), &[]).expect("a server");
        servers.observe(&first.name, make_report(1));
        let second = servers.choose(POOL, Some(&prefix), &[]).expect("a server");
        assert_eq!(first.name, second.name);
    }

    #[test]
    fn choose_unreached_server_is_left_out() {
        let servers = make_servers(2);
        let prefix = make_prefix();
        let first = servers.choose(POOL, Some(&prefix), &[]).expect("a server");
        first.note_failure(AttemptFailure::Unsent);
        let second = servers.choose(POOL, Some(&prefix), &[]).expect("a server");
        assert_ne!(first.name, second.name);
    }

    #[test]
    fn choose_plan_carries_latest_identity() {
        let servers = make_servers(1);
        let choice = servers.choose(POOL, None, &[]).expect("a server");
        servers.observe(&choice.name, make_report(1));
        servers.observe(&choice.name, make_report(2));
        let choice = servers.choose(POOL, None, &[]).expect("a server");
        let report = choice.report.as_ref().expect("a report");
        assert_eq!(report.engine, Some(EngineIncarnation(2)));
    }
}
