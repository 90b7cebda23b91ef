//! What entries tell each other.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::core::fleet::PeerUsage;
use crate::core::fleet::TargetVersion;
use crate::core::fleet::UsageQuery;

/// What entries tell each other.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerState {
    /// Milliseconds since the epoch by the clock of its host.
    pub clock_ms: u64,
    /// Where the sender takes control messages.
    pub address: SocketAddr,
    /// What the sender has admitted, as far as the receiver lacks it.
    pub usage: PeerUsage,
    /// What the sender needs to hear of the receiver's admissions.
    #[serde(rename = "query")]
    pub usage_query: UsageQuery,
    /// Version of the sender's configuration; zero without one.
    #[serde(rename = "configuration")]
    pub configuration_version: u64,
    /// Revisions of the newest records that the sender has seen, by area.
    #[serde(rename = "newest")]
    pub newest_revisions: [u64; 2],
    /// Weights versions that the sender knows to be wanted.
    #[serde(rename = "wanted")]
    pub targets: Vec<TargetVersion>,
    /// Entries that the sender hears of; left out of most news.
    #[serde(rename = "entries")]
    pub known_entries: Vec<KnownEntry>,
    /// The sender is about to stop.
    pub is_leaving: bool,
}

/// An entry that another one hears of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownEntry {
    /// Its name.
    pub name: String,
    /// Where it takes control messages.
    pub address: SocketAddr,
}
