//! The role on each thin entry host: authenticate, admit, choose, relay and
//! retry.

mod answer_error;
mod attempt;
mod authenticate;
mod caller_request;
mod choice;
mod context;
mod control;
mod error_code;
mod handle;
mod key_watch;
mod meter;
mod once;
mod once_lease;
mod once_store;
mod planner;
mod relay_answer;
mod resumer;
mod run;
mod servers;
mod share_exchange;
mod shares;
mod slot_keeper;

pub use answer_error::AnswerError;
pub use context::EntryContext;
pub use error_code::ErrorCode;
pub use run::RunError;
pub use run::run_entry;
pub use run::serve_entry;
pub use servers::Servers;
