//! With which peers an entry exchanges its state directly at present.

use std::collections::HashMap;

use super::Exchange;

/// What [`ZoneRelays::plan`](super::ZoneRelays::plan) has decided for each peer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExchangePlan {
    /// Peers by name; those left out exchange directly.
    pub peers: HashMap<String, Exchange>,
    /// The relays of all zones, by zone; empty while all entries exchange directly.
    pub relays: HashMap<String, String>,
}

impl ExchangePlan {
    /// Returns how the state is exchanged with a peer; directly if it was never heard.
    pub fn find(&self, peer: &str) -> Exchange {
        self.peers.get(peer).copied().unwrap_or(Exchange::Direct)
    }
}
