//! Stand-in for the platform's key-value store. It implements range, put, txn,
//! deleterange, leases and watches of the JSON gateway of etcd v3: responses
//! leave out fields with default values, 64-bit numbers are strings, and keys
//! and values are base64.

mod counts;
mod faults;
mod handle;
mod lease;
mod state;
mod wire;

pub use counts::StoreCounts;
pub use faults::StoreFaults;
pub use handle::StoreHandle;
pub use handle::start_store;
