//! Reasons for which a call is refused without having run.

use std::fmt;
use std::time::Duration;

/// Reason for which a call is refused. None of these calls has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRefusal {
    /// No configuration has been read yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
    /// The key is missing or no account has it.
    UnknownKey,
    /// The head of the request cannot be used.
    BadRequest(&'static str),
    /// The body is too large.
    TooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// The account is beyond its rate; it has tokens again after the time.
    OverRate(Duration),
    /// No server can begin in time; worth another try after the time.
    Overloaded(Duration),
    /// No server is known that may take the call.
    NoServer(Duration),
    /// Servers did not run it and no further one may be asked.
    NotAccepted(Duration),
}

impl CallRefusal {
    /// Returns the code for logs and counters.
    pub fn code(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::BadRequest(_) => "bad-request",
            Self::TooLarge => "too-large",
            Self::SlowBody => "slow-body",
            Self::OverRate(_) => "over-rate",
            Self::Overloaded(_) => "overloaded",
            Self::NoServer(_) => "no-server",
            Self::NotAccepted(_) => "not-accepted",
        }
    }

    /// Returns the HTTP status of the answer.
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::BadRequest(_) => 400,
            Self::TooLarge => 413,
            Self::SlowBody => 408,
            Self::OverRate(_) => 429,
            Self::NoConfiguration
            | Self::Overloaded(_)
            | Self::NoServer(_)
            | Self::NotAccepted(_) => 503,
        }
    }

    /// Returns when the caller should come back, if it should.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::OverRate(after)
            | Self::Overloaded(after)
            | Self::NoServer(after)
            | Self::NotAccepted(after) => Some(after),
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
