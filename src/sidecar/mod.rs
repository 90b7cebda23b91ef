//! The process beside an engine of a fleet: it alone gives the engine orders,
//! and tells entries the engine's state and cached parts.

mod context;
mod follow_kv_cache;
mod reconcile_engine;
mod run;
mod sidecar_service;
mod status_pages;

pub use context::SidecarPorts;
pub use run::run_sidecar;
pub use run::serve_sidecar;
