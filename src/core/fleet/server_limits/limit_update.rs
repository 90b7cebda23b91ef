//! What an entry tells others of the limits that servers have named.

use serde::Deserialize;
use serde::Serialize;

use super::LimitNotice;

/// What an entry tells others of limits. All of it may be repeated, lost and
/// reordered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Limits, of which some are new or were asked for.
    pub notices: Vec<LimitNotice>,
    /// Calls that the sender gets in a second; its share of each limit follows it.
    pub calls_per_s: u32,
}
