//! Requests that may run at most once. An intent is recorded in the store
//! before a request is sent, and its outcome and response afterwards. A repeat
//! with the same idempotency key gets the stored response.

mod action;
mod attempt_target;
mod call;
mod event;
mod once_error;
mod once_key;
mod record;
mod request_digest;
mod seen_attempts;

pub use action::OnceAction;
pub use attempt_target::AttemptTarget;
pub use call::OnceCall;
pub use event::OnceEvent;
pub use once_error::OnceError;
pub use once_key::OnceKey;
pub use record::OnceRecord;
pub use record::OnceState;
pub use record::StoredResponse;
pub use record::WriteCondition;
pub use request_digest::RequestDigest;
pub use seen_attempts::AttemptCheck;
pub use seen_attempts::SeenAttempts;
