//! Reasons for rejecting a call before it has run, with their status and error
//! codes.

use std::fmt;
use std::time::Duration;

/// Reason for rejecting a call. A rejected call has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRefusal {
    /// No configuration has been loaded yet.
    NoConfiguration,
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The request headers are invalid; holds the problem.
    BadRequest(&'static str),
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive in time, or its connection broke.
    BodyNotReceived,
    /// The account is over its rate; retry after the given time.
    OverRate(Duration),
    /// No server can start in time; retry after the given time.
    Overloaded(Duration),
    /// No server accepts the call; retry after the given time.
    NoServer(Duration),
    /// The call takes up a stream, and it is not known at which build that began;
    /// retry after the given time, at another entry.
    UnknownStream(Duration),
    /// The servers want no calls for the given time.
    ServersPaused(Duration),
    /// The servers take no further calls, by the limits that they name; the first one
    /// takes a call after the given time.
    ServersLimited(Duration),
    /// A part of the prompt crashes servers and is quarantined for the given time.
    QuarantinedPart(Duration),
    /// The call itself crashes servers, or may do so, and is sent to none for the given
    /// time.
    QuarantinedCall(Duration),
    /// Servers did not run the call, and no further attempt is allowed; retry
    /// after the given time.
    NotAccepted(Duration),
    /// The call cannot start in time, by the calls that wait; retry after the given
    /// time, at which capacity is expected.
    NotAdmitted(Duration),
    /// The entry stops, and the call would have to wait or may not be answered by its end;
    /// retry after the given time, at another entry.
    Stopping(Duration),
}

impl CallRefusal {
    /// Returns the code used in logs and counters.
    pub fn code(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::BadRequest(_) => "bad-request",
            Self::TooLarge => "too-large",
            Self::BodyNotReceived => "slow-body",
            Self::OverRate(_) => "over-rate",
            Self::Overloaded(_) => "overloaded",
            Self::NoServer(_) => "no-server",
            Self::UnknownStream(_) => "unknown-stream",
            Self::ServersPaused(_) => "servers-paused",
            Self::ServersLimited(_) => "servers-limited",
            Self::QuarantinedPart(_) => "quarantined-part",
            Self::QuarantinedCall(_) => "quarantined-call",
            Self::NotAccepted(_) => "not-accepted",
            Self::NotAdmitted(_) => "not-admitted",
            Self::Stopping(_) => "stopping",
        }
    }

    /// Returns the HTTP status of the answer.
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::BadRequest(_) => 400,
            Self::TooLarge => 413,
            Self::BodyNotReceived => 408,
            Self::OverRate(_) => 429,
            Self::NoConfiguration
            | Self::Overloaded(_)
            | Self::NoServer(_)
            | Self::UnknownStream(_)
            | Self::ServersPaused(_)
            | Self::ServersLimited(_)
            | Self::QuarantinedPart(_)
            | Self::QuarantinedCall(_)
            | Self::NotAccepted(_)
            | Self::NotAdmitted(_)
            | Self::Stopping(_) => 503,
        }
    }

    /// Returns the time after which the caller should retry, or `None` if a
    /// retry would not help.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::OverRate(after)
            | Self::Overloaded(after)
            | Self::NoServer(after)
            | Self::UnknownStream(after)
            | Self::ServersPaused(after)
            | Self::ServersLimited(after)
            | Self::QuarantinedPart(after)
            | Self::QuarantinedCall(after)
            | Self::NotAccepted(after)
            | Self::NotAdmitted(after)
            | Self::Stopping(after) => Some(after),
            Self::NoConfiguration => Some(Duration::from_millis(500)),
            _ => None,
        }
    }
}

impl fmt::Display for CallRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadRequest(problem) => write!(f, "bad request: {problem}"),
            other => f.write_str(other.code()),
        }
    }
}
