//! The entry that a message is about.

/// What a message says of the entry that it is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeardEntry<'a> {
    /// Name of the entry.
    pub name: &'a str,
    /// Run of the entry.
    pub incarnation: u64,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}
