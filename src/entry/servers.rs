//! Backend servers as this entry knows them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use slotmap::SecondaryMap;

use super::choice::Choice;
use crate::clock::Clock;
use crate::core::ResponseReport;
use crate::core::ServerName;
use crate::core::placement::CacheIdentity;
use crate::core::placement::CostModel;
use crate::core::placement::PREFIX_TABLE_CAPACITY;
use crate::core::placement::PlanRequest;
use crate::core::placement::Planner;
use crate::core::placement::PromptPrefix;
use crate::core::placement::ServerKey;
use crate::core::placement::ServerView;
use crate::core::retry::AttemptFailure;
use crate::registry::Host;
use crate::registry::HostRole;
use crate::registry::HostState;
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
    report: Option<ResponseReport>,
    /// The settings name the server, so it stays though no list shows it.
    is_fixed: bool,
    /// The platform's list shows the server as leaving.
    is_listed_leaving: bool,
}

impl Link {
    fn new(address: SocketAddr, is_fixed: bool) -> Self {
        Self {
            address,
            report: None,
            is_fixed,
            is_listed_leaving: false,
        }
    }

    /// Tells whether the list or the server's own report says that it leaves.
    fn is_leaving(&self) -> bool {
        let is_reported = self.report.as_ref().is_some_and(|report| report.leaving);
        self.is_listed_leaving || is_reported
    }
}

impl Servers {
    /// Creates the table from servers named in settings.
    pub fn new(settings: &EntrySettings) -> Arc<Self> {
        let rates = CostModel::default();
        let mut planner = Planner::new(&settings.zone, rates, PREFIX_TABLE_CAPACITY);
        let mut links = SecondaryMap::new();
        for server in &settings.servers {
            let view = ServerView::new(server.name.clone(), &server.pool, &server.zone);
            let link = Link::new(server.traffic_address, true);
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
        planner.record_sent(&plan, request.prefix, now);
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
    pub fn observe(&self, name: &ServerName, report: ResponseReport) {
        let now = self.clock.now();
        let mut known = self.lock_known();
        let Some(key) = known.planner.find_server(name) else {
            return;
        };
        known.planner.observe_load(key, report.load, now);
        if let Some(view) = known.planner.server_mut(key) {
            view.set_identity(CacheIdentity {
                engine: report.engine,
                weights: report.weights,
            });
        }
        if let Some(link) = known.links.get_mut(key) {
            link.report = Some(report);
        }
        known.refresh_leaving(key);
    }

    /// Takes over the platform's list: adds servers that are new on it, follows
    /// changed addresses and states, and removes servers that are no longer on
    /// it. An empty list, as of a platform that has just started, changes
    /// nothing.
    pub fn apply_hosts(&self, hosts: &[Host]) {
        if hosts.is_empty() {
            return;
        }
        let mut known = self.lock_known();
        known.remove_unlisted(hosts);
        let agents = hosts.iter().filter(|host| host.role == HostRole::Agent);
        for host in agents {
            known.apply_host(host);
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
            known.planner.forget_prefix(choice.key, prefix);
        }
        if failure == AttemptFailure::Unsent
            && let Some(view) = known.planner.server_mut(choice.key)
        {
            view.avoid_until(self.clock.now() + AVOID_UNREACHED);
        }
    }

    /// Ends the count of a request that [`Self::choose`] began.
    pub(super) fn end(&self, key: ServerKey) {
        self.lock_known().planner.record_end(key);
    }

    fn lock_known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Known {
    fn remove_unlisted(&mut self, hosts: &[Host]) {
        let listed: HashSet<&str> = hosts
            .iter()
            .filter(|host| host.role == HostRole::Agent)
            .map(|host| host.name.as_str())
            .collect();
        let gone: Vec<ServerKey> = self
            .planner
            .servers()
            .filter(|(_, view)| !listed.contains(view.name.as_str()))
            .map(|(key, _)| key)
            .filter(|key| self.links.get(*key).is_some_and(|link| !link.is_fixed))
            .collect();
        for key in gone {
            self.planner.remove_server(key);
            self.links.remove(key);
        }
    }

    fn apply_host(&mut self, host: &Host) {
        let name = ServerName::from(host.name.as_str());
        let key = self.planner.find_server(&name);
        let key = key.unwrap_or_else(|| self.add_listed(name, host));
        if let Some(link) = self.links.get_mut(key) {
            if link.address != host.traffic {
                link.address = host.traffic;
                link.report = None;
            }
            link.is_listed_leaving = host.state == HostState::Leaving;
        }
        self.refresh_leaving(key);
    }

    fn add_listed(&mut self, name: ServerName, host: &Host) -> ServerKey {
        let view = ServerView::new(name, &host.pool, &host.zone);
        let key = self.planner.add_server(view);
        self.links.insert(key, Link::new(host.traffic, false));
        key
    }

    fn refresh_leaving(&mut self, key: ServerKey) {
        let is_leaving = self.links.get(key).is_some_and(Link::is_leaving);
        if let Some(view) = self.planner.server_mut(key) {
            view.leaving = is_leaving;
        }
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

    fn make_report(engine: u64) -> ResponseReport {
        ResponseReport {
            request: RequestId::random(),
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

    fn make_host(name: &str, port: u16, state: HostState) -> Host {
        Host {
            name: name.into(),
            role: HostRole::Agent,
            zone: "a".into(),
            pool: POOL.into(),
            traffic: SocketAddr::from(([127, 0, 0, 1], port)),
            peers: None,
            state,
        }
    }

    fn choose_address(servers: &Arc<Servers>) -> Option<SocketAddr> {
        let choice = servers.choose(POOL, None, &[])?;
        Some(choice.address)
    }

    #[test]
    fn apply_hosts_adds_and_removes() {
        let servers = make_servers(0);
        assert_eq!(choose_address(&servers), None);
        let first = make_host("n1", 11, HostState::Live);
        let second = make_host("n2", 12, HostState::Live);
        servers.apply_hosts(std::slice::from_ref(&first));
        assert_eq!(choose_address(&servers), Some(first.traffic));
        servers.apply_hosts(std::slice::from_ref(&second));
        assert_eq!(choose_address(&servers), Some(second.traffic));
    }

    #[test]
    fn apply_hosts_empty_list_changes_nothing() {
        let servers = make_servers(0);
        let first = make_host("n1", 11, HostState::Live);
        servers.apply_hosts(std::slice::from_ref(&first));
        servers.apply_hosts(&[]);
        assert_eq!(choose_address(&servers), Some(first.traffic));
    }

    #[test]
    fn apply_hosts_keeps_servers_of_settings() {
        let servers = make_servers(1);
        let leaving = make_host("n1", 11, HostState::Leaving);
        servers.apply_hosts(&[leaving]);
        let choice = servers.choose(POOL, None, &[]).expect("a server");
        assert_eq!(choice.name.as_str(), "s0");
    }

    #[test]
    fn apply_hosts_lags_behind_leaving_report() {
        let servers = make_servers(0);
        let live = [make_host("n1", 11, HostState::Live)];
        servers.apply_hosts(&live);
        let report = ResponseReport {
            leaving: true,
            ..make_report(1)
        };
        servers.observe(&"n1".into(), report);
        servers.apply_hosts(&live);
        assert_eq!(choose_address(&servers), None);
    }

    #[test]
    fn apply_hosts_listed_leaving_outweighs_report() {
        let servers = make_servers(0);
        servers.apply_hosts(&[make_host("n1", 11, HostState::Leaving)]);
        servers.observe(&"n1".into(), make_report(1));
        assert_eq!(choose_address(&servers), None);
    }

    #[test]
    fn apply_hosts_moved_server() {
        let servers = make_servers(0);
        servers.apply_hosts(&[make_host("n1", 11, HostState::Live)]);
        let report = ResponseReport {
            leaving: true,
            ..make_report(1)
        };
        servers.observe(&"n1".into(), report);
        let moved = make_host("n1", 12, HostState::Live);
        servers.apply_hosts(std::slice::from_ref(&moved));
        assert_eq!(choose_address(&servers), Some(moved.traffic));
    }
}
