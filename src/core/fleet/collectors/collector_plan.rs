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
    let find_candidates = |is_in_zone: &dyn Fn(&EngineAgent) -> bool| -> Vec<SocketAddr> {
        let candidates = engines.iter().filter(|engine| is_in_zone(engine));
        let mut agents: Vec<SocketAddr> = candidates
            .map(|engine| engine.agent)
            .filter(|agent| is_usable(*agent))
            .collect();
        agents
            .sort_unstable_by_key(|agent| (hash_address(*agent, xxh3_64(zone.as_bytes())), *agent));
        agents.dedup();
        agents.truncate(engines.len().div_ceil(ENGINES_PER_COLLECTOR));
        agents
    };
    let mut collectors = find_candidates(&|engine| engine.zone == zone);
    if collectors.is_empty() {
        collectors = find_candidates(&|_| true);
    }
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
