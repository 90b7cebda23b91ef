//! Key under which the store holds the record of an operation.

use bytes::Bytes;
use sha2::Digest;
use sha2::Sha256;

use crate::core::AccountName;

const STORE_KEY_PREFIX: &str = "/teaseldrum/once/";

/// Identifier of one operation: a SHA-256 digest of the client account and the
/// idempotency key, so that equal keys of two accounts differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct OnceKey([u8; 32]);

impl OnceKey {
    /// Computes the identifier from the account (`None` on an open route) and
    /// the caller's idempotency key. The length of the account name is hashed
    /// first, so that no other split of the same bytes gives the same digest.
    pub fn new(account: Option<&AccountName>, idempotency_key: &[u8]) -> Self {
        let account = account.map_or("", AccountName::as_str);
        let mut hasher = Sha256::new();
        hasher.update((account.len() as u64).to_be_bytes());
        hasher.update(account.as_bytes());
        hasher.update(idempotency_key);
        Self(hasher.finalize().into())
    }

    /// Returns the key of the record in the store.
    pub fn store_key(&self) -> Bytes {
        let digits: String = self.0.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{STORE_KEY_PREFIX}{digits}").into()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn new_separates_accounts() {
        let ab = AccountName::from("ab");
        let a = AccountName::from("a");
        assert_ne!(OnceKey::new(Some(&ab), b"c"), OnceKey::new(Some(&a), b"bc"));
        assert_ne!(OnceKey::new(Some(&a), b"k"), OnceKey::new(None, b"k"));
    }
}
