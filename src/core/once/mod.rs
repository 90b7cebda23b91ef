//! Requests that may run at most once: an intent is recorded before a
//! request is sent, its outcome and answer after, and a repeat gets the kept
//! answer.

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
