//! Checkers that compare the observed history of a run with a guarantee, one
//! module per guarantee.

mod once;

pub use once::OnceObservation;
pub use once::OnceViolation;
pub use once::check_once;
