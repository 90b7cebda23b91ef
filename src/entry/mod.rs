//! The entry role, one process per entry host: authenticates callers' requests,
//! charges them to client accounts, chooses a backend server for each, relays
//! the response and retries failed attempts.
//!
//! Entries enforce the accounts' rates together by [`crate::core::limit`]: an
//! entry holds *slots*, equal parts of every account's rate. The *agent* of a
//! backend server runs beside it and passes requests on to it.

mod agent_silence;
mod attempt;
mod authenticate;
mod caller_request;
mod chosen_server;
mod context;
mod control;
mod error_code;
mod error_response;
mod handle;
mod key_watch;
mod limiter_tasks;
mod once;
mod once_store;
mod relay_response;
mod request_dispatcher;
mod retention_lease;
mod run;
mod server_table;
mod shared_limiter;
mod slot_lease;
mod stream_resumer;
mod token_meter;

pub use context::EntryContext;
pub use error_code::ErrorCode;
pub use error_response::ErrorResponse;
pub use run::RunError;
pub use run::run_entry;
pub use run::serve_entry;
pub use server_table::ServerTable;
