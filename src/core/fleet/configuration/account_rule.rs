//! Configured rate limit, priority and cache isolation of a client account.

use crate::core::AccountName;
use crate::core::KeyDigest;

/// Settings of one client account.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountRule {
    /// Account name; identifies the account in quota exchanges and logs.
    pub name: AccountName,
    /// Digests of the API keys that authenticate the account.
    pub keys: Vec<KeyDigest>,
    /// Priority of its calls, which overrides that of the route; 0 is the most
    /// urgent.
    pub priority: Option<u8>,
    /// Units refilled per second, for the whole fleet; `None` means unlimited.
    pub rate: Option<u64>,
    /// Capacity of the account's token bucket, in units.
    pub burst: u64,
    /// Whether a unit is one token; otherwise a unit is one call.
    pub counts_tokens: bool,
    /// Tokens charged for a call without a prompt.
    pub tokens_per_plain_call: u64,
    /// Whether its cached prompt parts are separate from those of other
    /// accounts.
    pub is_isolated: bool,
}
