//! What a caller said of its call.

use std::time::Duration;

use bytes::Bytes;

use super::Prompt;
use crate::core::KeyDigest;

/// What a caller said of its call, before the body.
#[derive(Debug, Clone)]
pub struct CallHead {
    /// Identity of the caller's attempt, as the caller wrote it.
    pub id: Bytes,
    /// Digest of the caller's key.
    pub key: Option<KeyDigest>,
    /// How long the caller waits for a whole answer.
    pub caller_timeout: Option<Duration>,
    /// The prompt, of a call to a model.
    pub prompt: Option<Prompt>,
}
