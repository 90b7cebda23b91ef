//! Record that the store holds of an operation that may run at most once.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::AttemptTarget;
use super::RequestDigest;
use crate::core::ProcessIncarnation;
use crate::core::RequestId;

/// Maximum size of a response body stored for repeats, in bytes. The store
/// limits values to a megabyte, and a batch carries several records.
const MAX_STORED_BODY_BYTES: usize = 256 * 1024;

/// Record that the store holds of an operation that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceRecord {
    /// Digest of the request. A repeat must have the same.
    pub digest: RequestDigest,
    /// Request that owns the record.
    pub request: RequestId,
    /// Number of the owner's latest attempt, from 1.
    pub attempt: u32,
    /// Backend server of that attempt.
    pub server: String,
    /// Incarnation of the agent that the attempt was planned for.
    pub agent: Option<ProcessIncarnation>,
    /// Progress of the operation.
    pub state: OnceState,
}

/// Progress of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceState {
    /// The owner may have sent the request.
    Intent,
    /// The owner sent the request and cannot learn whether it ran.
    InDoubt,
    /// The request certainly did not run; another request may become the owner.
    Free,
    /// The request ran and gave this response.
    Ran(StoredResponse),
}

/// Response of an operation that ran, stored for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body, if the server gave one.
    pub content_type: Option<String>,
    /// Body; `None` if it was too large to store.
    pub body: Option<Bytes>,
}

/// State of the stored record under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// There is no record.
    Absent,
    /// The record was last written at this store revision.
    ModRevision(i64),
}

impl StoredResponse {
    /// Creates a response for storage. A body larger than
    /// `MAX_STORED_BODY_BYTES` is left out.
    pub fn new(status: u16, content_type: Option<String>, body: Bytes) -> Self {
        Self {
            status,
            content_type,
            body: (body.len() <= MAX_STORED_BODY_BYTES).then_some(body),
        }
    }
}

impl OnceRecord {
    /// Creates the record that is written before an attempt is sent.
    pub fn new_intent(
        digest: RequestDigest,
        request: RequestId,
        attempt: u32,
        target: &AttemptTarget,
    ) -> Self {
        Self {
            digest,
            request,
            attempt,
            server: target.server.as_str().into(),
            agent: target.agent,
            state: OnceState::Intent,
        }
    }

    /// Encodes the record as MessagePack.
    ///
    /// # Panics
    ///
    /// Never: every record can be encoded.
    pub fn encode(&self) -> Bytes {
        let encoded = rmp_serde::to_vec_named(self);
        encoded
            .unwrap_or_else(|e| unreachable!("record not encoded: {e}"))
            .into()
    }

    /// Decodes a record; `None` if the bytes are not a record.
    pub fn decode(encoded: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(encoded).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn decode_round_trip() {
        let target = AttemptTarget {
            server: "s1".into(),
            agent: None,
        };
        let digest = RequestDigest::new("POST", "/", b"{}");
        let mut record = OnceRecord::new_intent(digest, RequestId::random(), 1, &target);
        let body = Bytes::from_static(b"done");
        record.state = OnceState::Ran(StoredResponse::new(201, None, body));
        assert_eq!(OnceRecord::decode(&record.encode()), Some(record));
    }

    #[test]
    fn new_omits_large_body() {
        let large = Bytes::from(vec![0; MAX_STORED_BODY_BYTES + 1]);
        assert_eq!(StoredResponse::new(200, None, large).body, None);
    }
}
