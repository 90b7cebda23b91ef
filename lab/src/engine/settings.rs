//! Settings of a model engine, with the defaults that most tests use.

use std::time::Duration;

use super::WeightStore;

/// Settings of a model engine, fixed for its lifetime.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Name of the served model.
    pub model: String,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Time until a cache event can be read.
    pub event_lag: Duration,
    /// Maximum age of the reported load; an older one is measured again.
    pub load_lag: Duration,
    /// Time for which a generation continues without a reader.
    pub orphan_timeout: Duration,
    /// Refuse orders with a stale fencing token.
    pub enforces_fencing: bool,
    /// Duration of an order that does not load weights.
    pub order_time: Duration,
    /// Store from which weights are loaded.
    pub weight_store: WeightStore,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            model: "cedar".into(),
            cache_blocks: 4_096,
            event_lag: Duration::from_millis(100),
            load_lag: Duration::from_millis(200),
            orphan_timeout: Duration::from_millis(500),
            enforces_fencing: true,
            order_time: Duration::from_millis(20),
            weight_store: WeightStore::new(Duration::from_millis(300), 3),
        }
    }
}
