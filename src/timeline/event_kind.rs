//! What happened.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::core::AccountName;
use crate::core::AttemptRefusal;
use crate::core::Outcome;
use crate::core::Revision;
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
    AttemptRefused(ServerName, AttemptRefusal),
    /// The first part of the answer came.
    FirstToken,
    /// The request ended.
    Ended(Outcome),
    /// The caller went away.
    CallerGone,
    /// The agent let an attempt through to its server.
    GatePassed,
    /// The agent refused an attempt.
    GateRefused(AttemptRefusal),
    /// Rules came into force.
    RulesInForce(Revision),
    /// An operator called the administration API.
    Administered(String),
    /// A line of a process's log.
    Logged(String),
}

impl EventKind {
    /// Returns the stable name of the kind.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Draining => "draining",
            Self::Admitted(_) => "admitted",
            Self::RequestRefused(_) => "request-refused",
            Self::Planned(_) => "planned",
            Self::Sent(_) => "sent",
            Self::AttemptRefused(..) => "attempt-refused",
            Self::FirstToken => "first-token",
            Self::Ended(_) => "ended",
            Self::CallerGone => "caller-gone",
            Self::GatePassed => "gate-passed",
            Self::GateRefused(_) => "gate-refused",
            Self::RulesInForce(_) => "rules-in-force",
            Self::Administered(_) => "administered",
            Self::Logged(_) => "logged",
        }
    }

    /// Returns the server that the event is about, if it names one.
    pub fn server(&self) -> Option<&ServerName> {
        match self {
            Self::Planned(server) | Self::Sent(server) | Self::AttemptRefused(server, _) => {
                Some(server)
            }
            _ => None,
        }
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.name();
        match self {
            Self::Admitted(Some(account)) => write!(f, "{name} for account {account}"),
            Self::RequestRefused(code) => write!(f, "{name}: {code}"),
            Self::Planned(server) | Self::Sent(server) => write!(f, "{name} to {server}"),
            Self::AttemptRefused(server, refusal) => write!(f, "{name} by {server}: {refusal}"),
            Self::Ended(outcome) => write!(f, "{name}: {outcome}"),
            Self::GateRefused(refusal) => write!(f, "{name}: {refusal}"),
            Self::RulesInForce(revision) => write!(f, "{name}: revision {revision}"),
            Self::Administered(call) => write!(f, "{name}: {call}"),
            Self::Logged(line) => f.write_str(line),
            _ => f.write_str(name),
        }
    }
}
