//! Decides through which agents entries learn the state of many engines.

mod collected_engines;
mod collector_plan;

pub use collected_engines::CollectedEngines;
pub use collected_engines::CollectedUpdate;
pub use collector_plan::EngineAgent;
pub use collector_plan::MAX_DIRECT_ENGINES;
pub use collector_plan::choose_store_collector;
pub use collector_plan::plan_collectors;
pub use collector_plan::plan_zone_collectors;
