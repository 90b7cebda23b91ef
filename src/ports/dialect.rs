//! HTTP headers of callers and backend servers.

use http::HeaderMap;
use http::StatusCode;
use http::request::Parts;

use super::ForwardMetadata;
use super::ResponseMetadata;
use crate::core::fleet::CallHead;
use crate::core::fleet::CallRefusal;

/// Reads and writes the HTTP headers that callers and backend servers use (their
/// dialect).
pub trait Dialect: Send + Sync {
    /// Reads the call id, key, timeout and prompt description of a caller's
    /// request.
    ///
    /// # Errors
    ///
    /// A header is missing, repeated or malformed; the refusal is returned.
    fn read_call_head(&self, head: &Parts) -> Result<CallHead, CallRefusal>;

    /// Adds the metadata for a backend server to the caller's `headers`, and
    /// removes headers that a caller may not set.
    fn write_forward_headers(&self, headers: &mut HeaderMap, metadata: &ForwardMetadata<'_>);

    /// Reads the metadata of a backend server's response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Adds the call id to a response that the gateway itself generates.
    fn write_call_id(&self, headers: &mut HeaderMap, id: &[u8]);
}
