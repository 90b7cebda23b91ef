//! The role beside each backend server: the last gate of every request and
//! the only giver of orders.

mod call_server;
mod context;
mod control;
mod gate;
mod handle;
mod run;

pub use context::AgentContext;
pub use run::run_agent;
pub use run::serve_agent;
