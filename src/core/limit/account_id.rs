//! Short identity of a client account in messages between entries.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::AccountName;

/// Short identity of a client account in messages between entries: 32 bits
/// of the hash of its name. The rules parser refuses two names that share one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountId(pub u32);

impl AccountId {
    /// Returns the identity of the account with this name.
    pub fn from_name(name: &AccountName) -> Self {
        let hash = xxh3_64(name.as_str().as_bytes());
        Self((hash >> 32) as u32)
    }

    /// Returns the group of the account, of `groups` in all.
    pub fn group(self, groups: u16) -> u16 {
        let group = self.0 % u32::from(groups);
        u16::try_from(group).unwrap_or(0)
    }
}
