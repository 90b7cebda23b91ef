//! Callers that do not behave, and what a process uses while it serves them.

mod crowd_trial;
mod misbehavior;
mod process_usage;
mod run_crowd;
mod watch_process;

pub use crowd_trial::CrowdTrial;
pub use misbehavior::Misbehavior;
pub use process_usage::ProcessUsage;
pub use run_crowd::Crowd;
pub use run_crowd::CrowdTarget;
pub use watch_process::ProcessWatch;
