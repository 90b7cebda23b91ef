//! A client account.

use slotmap::new_key_type;

use crate::core::AccountName;
use crate::core::CacheSalt;

new_key_type! {
    /// Key of an account within one rule set.
    pub struct AccountKey;
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name of the account.
    pub name: AccountName,
    /// Tokens a second that the account may use across the fleet.
    pub rate: u64,
    /// Tokens that the account may use at once after a quiet time.
    pub burst: u64,
    /// Share of a busy server, relative to other accounts.
    pub weight: u32,
    /// Separates the account's cache entries from all others.
    pub cache_salt: CacheSalt,
}
