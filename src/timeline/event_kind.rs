//! What happened.

use serde::Deserialize;
use serde::Serialize;

use crate::core::AccountName;
use crate::core::Outcome;
use crate::core::Refusal;
use crate::core::ServerName;

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The process serves.
    Started,
    /// The process takes no new work.
    Draining,
    /// A request may run for an account; none on an open route.
    Admitted(Option<AccountName>),
    /// A request was refused before it was planned, with the error's code.
    RequestRefused(String),
    /// A server was chosen for an attempt.
    Planned(ServerName),
    /// An attempt was sent to a server.
    Sent(ServerName),
    /// A server's agent refused an attempt.
    AttemptRefused(ServerName, Refusal),
    /// The first part of the answer came.
    FirstToken,
    /// The request ended.
    Ended(Outcome),
    /// The caller went away.
    CallerGone,
}
