//! Key that identifies a backend server in the dispatcher's slot map.

use slotmap::new_key_type;

new_key_type! {
    /// Identifies a backend server in the dispatcher. The key of a removed
    /// server is not reused.
    pub struct BackendKey;
}
