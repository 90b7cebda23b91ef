//! The agent, which runs beside one backend server. It checks every attempt
//! before the server runs it, forwards the response as frames, and is the only
//! process that sends orders to the server.
//!
//! The server is called *engine* where it serves a model, and the agent's process
//! is also called sidecar. An *attempt* is one try of an entry to run a request on
//! the server. A *weight slot* is the permission to load weights; the store limits
//! their number in the fleet.

mod canceller;
mod check_attempt;
mod context;
mod control;
mod engine_state;
mod engine_stream;
mod handle_attempt;
mod order_lease;
mod order_reconciler;
mod resume_counts;
mod run;
mod server_call;
mod weight_slot;

pub use context::AgentContext;
pub use run::run_agent;
pub use run::serve_agent;
