//! Digest by which repeats of a call are recognised.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::core::AccountName;
use crate::core::fleet::PromptPart;

/// First bytes of the SHA-256 digest of a call's host, method, target, account, body and
/// the prompt parts that it shares. It is the same at all entries, and for each repeat
/// of the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallDigest(pub u64);

impl CallDigest {
    /// Computes the digest of a call. `target` is the path with the query; `parts` are
    /// those of the prompt that other calls may share, as some callers describe their
    /// prompts in headers only. The lengths of all fields are hashed with them, so that
    /// no other split of the same bytes gives the same digest.
    pub fn new(
        host: &str,
        method: &str,
        target: &str,
        account: Option<&AccountName>,
        parts: &[PromptPart],
        body: &[u8],
    ) -> Self {
        let account = account.map_or(&b""[..], |account| account.as_str().as_bytes());
        let fields = [
            host.as_bytes(),
            method.as_bytes(),
            target.as_bytes(),
            account,
            body,
        ];
        let mut hasher = Sha256::new();
        for field in fields {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        for part in parts {
            hasher.update(part.id.0.to_be_bytes());
        }
        let digest: [u8; 32] = hasher.finalize().into();
        let (first, _) = digest.split_first_chunk().unwrap_or((&[0; 8], &[]));
        Self(u64::from_be_bytes(*first))
    }
}

impl fmt::Display for CallDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
