//! Checks of what was observed of a run against what must always hold, one
//! checker a promise.

mod once;

pub use once::OnceObservation;
pub use once::OnceViolation;
pub use once::check_once;
