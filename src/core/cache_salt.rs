//! Salt that keeps one client account's cache entries apart from all others.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use super::AccountName;

/// Hashed before the account name, so that no other digest of the name equals
/// the salt.
const SALT_DOMAIN: &[u8] = b"teaseldrum cache salt v1\0";

/// Hashed before the names of several accounts, for the same reason.
const SET_DOMAIN: &[u8] = b"teaseldrum cache salt of a set v1\0";

/// Salt that keeps one client account's cache entries apart from all others:
/// the engine includes it in the key of each cache block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CacheSalt(u64);

impl CacheSalt {
    /// Derives the salt of an account: the first 8 bytes of a SHA-256 digest of
    /// its name.
    pub fn of_account(account: &AccountName) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(SALT_DOMAIN);
        hasher.update(account.as_str().as_bytes());
        Self::from_hasher(hasher)
    }

    /// Derives the salt of a set of accounts, whatever the order of their names.
    pub fn of_accounts(accounts: &BTreeSet<AccountName>) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(SET_DOMAIN);
        for account in accounts {
            let name = account.as_str().as_bytes();
            hasher.update((name.len() as u64).to_le_bytes());
            hasher.update(name);
        }
        Self::from_hasher(hasher)
    }

    fn from_hasher(hasher: Sha256) -> Self {
        let digest = hasher.finalize();
        let mut head = [0; 8];
        head.copy_from_slice(&digest[..8]);
        Self(u64::from_le_bytes(head))
    }

    /// Returns the salt as the number that block hashes include.
    pub fn bits(self) -> u64 {
        self.0
    }
}

impl fmt::Display for CacheSalt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn of_account_differs_by_account() {
        let first = CacheSalt::of_account(&AccountName::from("guild"));
        let second = CacheSalt::of_account(&AccountName::from("sabarmati"));
        assert_ne!(first, second);
    }
}
