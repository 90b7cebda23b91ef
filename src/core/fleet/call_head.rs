//! Request headers of a call, as decoded before its body is read.

use std::time::Duration;

use bytes::Bytes;

use super::Prompt;
use super::StreamResumption;
use crate::core::KeyDigest;

/// Decoded request headers of a call.
#[derive(Debug, Clone)]
pub struct CallHead {
    /// ID that the caller gave to this attempt, verbatim.
    pub id: Bytes,
    /// Digest of the caller's API key, if it sent one.
    pub key: Option<KeyDigest>,
    /// Time that the caller waits for the complete answer, if stated.
    pub caller_timeout: Option<Duration>,
    /// Prompt, for a call to a model.
    pub prompt: Option<Prompt>,
    /// The stream that the call takes up, if it goes on with one.
    pub resumption: Option<StreamResumption>,
}
