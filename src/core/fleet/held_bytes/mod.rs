//! Decides what a process may hold in memory for its callers and what may be
//! outstanding at a server.

mod arriving_responses;
#[allow(clippy::module_inception)]
mod held_bytes;
mod hold_decision;
mod hold_purpose;
mod holder;
mod reader_progress;
mod server_bytes;

use arriving_responses::ArrivingResponses;
pub use held_bytes::HeldBytes;
pub use hold_decision::HoldDecision;
pub use hold_purpose::HoldPurpose;
pub use holder::Holder;
pub use reader_progress::ReaderProgress;
pub use server_bytes::ServerBytes;
