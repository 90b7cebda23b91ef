//! What an engine has cached, as its agent knows from the engine's events.

mod cache_event;
mod index;

pub use cache_event::CacheEvent;
pub use cache_event::CacheEventBatch;
pub use index::Applied;
pub use index::PrefixIndex;
