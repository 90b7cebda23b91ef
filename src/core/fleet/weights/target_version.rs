//! Weights version that the operator wants a model's engines to serve.

use serde::Deserialize;
use serde::Serialize;

use crate::core::WeightsVersion;
use crate::core::fleet::ModelName;

/// Target weights version of a model, as set by the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetVersion {
    /// Name of the model.
    pub model: ModelName,
    /// Version that engines should serve.
    pub version: WeightsVersion,
    /// Store revision at which the version was set; used as fencing token of
    /// its orders.
    pub revision: u64,
}
