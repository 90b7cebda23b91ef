//! Stand-in for the platform's key-value store, in the shape of the JSON
//! gateway of etcd v3: range, put, txn, deleterange, leases and watches.
//! Fields that hold their default value are left out of answers, 64-bit
//! numbers are strings, keys and values are base64.

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
