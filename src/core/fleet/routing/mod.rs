//! Chooses the backend server of a call, from predicted times and cached prompt parts.

mod backend_key;
mod backend_load;
mod backend_view;
mod balance_zones;
mod cache_isolation;
mod cached_parts;
mod call_costs;
mod dispatcher;
mod fetch_plan;
mod kv_cache_stores;
mod observe_speed;
mod part_table;
mod prefill_queue;
mod prefill_time_factor;
mod record_use;
mod server_pace;
mod versioned_salt;

pub use backend_key::BackendKey;
pub use backend_load::ReportedLoad;
pub use backend_view::AgentReport;
pub use backend_view::BackendView;
pub use balance_zones::ZoneShare;
pub use cache_isolation::CacheIsolation;
pub use cached_parts::CachedPartChange;
pub use cached_parts::CachedParts;
pub use dispatcher::BackendChoice;
pub use dispatcher::DispatchError;
pub use dispatcher::DispatchRequest;
pub use dispatcher::Dispatcher;
pub(super) use kv_cache_stores::hash_address;
pub use observe_speed::SpeedChange;
pub(super) use part_table::PartTable;
pub use prefill_queue::PrefillQueue;
pub use record_use::RecordUse;
pub use versioned_salt::VersionedSalt;
