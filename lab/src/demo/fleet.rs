//! Starts all parts of one deployment on threads of this process.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use teaseldrum::core::KeyDigest;
use teaseldrum::registry::Host;
use teaseldrum::registry::HostRole;
use teaseldrum::registry::HostState;

use super::DeploymentSpec;
use crate::background_server::BackgroundServer;
use crate::deployment::start_agent_with;
use crate::deployment::start_entry_with;
use crate::deployment::write_rules_file;
use crate::engine::EngineHandle;
use crate::engine::EngineSettings;
use crate::engine::WeightStore;
use crate::engine::start_model_engine;
use crate::hosts::HostsHandle;
use crate::hosts::start_hosts;
use crate::service::ServiceHandle;
use crate::service::start_service;
use crate::store::StoreHandle;
use crate::store::start_store;

/// Time from a change of a host until the host list shows it.
const HOST_LIST_LAG: Duration = Duration::from_millis(500);
const MODEL: &str = "cedar";
const ENGINE_POOL: &str = "drafting";

/// All parts of one deployment. The fields are in the order in which the parts
/// stop when this is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Entries, one in each availability zone.
    pub entries: Vec<BackgroundServer>,
    /// Agents, one for each engine and each plain service.
    pub agents: Vec<BackgroundServer>,
    /// Model engines of the pool `drafting`.
    pub engines: Vec<EngineHandle>,
    /// Plain services of the service pool.
    pub services: Vec<ServiceHandle>,
    /// Stand-in for the host list of the platform.
    pub hosts: HostsHandle,
    /// Stand-in for the key-value store.
    pub store: StoreHandle,
}

impl Fleet {
    /// Starts all parts of a deployment.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port is free or a part cannot be started.
    pub fn start(deployment: &DeploymentSpec) -> Self {
        let store = start_store(any_port());
        let hosts = start_hosts(any_port(), HOST_LIST_LAG);
        let engines = start_engines(deployment);
        let services: Vec<ServiceHandle> = (0..deployment.service_count)
            .map(|_| start_service(any_port()))
            .collect();
        let mut builder = FleetBuilder {
            deployment,
            platform: json!({"store": [store.address()], "hosts": hosts.address()}),
            agents: Vec::new(),
            servers: Vec::new(),
            listed_hosts: Vec::new(),
        };
        for (index, engine) in engines.iter().enumerate() {
            builder.add_agent(ENGINE_POOL, index, engine.address(), true);
        }
        for (index, service) in services.iter().enumerate() {
            builder.add_agent(deployment.service_pool, index, service.address(), false);
        }
        let entries = builder.start_entries();
        hosts.set_hosts(builder.listed_hosts);
        Self {
            entries,
            agents: builder.agents,
            engines,
            services,
            hosts,
            store,
        }
    }

    /// Returns the traffic addresses of the entries.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.address).collect()
    }
}

/// Returns the API key of an account, given by its index.
pub fn api_key_of(deployment: &DeploymentSpec, account: usize) -> String {
    format!(
        "{}-{}-key",
        deployment.name, deployment.accounts[account].name
    )
}

/// Returns the rules file of a deployment.
pub fn make_rules_text(deployment: &DeploymentSpec) -> String {
    let mut text = String::from("# Rules of the demo.\n");
    for (index, account) in deployment.accounts.iter().enumerate() {
        let name = account.name;
        let tokens_per_second = account.tokens_per_second;
        let burst = tokens_per_second * 4;
        let digest = KeyDigest::of_key(api_key_of(deployment, index).as_bytes());
        text.push_str(&format!(
            "account {name} rate {tokens_per_second} burst {burst} # asked by the desk\n\
             key {name}-1 account {name} digest {digest} # asked by the desk\n"
        ));
    }
    let pool = deployment.service_pool;
    text.push_str(&format!(
        "pool {ENGINE_POOL} model {MODEL} # asked by the desk\n\
         pool {pool} # asked by the desk\n\
         route /v1/ pool {ENGINE_POOL} # asked by the desk\n\
         route /{pool}/ pool {pool} # asked by the desk\n"
    ));
    text
}

fn start_engines(deployment: &DeploymentSpec) -> Vec<EngineHandle> {
    let settings = EngineSettings {
        model: MODEL.into(),
        cache_blocks: deployment.cache_blocks,
        weight_store: WeightStore::new(
            deployment.weight_load_time,
            deployment.concurrent_weight_loads,
        ),
        ..EngineSettings::default()
    };
    (0..deployment.engine_count)
        .map(|_| start_model_engine(any_port(), settings.clone()))
        .collect()
}

struct FleetBuilder<'a> {
    deployment: &'a DeploymentSpec,
    platform: Value,
    agents: Vec<BackgroundServer>,
    servers: Vec<Value>,
    listed_hosts: Vec<Host>,
}

impl FleetBuilder<'_> {
    fn add_agent(&mut self, pool: &str, index: usize, server: SocketAddr, engine: bool) {
        let name = format!("{}-{pool}-{index}", self.deployment.name);
        let zone = self.zone_at(index);
        let peers = reserve_port();
        let agent = start_agent_with(&json!({
            "name": name,
            "zone": zone,
            "pool": pool,
            "server": server,
            "engine": engine,
            "listen": {"traffic": any_port(), "peers": peers},
            "traffic": {"threads": 1, "drain_linger_ms": 20},
            "platform": self.platform,
        }));
        self.servers.push(json!({
            "name": name,
            "pool": pool,
            "zone": zone,
            "address": agent.address,
            "peers": peers,
        }));
        self.list_host(&name, HostRole::Agent, index, pool, agent.address, peers);
        self.agents.push(agent);
    }

    fn start_entries(&mut self) -> Vec<BackgroundServer> {
        let rules = make_rules_text(self.deployment);
        let zones = self.deployment.zones.len();
        (0..zones)
            .map(|index| self.start_entry(index, &rules))
            .collect()
    }

    fn start_entry(&mut self, index: usize, rules: &str) -> BackgroundServer {
        let name = format!("{}-entry-{index}", self.deployment.name);
        let peers = reserve_port();
        let entry = start_entry_with(&json!({
            "name": name,
            "zone": self.zone_at(index),
            "rules_file": write_rules_file(&name, rules),
            "servers": self.servers,
            "listen": {"traffic": any_port(), "peers": peers},
            "traffic": {"threads": 1, "drain_linger_ms": 20},
            "platform": self.platform,
        }));
        self.list_host(&name, HostRole::Entry, index, "", entry.address, peers);
        entry
    }

    fn list_host(
        &mut self,
        name: &str,
        role: HostRole,
        index: usize,
        pool: &str,
        traffic: SocketAddr,
        peers: SocketAddr,
    ) {
        self.listed_hosts.push(Host {
            name: name.into(),
            role,
            zone: self.zone_at(index).into(),
            pool: pool.into(),
            traffic,
            peers: Some(peers),
            state: HostState::Live,
        });
    }

    fn zone_at(&self, index: usize) -> &'static str {
        self.deployment.zones[index % self.deployment.zones.len()]
    }
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("valid address")
}

/// Returns a loopback address whose port was free just now. Another process may
/// take it before it is used.
fn reserve_port() -> SocketAddr {
    let listener = std::net::TcpListener::bind(any_port()).expect("loopback port is free");
    listener.local_addr().expect("listener has an address")
}
