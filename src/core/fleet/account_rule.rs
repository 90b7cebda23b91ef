//! One client account of a configuration.

use crate::core::AccountName;
use crate::core::KeyDigest;

/// One client account of a configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountRule {
    /// Name.
    pub name: AccountName,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Rank that goes before a route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Units refilled a second across the fleet; none for no limit.
    pub rate: Option<u64>,
    /// Units that may be used at once.
    pub burst: u64,
    /// Units are tokens; calls otherwise.
    pub counts_tokens: bool,
    /// Tokens that a call without a prompt counts as.
    pub tokens_per_plain_call: u64,
    /// Shares no cached prompt with other accounts.
    pub is_isolated: bool,
}
