//! Cache events in the form in which an engine publishes them.

use serde::Deserialize;

use crate::core::EngineIncarnation;
use crate::core::placement::BlockHash;

/// Change of an engine's cache.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event; the engine numbers its events
    /// consecutively.
    pub seq: u64,
    /// Blocks that were added to the cache.
    #[serde(default)]
    pub stored: Vec<BlockHash>,
    /// Blocks that were evicted from the cache.
    #[serde(default)]
    pub removed: Vec<BlockHash>,
    /// All blocks were evicted before those in `stored` were added.
    #[serde(default)]
    pub cleared: bool,
}

/// Events of one incarnation of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CacheEventBatch {
    /// Incarnation of the engine.
    pub incarnation: EngineIncarnation,
    /// Sequence number of the first event that the engine still had. Greater
    /// than the number asked for if the events in between are lost.
    #[serde(rename = "first")]
    pub first_seq: u64,
    /// Sequence number to ask for next.
    #[serde(rename = "next")]
    pub next_seq: u64,
    /// Events, in any order.
    pub events: Vec<CacheEvent>,
}
