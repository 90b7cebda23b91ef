//! Stream that a caller takes up, as its headers state it.

use bytes::Bytes;

/// Stream that a caller takes up after its connection broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamResumption {
    /// Id of the call that brought the first event; `None` if not stated.
    pub first_call_id: Option<Bytes>,
    /// Id of the last event that the caller has, verbatim; empty if it names
    /// only the call.
    pub last_event_id: Bytes,
}
