//! Clients of the platform's key-value store and host list. The store speaks the
//! JSON form of the etcd v3 API (its gRPC gateway). A store *revision* is its
//! count of writes; every key carries the revisions of its creation and its last
//! write.

mod blocking_store;
mod compare;
mod host;
mod host_list;
mod key_value;
mod lease_id;
mod operation;
mod store;
mod store_error;
mod txn;
mod watch;
mod wire;

pub use blocking_store::BlockingStore;
pub use compare::Compare;
pub use host::Host;
pub use host::HostRole;
pub use host::HostState;
pub use host_list::HostList;
pub use key_value::KeyValue;
pub use lease_id::LeaseId;
pub use operation::KeyRange;
pub use operation::Operation;
pub use store::Store;
pub use store_error::StoreError;
pub use txn::Txn;
pub use txn::TxnResponse;
pub use watch::Change;
pub use watch::Watch;
pub use watch::WatchError;
