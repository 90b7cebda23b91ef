//! Key of a backend server within one planner.

use slotmap::new_key_type;

new_key_type! {
    /// Key of a backend server within one planner. The key of a removed
    /// server never names another one.
    pub struct ServerKey;
}
