//! Stand-ins for a model engine. [`start_scripted_engine`] starts one that sends
//! events on a fixed schedule; [`start_model_engine`] starts one that models
//! batching, a prefix cache in limited memory, orders and failures.

mod block_cache;
mod cache_event_log;
mod faults;
mod generation;
mod generation_reader;
mod handle;
mod kv_transfer;
mod model;
mod orders;
mod requests;
mod scripted;
mod settings;
mod shared_engine;
mod token_stream;
mod weight_store;

pub use block_cache::BlockCache;
pub use block_cache::CacheChange;
pub use faults::EngineFaults;
pub use handle::EngineHandle;
pub use handle::start_model_engine;
pub use model::EngineModel;
pub use model::EngineRequest;
pub use model::StepOutcome;
pub use scripted::EngineScript;
pub use scripted::start_scripted_engine;
pub use settings::EngineSettings;
pub use shared_engine::EngineCounts;
pub use weight_store::WeightStore;
