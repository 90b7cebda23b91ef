//! Chooses the processes that keep the origin of a stream.

use std::net::SocketAddr;

use super::StreamKey;
use crate::core::fleet::routing::hash_address;

/// Processes of each role that are told of a stream.
const KEEPERS_PER_ROLE: usize = 2;

/// Chooses the entries and agents that keep the origin of a stream, by rendezvous
/// hashing (Thaler and Ravishankar, 1998). Two of each role: the stream stays known
/// if one process is lost, or if all processes of one role are.
pub fn choose_keepers(
    stream: StreamKey,
    entries: &[SocketAddr],
    agents: &[SocketAddr],
) -> Vec<SocketAddr> {
    [entries, agents]
        .into_iter()
        .flat_map(|candidates| choose_among(stream, candidates))
        .collect()
}

fn choose_among(stream: StreamKey, candidates: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut ranked: Vec<(u64, SocketAddr)> = candidates
        .iter()
        .map(|address| (hash_address(*address, stream.0), *address))
        .collect();
    if ranked.len() > KEEPERS_PER_ROLE {
        ranked.select_nth_unstable(KEEPERS_PER_ROLE - 1);
        ranked.truncate(KEEPERS_PER_ROLE);
    }
    ranked.into_iter().map(|(_, address)| address).collect()
}
