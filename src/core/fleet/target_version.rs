//! A weights version that the operator has named.

use serde::Deserialize;
use serde::Serialize;

use super::ModelName;
use crate::core::WeightsVersion;

/// A weights version that the operator has named for a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetVersion {
    /// The model.
    pub model: ModelName,
    /// The version that engines are to serve.
    pub version: WeightsVersion,
    /// Store revision of the naming; the fencing number of orders for it.
    pub revision: u64,
}
