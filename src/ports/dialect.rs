//! How callers and backend servers speak.

use http::HeaderMap;
use http::StatusCode;
use http::request::Parts;

use super::AnswerFacts;
use super::ForwardFacts;
use crate::core::fleet::CallHead;
use crate::core::fleet::CallRefusal;

/// How callers and backend servers speak.
pub trait Dialect: Send + Sync {
    /// Reads what a caller says of its call.
    ///
    /// # Errors
    ///
    /// The head cannot be used.
    fn read_head(&self, head: &Parts) -> Result<CallHead, CallRefusal>;

    /// Writes what a backend server is told besides the caller's own headers,
    /// in `headers`; removes what a caller may not set.
    fn write_forward(&self, headers: &mut HeaderMap, facts: &ForwardFacts<'_>);

    /// Reads what a backend server says of its answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;

    /// Writes into an answer of our own which call it is for.
    fn write_identity(&self, headers: &mut HeaderMap, id: &[u8]);
}
