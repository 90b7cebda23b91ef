//! Rule of an API key.

use super::AccountKey;
use crate::core::KeyDigest;

/// API key by which callers authenticate. The rules hold only its digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiKey {
    /// Identifier of the key, which is not secret: logs and messages may contain it.
    pub id: String,
    /// Account of the callers that present the key.
    pub account: AccountKey,
    /// Digest of the secret key.
    pub digest: KeyDigest,
}
