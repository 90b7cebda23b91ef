//! Compact account identity for messages between entries, and the assignment of
//! accounts to groups.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::AccountName;

/// Identity of a client account in messages between entries: the upper 32 bits
/// of the XXH3 hash of its name. The rules parser rejects a rule set in which
/// two names share one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountId(pub u32);

impl AccountId {
    /// Hashes an account name.
    pub fn from_name(name: &AccountName) -> Self {
        let hash = xxh3_64(name.as_str().as_bytes());
        Self((hash >> 32) as u32)
    }

    /// Returns the group of the account, from 0 to `groups - 1`.
    pub fn group(self, groups: u16) -> u16 {
        let group = self.0 % u32::from(groups);
        u16::try_from(group).unwrap_or(0)
    }
}
