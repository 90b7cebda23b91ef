//! Chooses the collectors of an availability zone: agents that follow the other
//! agents and pass their updates on to the entries.

use std::collections::HashMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::core::ServerName;
use crate::core::fleet::routing::hash_address;

/// Number of engines up to which an entry follows each agent itself, which is
/// faster by one hop.
pub const MAX_DIRECT_ENGINES: usize = 64;

/// Engines for each collector, which receives some six updates a second from
/// each of them.
const ENGINES_PER_COLLECTOR: usize = 45;

/// An engine and the agent beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineAgent {
    /// Name of the engine.
    pub name: ServerName,
    /// Address of its agent.
    pub agent: SocketAddr,
    /// Availability zone of both.
    pub zone: String,
}

/// Assigns each engine to the collector that passes its updates on to the
/// entries of `zone`; to none if the engines are few or no agent is usable.
/// Collectors are agents of the zone, or of any zone if that has none left;
/// `is_usable` tells whether an agent can be reached.
///
/// All entries of a zone that can reach the same agents choose the same
/// collectors, by rendezvous hashing (Thaler and Ravishankar, 1998). When a
/// collector is lost, few engines other than its own move.
pub fn plan_collectors(
    zone: &str,
    engines: &[EngineAgent],
    is_usable: impl Fn(SocketAddr) -> bool,
) -> HashMap<SocketAddr, Vec<ServerName>> {
    if engines.len() <= MAX_DIRECT_ENGINES {
        return HashMap::new();
    }
    let count = engines.len().div_ceil(ENGINES_PER_COLLECTOR);
    let mut collectors = choose_collectors(zone, engines, count, |engine| {
        engine.zone == zone && is_usable(engine.agent)
    });
    if collectors.is_empty() {
        collectors = choose_collectors(zone, engines, count, |engine| is_usable(engine.agent));
    }
    assign_engines(engines, &collectors)
}

/// Like [`plan_collectors`], for the entries of a fleet of several zones whose engines
/// may be few: assigns the engines of other zones to collectors of `zone`, so that their
/// updates pass between two zones once. The engines of `zone`, and all if no agent there
/// is usable, are followed directly.
pub fn plan_zone_collectors(
    zone: &str,
    engines: &[EngineAgent],
    is_usable: impl Fn(SocketAddr) -> bool,
) -> HashMap<SocketAddr, Vec<ServerName>> {
    if engines.len() > MAX_DIRECT_ENGINES {
        return plan_collectors(zone, engines, is_usable);
    }
    let others = engines.iter().filter(|engine| engine.zone != zone);
    let others: Vec<EngineAgent> = others.cloned().collect();
    let count = others.len().div_ceil(ENGINES_PER_COLLECTOR);
    let collectors = choose_collectors(zone, engines, count, |engine| {
        engine.zone == zone && is_usable(engine.agent)
    });
    assign_engines(&others, &collectors)
}

/// Chooses `count` agents of the engines that qualify, the same for all entries of
/// `zone`.
fn choose_collectors(
    zone: &str,
    engines: &[EngineAgent],
    count: usize,
    qualifies: impl Fn(&EngineAgent) -> bool,
) -> Vec<SocketAddr> {
    let candidates = engines.iter().filter(|engine| qualifies(engine));
    let mut agents: Vec<SocketAddr> = candidates.map(|engine| engine.agent).collect();
    agents.sort_unstable_by_key(|agent| (hash_address(*agent, xxh3_64(zone.as_bytes())), *agent));
    agents.dedup();
    agents.truncate(count);
    agents
}

fn assign_engines(
    engines: &[EngineAgent],
    collectors: &[SocketAddr],
) -> HashMap<SocketAddr, Vec<ServerName>> {
    let mut plan: HashMap<SocketAddr, Vec<ServerName>> = HashMap::new();
    for engine in engines {
        let engine_hash = hash_address(engine.agent, 0);
        let collector = collectors
            .iter()
            .min_by_key(|collector| hash_address(**collector, engine_hash));
        if let Some(collector) = collector {
            plan.entry(*collector)
                .or_default()
                .push(engine.name.clone());
        }
    }
    plan
}

/// Chooses the collector of a plan that follows the KV cache store at `store`.
pub fn choose_store_collector(
    collectors: impl Iterator<Item = SocketAddr>,
    store: SocketAddr,
) -> Option<SocketAddr> {
    let store_hash = hash_address(store, 0);
    collectors.min_by_key(|collector| hash_address(*collector, store_hash))
}
