//! The agent beside an engine of a fleet. It sends the engine orders, unless
//! it has ended and an entry replaces it, and it reports the engine's state and cached prompt parts to
//! entries. In a large fleet some agents are also collectors: they follow other
//! agents and pass their updates on.

mod agent_right;
mod collector;
mod context;
mod engine_pause;
mod follow_kv_cache;
mod local_pause;
mod order_right;
mod reconcile_engine;
mod run;
mod sidecar_service;
mod status_pages;

pub use context::SidecarContext;
pub use context::SidecarPorts;
pub use engine_pause::EnginePause;
pub use order_right::OrderRight;
pub use reconcile_engine::reconcile_engine;
pub use run::run_sidecar;
pub use run::serve_sidecar;
