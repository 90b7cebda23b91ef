//! Error responses to callers, as a JSON body or as the last event of a stream.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use hyper::Response;
use serde_json::json;

use super::ErrorCode;
use crate::core::Outcome;
use crate::core::RequestId;
use crate::http::HttpBody;
use crate::http::full_body;
use crate::http::write_event;

/// Response header that says whether the request ran: `ran`, `not-run` or
/// `unknown`.
pub const OUTCOME_HEADER: &str = "x-teaseldrum-outcome";

/// Response header with the id of the request, under which it is logged.
pub const REQUEST_ID_HEADER: &str = "x-teaseldrum-request-id";

/// An error response to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Reason of the error; sets the HTTP status.
    pub code: ErrorCode,
    /// What is known about whether the request ran.
    pub outcome: Outcome,
    /// Explanation for people; programs read the code.
    pub message: String,
    /// Time after which a retry may succeed; sent rounded up to whole seconds.
    pub retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// Creates an error response to a request that certainly did not run.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self::new(code, Outcome::NotRun, message)
    }

    /// Creates an error response without a retry time.
    pub fn new(code: ErrorCode, outcome: Outcome, message: impl Into<String>) -> Self {
        Self {
            code,
            outcome,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Changes the outcome "not run" to "unknown" if an earlier attempt of the
    /// request may have run.
    pub fn mark_unknown_if(mut self, may_have_run: bool) -> Self {
        if may_have_run && self.outcome == Outcome::NotRun {
            self.outcome = Outcome::Unknown;
        }
        self
    }

    /// Returns the error as an HTTP response with a JSON body.
    pub fn to_response(&self, request: RequestId) -> Response<HttpBody> {
        let mut builder = Response::builder()
            .status(self.code.status())
            .header(CONTENT_TYPE, "application/json")
            .header(OUTCOME_HEADER, self.outcome.as_str())
            .header(REQUEST_ID_HEADER, request.to_string());
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
            builder = builder.header(RETRY_AFTER, seconds);
        }
        builder
            .body(full_body(self.to_json(request)))
            .unwrap_or_else(|_| unreachable!("all header values are valid"))
    }

    /// Returns the error as an event, to end a stream whose head was already
    /// sent.
    pub fn to_event(&self, request: RequestId) -> Bytes {
        write_event("", "error", &self.to_json(request))
    }

    fn to_json(&self, request: RequestId) -> String {
        let error = json!({
            "error": {
                "code": self.code.as_str(),
                "message": self.message,
                "outcome": self.outcome.as_str(),
                "request_id": request.to_string(),
            }
        });
        error.to_string()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn to_response_rounds_retry_after_up() {
        let error = ErrorResponse::not_run(ErrorCode::RateLimited, "later")
            .with_retry_after(Duration::from_millis(1_200));
        let response = error.to_response(RequestId::random());
        assert_eq!(response.headers()[RETRY_AFTER], "2");
        assert_eq!(response.headers()[OUTCOME_HEADER], "not-run");
    }
}
