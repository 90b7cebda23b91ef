//! Cache events as an engine tells them.

use serde::Deserialize;

use crate::core::EngineIncarnation;
use crate::core::placement::BlockHash;

/// One change of an engine's cache.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; consecutive at the engine.
    pub seq: u64,
    /// Blocks that came in.
    #[serde(default)]
    pub stored: Vec<BlockHash>,
    /// Blocks that were evicted.
    #[serde(default)]
    pub removed: Vec<BlockHash>,
    /// All blocks went.
    #[serde(default)]
    pub cleared: bool,
}

/// Events of one run of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CacheEventBatch {
    /// Run of the engine.
    pub incarnation: EngineIncarnation,
    /// Number of the first event that the engine still knew; greater than the
    /// number asked for where events in between are lost.
    #[serde(rename = "first")]
    pub first_seq: u64,
    /// Number to ask for next.
    #[serde(rename = "next")]
    pub next_seq: u64,
    /// Events.
    pub events: Vec<CacheEvent>,
}
