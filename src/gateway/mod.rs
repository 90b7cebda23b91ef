//! The entry of a fleet whose configuration, members and weights versions
//! come from an outside store: it takes calls from callers and sends them to
//! backend servers directly, so that calls go on while agents are away.

mod agent_links;
mod attempt;
mod clocks;
mod context;
mod exchange_news;
mod follow_store;
mod front_page;
mod log_call;
mod observe_engines;
mod read_call;
mod relay_stream;
mod run;
mod serve_call;
mod state;
mod wait_alive;
mod watch_kept_store;

pub use context::GatewayPorts;
pub use run::GatewayError;
pub use run::run_gateway;
pub use run::serve_gateway;
