//! Key of a backend server in a planner.

use slotmap::new_key_type;

new_key_type! {
    /// Key of a backend server in a planner. The key of a removed server is
    /// never reused.
    pub struct ServerKey;
}
