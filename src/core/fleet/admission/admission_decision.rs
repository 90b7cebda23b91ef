//! Decision on a call that asks to be sent.

use std::time::Duration;

use super::AdmissionTicket;
use super::StartEstimate;
use crate::core::fleet::BackendKey;

/// Decision on a call that asks to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The call is sent now, to the best server other than `avoid`.
    Start {
        /// Prediction at that server.
        estimate: StartEstimate,
        /// Servers that have no room for the call.
        avoid: Vec<BackendKey>,
    },
    /// The call waits; it is looked at again with this ticket.
    Wait(AdmissionTicket),
    /// The call is refused.
    Refuse(AdmissionRefusal),
}

/// Refusal of a call, which has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Why it is refused.
    pub reason: RefusalReason,
    /// Time after which the caller should retry.
    pub after: Duration,
}

/// Reason why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// What is ahead of the call takes longer than it can wait.
    QueueAhead,
    /// The call waited until it could not start in time any more.
    TooLate,
    /// The queue is full, and the call would be the last in it.
    QueueFull,
    /// The entry stops.
    Stopping,
}

impl RefusalReason {
    /// Returns the code used in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::QueueAhead => "queue-ahead",
            Self::TooLate => "too-late",
            Self::QueueFull => "queue-full",
            Self::Stopping => "stopping",
        }
    }
}
