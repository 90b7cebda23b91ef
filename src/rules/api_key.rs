//! A key that callers show.

use super::AccountKey;
use crate::core::KeyDigest;

/// A key that callers show; the rules hold only its digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiKey {
    /// Id of the key, which logs and messages may hold.
    pub id: String,
    /// Account that the key opens.
    pub account: AccountKey,
    /// Digest of the key.
    pub digest: KeyDigest,
}
