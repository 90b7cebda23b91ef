//! Routes, services and accounts that the operator configures.

mod account_rule;
mod fleet_configuration;
mod route_rule;
mod route_table;
mod service_rule;

pub use account_rule::AccountRule;
pub use fleet_configuration::CallerLimits;
pub use fleet_configuration::Configuration;
pub use route_rule::RouteRule;
pub use route_rule::WeightedService;
pub use route_table::RouteTable;
pub use service_rule::EngineRule;
pub use service_rule::KvCacheStore;
pub use service_rule::ServiceRule;
