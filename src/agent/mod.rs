//! The role beside each backend server: the last gate of every request and
//! the only giver of orders.

mod call_server;
mod cancel;
mod context;
mod control;
mod engine_stream;
mod gate;
mod handle;
mod resumes;
mod run;

pub use context::AgentContext;
pub use run::run_agent;
pub use run::serve_agent;
