//! Settings of an entry's share in the rates of client accounts.

use std::time::Duration;

use super::Section;

/// How an entry gets its share in the rates of client accounts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareSettings {
    /// Whether this entry is the only one and so owns every rate whole. If two
    /// entries set this, each account gets twice its rate.
    pub is_only_entry: bool,
    /// Duration of the lease on a slot in the platform's store. After a store
    /// outage of this length, entries have no share of any rate. The slots of
    /// an entry that died stay unused for as long.
    pub slot_lease_ttl: Duration,
    /// Output tokens charged for a request that sets no limit on its output.
    pub default_output_tokens: u64,
}

impl ShareSettings {
    /// Reads the section `share`.
    pub fn read(section: &mut Section) -> Self {
        let lease = section.take_number("slot_lease_s", 3_600, 60..=86_400);
        Self {
            is_only_entry: section.take("sole", false),
            slot_lease_ttl: Duration::from_secs(lease),
            default_output_tokens: section.take_number("output_tokens", 256, 1..=1_000_000),
        }
    }
}
