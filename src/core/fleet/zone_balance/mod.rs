//! Decides which share of a zone's calls goes to servers of other availability zones.

mod balance_input;
mod service_balance;
mod service_zones;

pub use balance_input::BalanceInput;
pub use balance_input::ZoneLoad;
pub use service_balance::ServiceBalance;
pub use service_zones::ServiceZones;
