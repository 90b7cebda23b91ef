//! Stable codes of error responses and their HTTP statuses.

use http::StatusCode;

/// Reason for an error response, by which callers' programs tell errors apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorCode {
    /// The request is malformed.
    BadRequest,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body did not arrive within the body timeout.
    BodyTooSlow,
    /// The prompt is longer than allowed.
    PromptTooLong,
    /// Bodies of other requests use up the memory for buffered bodies.
    Overloaded,
    /// No route matches the path.
    NoRoute,
    /// The route needs an API key, and the request has none or an unknown one.
    Unauthorized,
    /// The API key was withdrawn while the request was served.
    KeyWithdrawn,
    /// The account has used up its rate and burst, or the request is larger
    /// than the burst.
    RateLimited,
    /// No backend server of the pool accepts the request now.
    NoServer,
    /// The caller's deadline passed before the response began.
    DeadlinePassed,
    /// The backend server failed while it ran the request.
    ServerFailed,
    /// The response broke off after it had begun.
    AnswerCut,
    /// The route needs an idempotency key, and it is missing or too long.
    IdempotencyKeyMissing,
    /// The idempotency key was used before for a different request.
    IdempotencyKeyReused,
    /// An earlier request with the idempotency key may have run.
    InDoubt,
    /// The request ran before, but its response was too large to keep.
    AnswerNotKept,
    /// The request could not be recorded in the platform's store.
    StoreUnavailable,
}

impl ErrorCode {
    /// Returns the code as written in error responses and metrics; clients
    /// match on it, so it never changes.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTooSlow => "body-too-slow",
            Self::PromptTooLong => "prompt-too-long",
            Self::Overloaded => "overloaded",
            Self::NoRoute => "no-route",
            Self::Unauthorized => "unauthorized",
            Self::KeyWithdrawn => "key-withdrawn",
            Self::RateLimited => "rate-limited",
            Self::NoServer => "no-server",
            Self::DeadlinePassed => "deadline-passed",
            Self::ServerFailed => "server-failed",
            Self::AnswerCut => "answer-cut",
            Self::IdempotencyKeyMissing => "idempotency-key-missing",
            Self::IdempotencyKeyReused => "idempotency-key-reused",
            Self::InDoubt => "in-doubt",
            Self::AnswerNotKept => "answer-not-kept",
            Self::StoreUnavailable => "store-unavailable",
        }
    }

    /// Returns the HTTP status of an error response with this code.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::IdempotencyKeyMissing => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge | Self::PromptTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthorized | Self::KeyWithdrawn => StatusCode::UNAUTHORIZED,
            Self::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Self::NoServer | Self::StoreUnavailable | Self::Overloaded => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::IdempotencyKeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::InDoubt => StatusCode::CONFLICT,
            Self::AnswerNotKept => StatusCode::GONE,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Self::ServerFailed | Self::AnswerCut => StatusCode::BAD_GATEWAY,
        }
    }
}
