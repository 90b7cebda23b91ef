//! This entry's part in the rates of client accounts.

use std::time::Duration;

use super::Section;

/// This entry's part in the rates of client accounts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareSettings {
    /// This entry is the only one, and so owns all rates whole. Where two
    /// entries say so, each account gets its rate twice.
    pub is_only_entry: bool,
    /// Life of a slot's lease in the platform's store. After an outage of the
    /// store of this length entries have no share of any rate; the slots of
    /// an entry that died are out of use for as long.
    pub slot_lease_ttl: Duration,
    /// Output tokens charged for a request that names no most.
    pub default_output_tokens: u64,
}

impl ShareSettings {
    /// Reads the section.
    pub fn read(section: &mut Section) -> Self {
        let lease = section.take_number("slot_lease_s", 3_600, 60..=86_400);
        Self {
            is_only_entry: section.take("sole", false),
            slot_lease_ttl: Duration::from_secs(lease),
            default_output_tokens: section.take_number("output_tokens", 256, 1..=1_000_000),
        }
    }
}
