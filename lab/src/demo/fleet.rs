//! All processes of one deployment, on threads of this process.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use teaseldrum::core::KeyDigest;
use teaseldrum::registry::Host;
use teaseldrum::registry::HostRole;
use teaseldrum::registry::HostState;

use super::DeploymentSpec;
use crate::deployment::start_agent_with;
use crate::deployment::start_entry_with;
use crate::deployment::write_rules;
use crate::engine::EngineHandle;
use crate::engine::EngineSettings;
use crate::engine::WeightStore;
use crate::engine::start_model_engine;
use crate::hosts::HostsHandle;
use crate::hosts::start_hosts;
use crate::running::Running;
use crate::service::ServiceHandle;
use crate::service::start_service;
use crate::store::StoreHandle;
use crate::store::start_store;

const HOST_LIST_LAG: Duration = Duration::from_millis(500);
const MODEL: &str = "cedar";
const DRAFTING: &str = "drafting";

/// All processes of one deployment, in the order in which they stop.
#[derive(Debug)]
pub struct Fleet {
    /// Entries, one in each availability zone.
    pub entries: Vec<Running>,
    /// Agents.
    pub agents: Vec<Running>,
    /// Model engines.
    pub engines: Vec<EngineHandle>,
    /// Plain services.
    pub services: Vec<ServiceHandle>,
    /// Host list.
    pub hosts: HostsHandle,
    /// Key-value store.
    pub store: StoreHandle,
}

impl Fleet {
    /// Starts a deployment.
    ///
    /// # Panics
    ///
    /// No loopback port can be had.
    pub fn start(customer: &DeploymentSpec) -> Self {
        let store = start_store(any_port());
        let hosts = start_hosts(any_port(), HOST_LIST_LAG);
        let engines = start_engines(customer);
        let services: Vec<ServiceHandle> = (0..customer.service_workers)
            .map(|_| start_service(any_port()))
            .collect();
        let mut builder = Builder {
            customer,
            platform: json!({"store": [store.address()], "hosts": hosts.address()}),
            agents: Vec::new(),
            servers: Vec::new(),
            listed: Vec::new(),
        };
        for (index, engine) in engines.iter().enumerate() {
            builder.add_agent(DRAFTING, index, engine.address(), true);
        }
        for (index, service) in services.iter().enumerate() {
            builder.add_agent(customer.service_pool, index, service.address(), false);
        }
        let entries = builder.start_entries();
        hosts.set_hosts(builder.listed);
        Self {
            entries,
            agents: builder.agents,
            engines,
            services,
            hosts,
            store,
        }
    }

    /// Returns the addresses that callers may use.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.address).collect()
    }
}

/// Returns the key that callers of an account show.
pub fn key_of(customer: &DeploymentSpec, account: usize) -> String {
    format!("{}-{}-key", customer.name, customer.accounts[account].name)
}

/// Returns the rules of a deployment.
pub fn write_rule_text(customer: &DeploymentSpec) -> String {
    let mut text = String::from("# Rules of the demo.\n");
    for (index, account) in customer.accounts.iter().enumerate() {
        let name = account.name;
        let rate = account.rate;
        let burst = rate * 4;
        let digest = KeyDigest::of_key(key_of(customer, index).as_bytes());
        text.push_str(&format!(
            "account {name} rate {rate} burst {burst} # asked by the desk\n\
             key {name}-1 account {name} digest {digest} # asked by the desk\n"
        ));
    }
    let pool = customer.service_pool;
    text.push_str(&format!(
        "pool {DRAFTING} model {MODEL} # asked by the desk\n\
         pool {pool} # asked by the desk\n\
         route /v1/ pool {DRAFTING} # asked by the desk\n\
         route /{pool}/ pool {pool} # asked by the desk\n"
    ));
    text
}

fn start_engines(customer: &DeploymentSpec) -> Vec<EngineHandle> {
    let settings = EngineSettings {
        model: MODEL.into(),
        cache_blocks: customer.cache_blocks,
        weight_store: WeightStore::new(customer.weights_time, customer.weights_at_once),
        ..EngineSettings::default()
    };
    (0..customer.drafting_workers)
        .map(|_| start_model_engine(any_port(), settings.clone()))
        .collect()
}

struct Builder<'a> {
    customer: &'a DeploymentSpec,
    platform: Value,
    agents: Vec<Running>,
    servers: Vec<Value>,
    listed: Vec<Host>,
}

impl Builder<'_> {
    fn add_agent(&mut self, pool: &str, index: usize, server: SocketAddr, engine: bool) {
        let name = format!("{}-{pool}-{index}", self.customer.name);
        let zone = self.zone_of(index);
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
        self.list(&name, HostRole::Agent, index, pool, agent.address, peers);
        self.agents.push(agent);
    }

    fn start_entries(&mut self) -> Vec<Running> {
        let rules = write_rule_text(self.customer);
        let zones = self.customer.zones.len();
        (0..zones)
            .map(|index| self.start_entry(index, &rules))
            .collect()
    }

    fn start_entry(&mut self, index: usize, rules: &str) -> Running {
        let name = format!("{}-entry-{index}", self.customer.name);
        let peers = reserve_port();
        let entry = start_entry_with(&json!({
            "name": name,
            "zone": self.zone_of(index),
            "rules_file": write_rules(&name, rules),
            "servers": self.servers,
            "listen": {"traffic": any_port(), "peers": peers},
            "traffic": {"threads": 1, "drain_linger_ms": 20},
            "platform": self.platform,
        }));
        self.list(&name, HostRole::Entry, index, "", entry.address, peers);
        entry
    }

    fn list(
        &mut self,
        name: &str,
        role: HostRole,
        index: usize,
        pool: &str,
        traffic: SocketAddr,
        peers: SocketAddr,
    ) {
        self.listed.push(Host {
            name: name.into(),
            role,
            zone: self.zone_of(index).into(),
            pool: pool.into(),
            traffic,
            peers: Some(peers),
            state: HostState::Live,
        });
    }

    fn zone_of(&self, index: usize) -> &'static str {
        self.customer.zones[index % self.customer.zones.len()]
    }
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

/// Finds a port that is free now.
fn reserve_port() -> SocketAddr {
    let listener = std::net::TcpListener::bind(any_port()).expect("a free port");
    listener.local_addr().expect("an address")
}
