//! The process beside an engine of a fleet: it alone gives the engine orders,
//! and tells entries the engine's state and cached parts.

mod context;
mod follow_parts;
mod front_page;
mod run;
mod serve_entries;
mod tend_engine;

pub use context::SidecarPorts;
pub use run::run_sidecar;
pub use run::serve_sidecar;
