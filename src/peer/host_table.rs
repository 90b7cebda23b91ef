//! Peer addresses of the fleet, from the platform's host list and the settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use arc_swap::ArcSwap;
use rand::seq::IteratorRandom;
use tokio::time::sleep;

use crate::registry::Host;
use crate::registry::HostList;
use crate::registry::HostRole;
use crate::settings::PlatformSettings;

/// Shortest mean time between reads of the host list.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Approximate size of one host in the list.
const ESTIMATED_BYTES_PER_HOST: usize = 200;
/// Target for the mean rate at which one process reads the host list. The
/// interval is rounded down to whole seconds, so the rate may be higher, at most
/// twice the target.
const TARGET_BYTES_PER_SECOND: usize = 4_000;

/// Processes of the fleet: those of the platform's host list, which is polled, and
/// the peers configured in the settings.
#[derive(Debug)]
pub struct HostTable {
    own_address: OnceLock<SocketAddr>,
    configured_peers: Vec<SocketAddr>,
    hosts: ArcSwap<Vec<Host>>,
}

impl HostTable {
    /// Creates a table of the configured peers, with an empty host list.
    pub fn new(configured_peers: Vec<SocketAddr>) -> Self {
        Self {
            own_address: OnceLock::new(),
            configured_peers,
            hosts: ArcSwap::default(),
        }
    }

    /// Returns the peer address of this process; `None` until it listens.
    pub fn own_address(&self) -> Option<SocketAddr> {
        self.own_address.get().copied()
    }

    /// Sets the peer address of this process. Only the first call has an effect.
    pub fn set_own_address(&self, address: SocketAddr) {
        let _ = self.own_address.set(address);
    }

    /// Returns the host list as last read; empty before the first read.
    pub fn hosts(&self) -> Arc<Vec<Host>> {
        self.hosts.load_full()
    }

    /// Replaces the host list. An empty list is ignored, because a platform that has just
    /// started returns one.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        if !hosts.is_empty() {
            self.hosts.store(Arc::new(hosts));
        }
    }

    /// Returns the peer address of a listed host; `None` if the host is not listed
    /// or has no peer address.
    pub fn find_peer_address(&self, name: &str) -> Option<SocketAddr> {
        let hosts = self.hosts.load();
        hosts.iter().find(|host| host.name == name)?.peers
    }

    /// Returns the peer addresses of all other processes, listed and configured,
    /// each once.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.load();
        let listed = hosts.iter().filter_map(|host| host.peers);
        let mut peers: Vec<SocketAddr> = listed
            .chain(self.configured_peers.iter().copied())
            .collect();
        peers.retain(|peer| Some(*peer) != self.own_address());
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    /// Draws the addresses of up to `count` distinct other processes at random.
    pub fn sample_peers(&self, count: usize) -> Vec<SocketAddr> {
        self.peer_addresses()
            .into_iter()
            .sample(&mut rand::rng(), count)
    }

    /// Returns the names of all listed entries.
    pub fn entry_names(&self) -> Vec<String> {
        let hosts = self.hosts.load();
        let entries = hosts.iter().filter(|host| host.role == HostRole::Entry);
        entries.map(|host| host.name.clone()).collect()
    }

    /// Polls the platform's host list, at an interval that keeps the bytes read per
    /// second near a target. Returns immediately if the settings name no host list.
    pub async fn poll_host_list(self: Arc<Self>, settings: PlatformSettings) {
        let Some(list) = HostList::new(&settings) else {
            return;
        };
        loop {
            match list.read().await {
                Ok(hosts) => self.set_hosts(hosts),
                Err(e) => log::warn!("peer: Host list not read: {e}."),
            }
            let jitter = 0.75 + 0.5 * rand::random::<f64>();
            sleep(compute_read_interval(self.hosts.load().len()).mul_f64(jitter)).await;
        }
    }
}

/// Returns the mean time between reads of a list of `host_count` hosts.
fn compute_read_interval(host_count: usize) -> Duration {
    let seconds = host_count * ESTIMATED_BYTES_PER_HOST / TARGET_BYTES_PER_SECOND;
    MIN_READ_INTERVAL.max(Duration::from_secs(seconds as u64))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::registry::HostState;

    fn make_host(name: &str, port: u16) -> Host {
        Host {
            name: name.into(),
            role: HostRole::Entry,
            zone: "a".into(),
            pool: String::new(),
            traffic: SocketAddr::from(([127, 0, 0, 1], port)),
            peers: Some(SocketAddr::from(([127, 0, 0, 1], port))),
            state: HostState::Live,
        }
    }

    #[test]
    fn sample_peers_without_own() {
        let own = SocketAddr::from(([127, 0, 0, 1], 1));
        let configured_peers = vec![SocketAddr::from(([127, 0, 0, 1], 9)), own];
        let table = HostTable::new(configured_peers);
        table.set_own_address(own);
        table.set_hosts((1..4).map(|port| make_host("e", port)).collect());
        let mut ports: Vec<u16> = table
            .sample_peers(10)
            .iter()
            .map(SocketAddr::port)
            .collect();
        ports.sort_unstable();
        assert_eq!(ports, [2, 3, 9]);
        assert_eq!(table.sample_peers(2).len(), 2);
    }

    /// Guards against a fleet that loses its peers, and the shares of their limits, since a
    /// platform that has just started lists no host yet.
    #[test]
    fn set_hosts_empty_list_changes_nothing() {
        let table = HostTable::new(Vec::new());
        table.set_hosts(vec![make_host("e", 1)]);
        table.set_hosts(Vec::new());
        assert_eq!(table.peer_addresses().len(), 1);
        assert_eq!(table.entry_names(), ["e"]);
        table.set_hosts(vec![make_host("f", 2)]);
        assert_eq!(table.entry_names(), ["f"]);
    }

    #[test]
    fn compute_read_interval_keeps_bytes_near_target() {
        assert_eq!(compute_read_interval(21), MIN_READ_INTERVAL);
        assert_eq!(compute_read_interval(2_350), Duration::from_secs(117));
    }
}
