//! Kinds of timeline events.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::core::AccountName;
use crate::core::AttemptRefusal;
use crate::core::Outcome;
use crate::core::Revision;
use crate::core::ServerName;

/// Kind of a timeline event with its details.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The process started serving.
    Started,
    /// The process started draining and takes no new work.
    Draining,
    /// The entry admitted a request for an account; `None` on an open route.
    Admitted(Option<AccountName>),
    /// The entry refused a request before choosing a backend server, with this error
    /// code.
    RequestRefused(String),
    /// The entry chose a backend server for an attempt.
    Planned(ServerName),
    /// The entry sent an attempt to a backend server.
    Sent(ServerName),
    /// The entry learned that the agent of a backend server refused an attempt.
    AttemptRefused(ServerName, AttemptRefusal),
    /// The first part of the response arrived at the entry.
    FirstToken,
    /// The request ended with this outcome.
    Ended(Outcome),
    /// The caller disconnected from the entry, or the entry from the agent.
    CallerGone,
    /// The agent admitted an attempt to its backend server.
    GatePassed,
    /// The agent refused an attempt for this reason.
    GateRefused(AttemptRefusal),
    /// The process put this rules revision in force.
    RulesInForce(Revision),
    /// An operator called the administration API, with this call.
    Administered(String),
    /// Log line of a process.
    Logged(String),
}

impl EventKind {
    /// Returns the name of the kind, which operators filter by; it never changes.
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

    /// Returns the backend server that the event names, if any.
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
