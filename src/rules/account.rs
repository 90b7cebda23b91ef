//! Rule of a client account.

use slotmap::new_key_type;

use crate::core::AccountName;
use crate::core::CacheSalt;

new_key_type! {
    /// Slot of an account in its [`RuleSet`](super::RuleSet); not valid in another
    /// rule set.
    pub struct AccountKey;
}

/// Client account with its rate limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name of the account, unique in the rule set.
    pub name: AccountName,
    /// Tokens per second that the account may use across the fleet (the rate of its
    /// token bucket).
    pub rate: u64,
    /// Tokens that the account may use in one burst after an idle time (the
    /// capacity of its token bucket).
    pub burst: u64,
    /// Weight of the account when accounts share a busy backend server, from 1 to
    /// 1,000.
    pub weight: u32,
    /// Salt that separates the account's prefix-cache entries from those of other
    /// accounts.
    pub cache_salt: CacheSalt,
}
