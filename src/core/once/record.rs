//! What is kept about a request that may run at most once.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::AttemptTarget;
use super::RequestDigest;
use crate::core::ProcessIncarnation;
use crate::core::RequestId;

/// Bytes of an answer's body that are kept for repeats; the store holds
/// values up to a megabyte, and a batch carries several records.
const MAX_KEPT_BYTES: usize = 256 * 1024;

/// What is kept about a request that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceRecord {
    /// Digest of the request; a repeat must have the same.
    pub digest: RequestDigest,
    /// Request that owns the record.
    pub request: RequestId,
    /// Number of the owner's latest attempt, from 1.
    pub attempt: u32,
    /// Backend server of that attempt.
    pub server: String,
    /// Run of the agent that the attempt was planned for.
    pub agent: Option<ProcessIncarnation>,
    /// How far the operation has come.
    pub state: OnceState,
}

/// How far an operation has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceState {
    /// The owner may have sent it.
    Intent,
    /// The owner sent it and cannot learn whether it ran.
    InDoubt,
    /// It certainly did not run; another request may become the owner.
    Free,
    /// It ran.
    Ran(StoredResponse),
}

/// Answer of an operation that ran, kept for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body, if the server named one.
    pub content_type: Option<String>,
    /// Body; none if it was too large to keep.
    pub body: Option<Bytes>,
}

/// State of the record on which a write depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// There is no record.
    Absent,
    /// The record was last written at this store revision.
    ModRevision(i64),
}

impl StoredResponse {
    /// Keeps an answer, without its body if that is too large.
    pub fn new(status: u16, content_type: Option<String>, body: Bytes) -> Self {
        Self {
            status,
            content_type,
            body: (body.len() <= MAX_KEPT_BYTES).then_some(body),
        }
    }
}

impl OnceRecord {
    /// Creates the record of an intent.
    pub fn new_intent(
        digest: RequestDigest,
        request: RequestId,
        attempt: u32,
        plan: &AttemptTarget,
    ) -> Self {
        Self {
            digest,
            request,
            attempt,
            server: plan.server.as_str().into(),
            agent: plan.agent,
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

    /// Decodes a record; none if the bytes are no record.
    pub fn decode(encoded: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(encoded).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn decode_round_trip() {
        let plan = AttemptTarget {
            server: "s1".into(),
            agent: None,
        };
        let digest = RequestDigest::new("POST", "/", b"{}");
        let mut record = OnceRecord::new_intent(digest, RequestId::random(), 1, &plan);
        let body = Bytes::from_static(b"done");
        record.state = OnceState::Ran(StoredResponse::new(201, None, body));
        assert_eq!(OnceRecord::decode(&record.encode()), Some(record));
    }

    #[test]
    fn new_leaves_large_body_out() {
        let large = Bytes::from(vec![0; MAX_KEPT_BYTES + 1]);
        assert_eq!(StoredResponse::new(200, None, large).body, None);
    }
}
