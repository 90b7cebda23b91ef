//! What an engine has cached, as its agent knows from the engine's events.

mod cache_event;
mod index;

pub use cache_event::CacheEvent;
pub use cache_event::CacheEventBatch;
pub use index::ApplyResult;
pub use index::PrefixIndex;
