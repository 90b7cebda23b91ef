//! Decisions without input or output: functions of state, event and time.

mod account_name;
mod cache_salt;
pub mod config;
mod engine_incarnation;
mod envelope;
pub mod fair_queue;
mod key_digest;
pub mod limit;
mod load_report;
mod monotonic_time;
pub mod once;
mod outcome;
pub mod placement;
mod process_incarnation;
mod refusal;
mod report;
mod request_id;
pub mod retry;
mod revision;
mod server_name;
mod weights_version;

pub use account_name::AccountName;
pub use cache_salt::CacheSalt;
pub use engine_incarnation::EngineIncarnation;
pub use envelope::Envelope;
pub use key_digest::KeyDigest;
pub use load_report::LoadReport;
pub use monotonic_time::MonotonicTime;
pub use outcome::Outcome;
pub use process_incarnation::ProcessIncarnation;
pub use refusal::Refusal;
pub use report::Report;
pub use request_id::RequestId;
pub use revision::Revision;
pub use server_name::ServerName;
pub use weights_version::WeightsVersion;
