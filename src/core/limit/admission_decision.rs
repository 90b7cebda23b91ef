//! What the limiter says about a request.

use std::time::Duration;

use super::Charge;

/// Names a request that waits for a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What the limiter says about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may run; its tokens are charged.
    Admitted(Charge),
    /// The request may not run; the next one like it may after this time.
    Refused(Duration),
    /// The request asks for more than the account's burst, or the account is
    /// unknown.
    TooLarge,
}
