//! Failures of a store call, classified by whether the call may have taken effect.

use std::fmt;

use crate::http::ClientError;

/// Failure of a store call, classified by whether the call may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store was not reached. The call had no effect.
    NotReached(String),
    /// The store refused the call. It had no effect.
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        message: String,
    },
    /// The call may have taken effect: its response was lost, malformed or a
    /// server error.
    Unknown(String),
}

impl StoreError {
    /// Returns whether the call may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// Classifies a response whose status is not 200. Only the statuses by which the
    /// store refuses the request itself rule out an effect.
    pub(super) fn from_status(status: u16, message: String) -> Self {
        match status {
            400 | 401 | 403 | 404 | 409 | 412 | 429 => Self::Refused { status, message },
            _ => Self::Unknown(format!("status {status}: {message}")),
        }
    }
}

impl From<ClientError> for StoreError {
    fn from(e: ClientError) -> Self {
        if e.is_certainly_unsent() {
            Self::NotReached(e.to_string())
        } else {
            Self::Unknown(e.to_string())
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotReached(reason) => write!(f, "store not reached: {reason}"),
            Self::Refused { status, message } => {
                write!(f, "store refused the call with status {status}: {message}")
            }
            Self::Unknown(reason) => write!(f, "store call may have taken effect: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case::bad_request(400, false)]
    #[case::too_many(429, false)]
    #[case::internal(500, true)]
    #[case::unavailable(503, true)]
    #[case::timeout(504, true)]
    fn from_status_effect(#[case] status: u16, #[case] may_have_taken_effect: bool) {
        let e = StoreError::from_status(status, String::new());
        assert_eq!(e.may_have_taken_effect(), may_have_taken_effect);
    }
}
