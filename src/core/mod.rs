//! Decision logic without I/O. Each function takes its state, an event and the
//! current time, so that it can also run in virtual time.
//!
//! A *request* of an entry and a *call* of a gateway are the same thing: one
//! HTTP request of a caller, sent to a backend server in one or more
//! *attempts*. An *incarnation* identifies one run of a process, from its start
//! to its end.

mod account_name;
mod attempt_refusal;
mod cache_salt;
pub mod config;
mod connections;
mod engine_incarnation;
mod envelope;
pub mod fair_queue;
pub mod fleet;
mod key_digest;
pub mod limit;
mod load_report;
mod monotonic_time;
pub mod once;
pub mod order;
mod outcome;
pub mod placement;
pub mod prefix_index;
mod process_incarnation;
mod request_id;
mod response_report;
pub mod retry;
mod revision;
mod server_name;
mod stall_detector;
mod weights_version;

pub use account_name::AccountName;
pub use attempt_refusal::AttemptRefusal;
pub use cache_salt::CacheSalt;
pub use connections::ConnectionUse;
pub use connections::ConnectionView;
pub use connections::choose_least_useful;
pub use engine_incarnation::EngineIncarnation;
pub use envelope::Envelope;
pub use key_digest::KeyDigest;
pub use load_report::LoadReport;
pub use monotonic_time::MonotonicTime;
pub use outcome::Outcome;
pub use process_incarnation::ProcessIncarnation;
pub use request_id::RequestId;
pub use response_report::ResponseReport;
pub use revision::Revision;
pub use server_name::ServerName;
pub use stall_detector::StallDetector;
pub use weights_version::WeightsVersion;
