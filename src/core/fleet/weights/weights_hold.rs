//! Hold of a call on the weights of an engine.

use serde::Deserialize;
use serde::Serialize;

use crate::core::ServerName;
use crate::core::WeightsVersion;
use crate::core::fleet::ModelName;

/// Asks that no call goes on under newer weights at an engine.
///
/// A call that does and is preempted computes its prompt parts again, under the salt of the
/// older weights. So a call at another engine that gets parts from there holds the weights
/// until it has begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsHold {
    /// Random number that identifies the hold.
    pub id: u64,
    /// Name of the engine's current run.
    pub server: ServerName,
    /// Model whose weights are held.
    pub model: ModelName,
    /// Version that is held.
    pub version: WeightsVersion,
}
