//! Settings of a model engine.

use std::time::Duration;

use super::WeightStore;

/// Settings of a model engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Model that it serves.
    pub model: String,
    /// Blocks that fit into its memory.
    pub cache_blocks: usize,
    /// Time by which cache events are late.
    pub event_lag: Duration,
    /// Time by which the load that it reports is old.
    pub load_lag: Duration,
    /// Time for which a generation goes on without a reader.
    pub orphan_timeout: Duration,
    /// It refuses orders with an old fencing number.
    pub enforces_fencing: bool,
    /// Time that an order takes, other than to load weights.
    pub order_time: Duration,
    /// Where its weights come from.
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
