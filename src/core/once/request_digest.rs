//! Digest that tells a repeat from another request with the same key.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// SHA-256 digest of a request's method, target and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Computes the digest. The lengths of method and target are hashed with
    /// them, so that no other split of the same bytes gives the same digest.
    pub fn new(method: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method, target] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        Self(hasher.finalize().into())
    }
}
