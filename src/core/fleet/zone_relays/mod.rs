//! Decides which entries of different availability zones exchange their state
//! directly, and which ones through relays.

mod exchange;
mod exchange_plan;
mod heard_entry;
mod relay_choice;
mod relay_link;
mod relayed_usage;

pub use exchange::Exchange;
pub use exchange_plan::ExchangePlan;
pub use heard_entry::HeardEntry;
pub use relay_choice::MAX_DIRECT_ENTRIES;
pub use relay_choice::MAX_RELAYED_ENTRIES;
pub use relay_choice::ZoneRelays;
pub use relay_link::RelayLink;
pub use relayed_usage::RelayedUsage;
