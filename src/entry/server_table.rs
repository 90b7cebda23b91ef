//! Tracks the backend servers with the addresses and latest reports of their
//! agents, and chooses a server for each attempt.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use slotmap::SecondaryMap;

use super::chosen_server::ChosenServer;
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

/// Time for which a server gets no new work after an attempt could not be sent
/// to it.
const UNREACHABLE_AVOIDANCE: Duration = Duration::from_secs(1);

/// Table of the backend servers that this entry can send requests to, from its
/// settings and the platform's host list. Shared by all threads.
#[derive(Debug)]
pub struct ServerTable {
    clock: Clock,
    state: Mutex<TableState>,
}

#[derive(Debug)]
struct TableState {
    planner: Planner,
    agents: SecondaryMap<ServerKey, AgentState>,
}

/// What is known of the agent beside one server.
#[derive(Debug)]
struct AgentState {
    address: SocketAddr,
    report: Option<ResponseReport>,
    /// The server is named in the settings, so it stays in the table even if
    /// the host list does not name it.
    is_from_settings: bool,
    /// The platform's host list shows the server as leaving.
    is_listed_leaving: bool,
}

impl AgentState {
    fn new(address: SocketAddr, is_from_settings: bool) -> Self {
        Self {
            address,
            report: None,
            is_from_settings,
            is_listed_leaving: false,
        }
    }

    /// Tells whether the host list or the agent's own report says that the
    /// server takes no new work. Either may know it first.
    fn is_leaving(&self) -> bool {
        let is_reported_leaving = self.report.as_ref().is_some_and(|report| report.leaving);
        self.is_listed_leaving || is_reported_leaving
    }
}

impl ServerTable {
    /// Creates the table with the servers named in the settings.
    pub fn new(settings: &EntrySettings) -> Arc<Self> {
        let cost_model = CostModel::default();
        let mut planner = Planner::new(&settings.zone, cost_model, PREFIX_TABLE_CAPACITY);
        let mut agents = SecondaryMap::new();
        for server in &settings.servers {
            let view = ServerView::new(server.name.clone(), &server.pool, &server.zone);
            let agent = AgentState::new(server.traffic_address, true);
            agents.insert(planner.add_server(view), agent);
        }
        Arc::new(Self {
            clock: Clock::start(),
            state: Mutex::new(TableState { planner, agents }),
        })
    }

    /// Chooses the server of a pool with the least predicted time to the first
    /// token, except those in `tried`, and counts the request as in flight
    /// there. Returns `None` if no server of the pool takes new work.
    pub fn choose(
        self: &Arc<Self>,
        pool: &str,
        prefix: Option<&Arc<PromptPrefix>>,
        tried: &[ServerName],
    ) -> Option<ChosenServer> {
        let now = self.clock.now();
        let mut state = self.lock_state();
        let planner = &mut state.planner;
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
        let agent = state.agents.get(plan.server)?;
        Some(ChosenServer {
            name,
            address: agent.address,
            report: agent.report.clone(),
            server_key: plan.server,
            prompt_prefix: prefix.cloned(),
            table: Arc::clone(self),
        })
    }

    /// Applies a report of a server's agent: load, engine, weights and whether
    /// it takes new work. Reports of unknown servers are ignored.
    pub fn record_report(&self, name: &ServerName, report: ResponseReport) {
        let now = self.clock.now();
        let mut state = self.lock_state();
        let Some(key) = state.planner.find_server(name) else {
            return;
        };
        state.planner.observe_load(key, report.load, now);
        // What is expected in the server's cache holds only for this run of the
        // engine and these weights.
        if let Some(view) = state.planner.server_mut(key) {
            view.set_identity(CacheIdentity {
                engine: report.engine,
                weights: report.weights,
            });
        }
        if let Some(agent) = state.agents.get_mut(key) {
            agent.report = Some(report);
        }
        state.refresh_leaving(key);
    }

    /// Applies the platform's host list: adds new servers, updates addresses
    /// and states, and removes servers that are no longer listed. An empty list
    /// is ignored, because a platform that has just started returns one. Each
    /// agent's host stands for one server.
    pub fn apply_hosts(&self, hosts: &[Host]) {
        if hosts.is_empty() {
            return;
        }
        let mut state = self.lock_state();
        state.remove_unlisted(hosts);
        let agents = hosts.iter().filter(|host| host.role == HostRole::Agent);
        for host in agents {
            state.apply_host(host);
        }
    }

    /// Applies the failure of an attempt that did not run: its prompt is no
    /// longer expected in the server's cache, and a server that could not be
    /// reached gets no new work for [`UNREACHABLE_AVOIDANCE`].
    pub(super) fn record_failure(&self, server: &ChosenServer, failure: AttemptFailure) {
        if !failure.is_not_run() {
            return;
        }
        let mut state = self.lock_state();
        if let Some(prefix) = &server.prompt_prefix {
            state.planner.forget_prefix(server.server_key, prefix);
        }
        if failure == AttemptFailure::Unsent
            && let Some(view) = state.planner.server_mut(server.server_key)
        {
            view.avoid_until(self.clock.now() + UNREACHABLE_AVOIDANCE);
        }
    }

    /// Removes a request that [`Self::choose`] counted as in flight.
    pub(super) fn release(&self, key: ServerKey) {
        self.lock_state().planner.record_end(key);
    }

    fn lock_state(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableState {
    fn remove_unlisted(&mut self, hosts: &[Host]) {
        let listed: HashSet<&str> = hosts
            .iter()
            .filter(|host| host.role == HostRole::Agent)
            .map(|host| host.name.as_str())
            .collect();
        let unlisted: Vec<ServerKey> = self
            .planner
            .servers()
            .filter(|(_, view)| !listed.contains(view.name.as_str()))
            .map(|(key, _)| key)
            .filter(|key| {
                self.agents
                    .get(*key)
                    .is_some_and(|agent| !agent.is_from_settings)
            })
            .collect();
        for key in unlisted {
            self.planner.remove_server(key);
            self.agents.remove(key);
        }
    }

    fn apply_host(&mut self, host: &Host) {
        let name = ServerName::from(host.name.as_str());
        let key = self.planner.find_server(&name);
        let key = key.unwrap_or_else(|| self.add_host(name, host));
        if let Some(agent) = self.agents.get_mut(key) {
            if agent.address != host.traffic {
                agent.address = host.traffic;
                agent.report = None;
            }
            agent.is_listed_leaving = host.state == HostState::Leaving;
        }
        self.refresh_leaving(key);
    }

    fn add_host(&mut self, name: ServerName, host: &Host) -> ServerKey {
        let view = ServerView::new(name, &host.pool, &host.zone);
        let key = self.planner.add_server(view);
        self.agents
            .insert(key, AgentState::new(host.traffic, false));
        key
    }

    fn refresh_leaving(&mut self, key: ServerKey) {
        let is_leaving = self.agents.get(key).is_some_and(AgentState::is_leaving);
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

    fn make_servers(count: usize) -> Arc<ServerTable> {
        let list: Vec<_> = (0..count)
            .map(|number| {
                let name = format!("s{number}");
                json!({"name": name, "pool": POOL, "zone": "a", "address": "127.0.0.1:1"})
            })
            .collect();
        let settings = EntrySettings::parse(&json!({
            "name": "e1", "zone": "a", "listen": {"traffic": "127.0.0.1:0"}, "servers": list,
        }));
        ServerTable::new(&settings.expect("the settings are valid"))
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

    fn count_in_flight(servers: &ServerTable) -> u32 {
        let state = servers.lock_state();
        let views = state.planner.servers();
        views.map(|(_, view)| view.load.in_flight()).sum()
    }

    fn make_prefix() -> Arc<PromptPrefix> {
        Arc::new(PromptPrefix::of_text(None, &[b'm'; 256 * 100]))
    }

    #[test]
    fn choose_dropped_server_is_released() {
        let servers = make_servers(2);
        let chosen = servers.choose(POOL, None, &[]).expect("a server is chosen");
        assert_eq!(count_in_flight(&servers), 1);
        drop(chosen);
        assert_eq!(count_in_flight(&servers), 0);
    }

    #[test]
    fn choose_repeated_prompt_same_server() {
        let servers = make_servers(6);
        let prefix = make_prefix();
        let first = servers
            .choose(POOL, Some(&prefix), &[])
            .expect("a server is chosen");
        servers.record_report(&first.name, make_report(1));
        let second = servers
            .choose(POOL, Some(&prefix), &[])
            .expect("a server is chosen");
        assert_eq!(first.name, second.name);
    }

    #[test]
    fn choose_unreachable_server_is_avoided() {
        let servers = make_servers(2);
        let prefix = make_prefix();
        let first = servers
            .choose(POOL, Some(&prefix), &[])
            .expect("a server is chosen");
        first.record_failure(AttemptFailure::Unsent);
        let second = servers
            .choose(POOL, Some(&prefix), &[])
            .expect("a server is chosen");
        assert_ne!(first.name, second.name);
    }

    #[test]
    fn choose_returns_latest_report() {
        let servers = make_servers(1);
        let chosen = servers.choose(POOL, None, &[]).expect("a server is chosen");
        servers.record_report(&chosen.name, make_report(1));
        servers.record_report(&chosen.name, make_report(2));
        let chosen = servers.choose(POOL, None, &[]).expect("a server is chosen");
        let report = chosen.report.as_ref().expect("the server has reported");
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

    fn choose_address(servers: &Arc<ServerTable>) -> Option<SocketAddr> {
        let chosen = servers.choose(POOL, None, &[])?;
        Some(chosen.address)
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
    fn apply_hosts_keeps_configured_servers() {
        let servers = make_servers(1);
        let leaving = make_host("n1", 11, HostState::Leaving);
        servers.apply_hosts(&[leaving]);
        let chosen = servers.choose(POOL, None, &[]).expect("a server is chosen");
        assert_eq!(chosen.name.as_str(), "s0");
    }

    // The host list may lag behind the agent's own report.
    #[test]
    fn apply_hosts_live_state_keeps_reported_leaving() {
        let servers = make_servers(0);
        let live = [make_host("n1", 11, HostState::Live)];
        servers.apply_hosts(&live);
        let report = ResponseReport {
            leaving: true,
            ..make_report(1)
        };
        servers.record_report(&"n1".into(), report);
        servers.apply_hosts(&live);
        assert_eq!(choose_address(&servers), None);
    }

    #[test]
    fn record_report_keeps_listed_leaving() {
        let servers = make_servers(0);
        servers.apply_hosts(&[make_host("n1", 11, HostState::Leaving)]);
        servers.record_report(&"n1".into(), make_report(1));
        assert_eq!(choose_address(&servers), None);
    }

    #[test]
    fn apply_hosts_new_address_clears_report() {
        let servers = make_servers(0);
        servers.apply_hosts(&[make_host("n1", 11, HostState::Live)]);
        let report = ResponseReport {
            leaving: true,
            ..make_report(1)
        };
        servers.record_report(&"n1".into(), report);
        let moved = make_host("n1", 12, HostState::Live);
        servers.apply_hosts(std::slice::from_ref(&moved));
        assert_eq!(choose_address(&servers), Some(moved.traffic));
    }
}
