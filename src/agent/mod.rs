//! The role beside each backend server: the last gate of every request and
//! the only giver of orders.

mod call_server;
mod cancel;
mod context;
mod control;
mod engine_state;
mod engine_stream;
mod gate;
mod handle;
mod order_lease;
mod orders;
mod resumes;
mod run;
mod weight_slot;

pub use context::AgentContext;
pub use run::run_agent;
pub use run::serve_agent;
