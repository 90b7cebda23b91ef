//! Index of the blocks that an engine has cached, built from its cache events.

mod cache_event;
mod index;

pub use cache_event::CacheEvent;
pub use cache_event::CacheEventBatch;
pub use index::ApplyResult;
pub use index::PrefixIndex;
