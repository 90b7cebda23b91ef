//! Randomized soak of real gateway processes on loopback. Faults are injected
//! from outside, with signals, a faulty store and faulty network links. The
//! guarantees are checked from what callers and backend servers observe.

mod check;
mod fault;
mod fault_link;
mod process;
mod rollout;
mod run;
mod slow_reader;
mod traffic;

pub use check::CallKind;
pub use check::CallRecord;
pub use check::Observations;
pub use check::Violation;
pub use check::check_guarantees;
pub use process::RoleProcess;
pub use rollout::ObservedRollout;
pub use run::SoakError;
pub use run::SoakPlan;
pub use run::SoakSummary;
pub use run::run_soak;
