//! Holds accounts to their rates over all entries together.

mod fleet_quota;
mod peer_usage;
mod relayed_outcome;
mod token_bucket;

pub use fleet_quota::FleetQuota;
pub use peer_usage::PeerUsage;
pub use peer_usage::UsageCursor;
pub use peer_usage::UsageQuery;
pub use relayed_outcome::RelayedOutcome;
pub(super) use token_bucket::TokenBucket;
