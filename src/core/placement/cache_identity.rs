//! What must match for a cache entry of a server to be of use.

use crate::core::EngineIncarnation;
use crate::core::WeightsVersion;

/// Run and weights of an engine. Together with the account's salt and the
/// model, which are part of a request's prefix and pool, this identifies cache
/// entries: after a change none of the earlier entries is of use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct CacheIdentity {
    /// Run of the engine, once known.
    pub engine: Option<EngineIncarnation>,
    /// Weights that the engine serves, once known.
    pub weights: Option<WeightsVersion>,
}
