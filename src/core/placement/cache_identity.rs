//! Identity of an engine's cache.

use crate::core::EngineIncarnation;
use crate::core::WeightsVersion;

/// Identity of an engine's cache: the incarnation and weights of the engine.
/// Together with the account's salt, which is part of a request's prefix, and
/// the model, which is given by its pool, it identifies cache entries. After a
/// change, none of the earlier entries can be used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct CacheIdentity {
    /// Incarnation of the engine; `None` until known.
    pub engine: Option<EngineIncarnation>,
    /// Version of the weights that the engine serves; `None` until known.
    pub weights: Option<WeightsVersion>,
}
