//! How callers and backend servers speak.

use http::HeaderMap;
use http::StatusCode;
use http::request::Parts;

use super::ForwardMetadata;
use super::ResponseMetadata;
use crate::core::fleet::CallHead;
use crate::core::fleet::CallRefusal;

/// How callers and backend servers speak.
pub trait Dialect: Send + Sync {
    /// Reads what a caller says of its call.
    ///
    /// # Errors
    ///
    /// The head cannot be used.
    fn read_call_head(&self, head: &Parts) -> Result<CallHead, CallRefusal>;

    /// Writes what a backend server is told besides the caller's own headers,
    /// in `headers`; removes what a caller may not set.
    fn write_forward_headers(&self, headers: &mut HeaderMap, metadata: &ForwardMetadata<'_>);

    /// Reads what a backend server says of its answer.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Writes into an answer of our own which call it is for.
    fn write_call_id(&self, headers: &mut HeaderMap, id: &[u8]);
}
