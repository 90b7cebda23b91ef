//! Outcome of an admission request, and the ticket under which it is returned.

use std::time::Duration;

use super::Charge;

/// Identifies a request that waits for its decision; chosen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Outcome of an admission request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may run; its tokens are charged.
    Admitted(Charge),
    /// The account is out of tokens, or too many of its requests wait. One more
    /// request may succeed after this time.
    Refused(Duration),
    /// The request needs more tokens than the account's burst, or the account
    /// is unknown.
    TooLarge,
}
