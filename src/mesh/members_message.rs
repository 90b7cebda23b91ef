//! Messages in which entries learn the list of backend servers from an entry
//! that reads the store.

use serde::Deserialize;
use serde::Serialize;

use crate::core::fleet::MemberChange;

/// Position up to which the sender knows the receiver's list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersCursor {
    /// Run of the entry whose list this is.
    pub incarnation: u64,
    /// Number of the next change of the list.
    pub next_number: u64,
}

/// Changes of an entry's list of backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersUpdate {
    /// Position after these changes.
    pub cursor: MembersCursor,
    /// Revision of the store up to which the list is complete.
    pub revision: u64,
    /// The changes since the position asked for; with `is_full_list`, all
    /// servers.
    pub changes: Vec<MemberChange>,
    /// `changes` lists all servers, not only the changes.
    pub is_full_list: bool,
}
