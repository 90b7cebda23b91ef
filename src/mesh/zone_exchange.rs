//! Messages in which entries exchange their state, and relays that of others.

use serde::Deserialize;
use serde::Serialize;

use super::FleetNews;
use super::PeerState;
use crate::core::fleet::PeerUsage;

/// State of an entry and what it passes on. Successive messages over one connection
/// build on each other.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ZoneExchange {
    /// Whether the receiver should send everything again, since the sender lacks what
    /// its last message builds on.
    pub wants_all: bool,
    /// Availability zone of the sender.
    pub zone: String,
    /// State of the sender. Its target versions are left out while confirmed.
    pub state: PeerState,
    /// States of other entries that the sender passes on.
    pub relayed: Vec<RelayedEntry>,
}

/// State of an entry that a relay passes on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayedEntry {
    /// What the entry has admitted; without levels.
    pub usage: PeerUsage,
    /// Milliseconds since the entry itself was heard.
    pub age_ms: u32,
    /// Whether the entry is about to stop.
    pub is_leaving: bool,
    /// The news in the entry's last message, without what the sender of this message
    /// tells itself.
    #[serde(default, skip_serializing_if = "FleetNews::is_empty")]
    pub news: FleetNews,
}
