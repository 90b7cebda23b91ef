//! Quarantines prompt parts and calls that crash the servers which run them.

mod alive_run;
mod answered_call;
mod broken_run;
mod call_digest;
mod cleared_suspect;
mod completion;
mod crash;
mod crash_suspect;
mod culprit;
mod learned_news;
mod quarantine_news;
mod quarantine_period;
mod quarantined_suspect;
mod suspect;
mod suspect_quarantine;
mod suspect_run;
mod suspicion;
mod trial_request;

pub use alive_run::AliveRun;
pub use broken_run::BrokenRun;
pub use call_digest::CallDigest;
pub use cleared_suspect::ClearedSuspect;
pub use crash_suspect::CrashSuspect;
pub use culprit::Culprit;
pub use learned_news::LearnedNews;
pub use quarantine_news::QuarantineNews;
pub use quarantined_suspect::QuarantinedSuspect;
pub use suspect::Suspect;
pub use suspect_quarantine::Quarantine;
pub use trial_request::TrialRequest;
