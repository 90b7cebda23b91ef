//! Interfaces to the systems around the program: the HTTP headers of callers
//! and backend servers, the source of configuration and members, engines that
//! accept orders, and feeds of cached prompt parts.
//!
//! An *area* is a set of records of the source that is read and watched
//! separately. A *member* is the record of a backend server.

mod dialect;
mod engine_client;
mod fleet_source;
mod follow_kv_cache_store;
mod forward_metadata;
mod kv_cache_feed;
mod order_claims;
mod port_error;
mod response_metadata;
mod rollout_records;

pub use dialect::Dialect;
pub use engine_client::EngineClient;
pub use engine_client::EngineReport;
pub use engine_client::WeightsOrder;
pub use fleet_source::Area;
pub use fleet_source::FleetSource;
pub use fleet_source::SourceChange;
pub use fleet_source::SourceUpdate;
pub use follow_kv_cache_store::KvCacheStoreEvent;
pub use follow_kv_cache_store::follow_kv_cache_store;
pub use forward_metadata::ForwardMetadata;
pub use kv_cache_feed::KvCacheChanges;
pub use kv_cache_feed::KvCacheFeed;
pub use order_claims::OrderClaims;
pub use port_error::PortError;
pub use response_metadata::ResponseMetadata;
pub use rollout_records::RolloutRecords;
pub use rollout_records::RolloutWrite;
pub use rollout_records::StoredRollout;
