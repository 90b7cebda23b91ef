//! State that entries exchange.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::FleetNews;
use crate::core::fleet::PeerUsage;
use crate::core::fleet::TargetVersion;
use crate::core::fleet::UsageQuery;

/// State that an entry sends to another one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerState {
    /// Wall-clock time of the sender's host, in milliseconds since the Unix
    /// epoch.
    pub clock_ms: u64,
    /// Address on which the sender accepts control connections.
    pub address: SocketAddr,
    /// The sender's admissions that the receiver does not know yet.
    pub usage: PeerUsage,
    /// Which of the receiver's admissions the sender needs next.
    #[serde(rename = "query")]
    pub usage_query: UsageQuery,
    /// Version of the sender's configuration; 0 without one.
    #[serde(rename = "configuration")]
    pub configuration_version: u64,
    /// Revisions of the newest records that the sender has read, by
    /// `Area::index`.
    #[serde(rename = "newest")]
    pub newest_revisions: [u64; 2],
    /// Target weights versions that the sender knows.
    #[serde(rename = "wanted")]
    pub targets: Vec<TargetVersion>,
    /// Entries from which the sender has received messages; empty in most messages.
    #[serde(rename = "entries")]
    pub known_entries: Vec<KnownEntry>,
    /// Whether the sender is about to stop.
    pub is_leaving: bool,
    /// What the sender has learned of servers. Left out while there is nothing, so
    /// that an earlier release can read the message.
    #[serde(default, skip_serializing_if = "FleetNews::is_empty")]
    pub news: FleetNews,
}

/// Name and address of an entry from which the sender has received messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownEntry {
    /// Name from the entry's settings.
    pub name: String,
    /// Address on which the entry accepts control connections.
    pub address: SocketAddr,
}
