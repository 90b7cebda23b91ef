//! Key of a backend server in the table of this process.

use slotmap::new_key_type;

new_key_type! {
    /// Key of a backend server in the table of this process.
    pub struct BackendKey;
}
