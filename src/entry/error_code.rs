//! Stable codes of error answers.

use http::StatusCode;

/// Stable code of an error answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorCode {
    /// The request is malformed.
    BadRequest,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body came too slowly.
    BodyTooSlow,
    /// The prompt is longer than allowed.
    PromptTooLong,
    /// Bodies of other requests take all the memory that they may.
    Overloaded,
    /// No route matches the path.
    NoRoute,
    /// No key came with a request on a route that needs one, or an unknown one.
    Unauthorized,
    /// The key was withdrawn while the request ran.
    KeyWithdrawn,
    /// The account has used up its rate and burst.
    RateLimited,
    /// No backend server of the pool takes the request now.
    NoServer,
    /// The caller's deadline passed.
    DeadlinePassed,
    /// The backend server failed while it ran the request.
    ServerFailed,
    /// The answer broke off.
    AnswerCut,
    /// The route needs an idempotency key and none came.
    IdempotencyKeyMissing,
    /// The idempotency key came with a different request before.
    IdempotencyKeyReused,
    /// An earlier request with the idempotency key may have run.
    InDoubt,
    /// The request ran before, but its answer was too large to keep.
    AnswerNotKept,
    /// The platform's store cannot record the request.
    StoreUnavailable,
}

impl ErrorCode {
    /// Returns the code as it stands in answers.
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

    /// Returns the HTTP status that goes with the code.
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
