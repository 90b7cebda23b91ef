//! Stand-in for a model engine.

mod serve_engine;

pub use serve_engine::EngineScript;
pub use serve_engine::start_engine;
