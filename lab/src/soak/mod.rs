//! Randomized soak of real gateway processes on loopback: faults come from
//! outside, by signals and by links, and promises are checked from what
//! callers and backend servers see.

mod check;
mod fault;
mod fault_link;
mod process;
mod run;
mod traffic;

pub use check::CallKind;
pub use check::CallRecord;
pub use check::Observations;
pub use check::Violation;
pub use check::check_guarantees;
pub use process::GatewayProcess;
pub use run::SoakError;
pub use run::SoakPlan;
pub use run::SoakSummary;
pub use run::run_soak;
