//! What a process may hold for its callers.

use std::sync::Arc;
use std::time::Duration;

use super::Section;
use crate::http::ByteBudget;
use crate::http::ReaderLimits;

/// When a caller that stops reading is disconnected, and what servers can hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemorySettings {
    /// Whether the bodies outstanding at servers are bounded; the option `pressure`
    /// enables it as well.
    pub is_enabled: bool,
    /// Time without a byte taken after which a caller is disconnected; 0.2 s to one
    /// hour.
    pub reader_timeout: Duration,
    /// Request bodies that a server without a stated capacity can hold, from all
    /// gateways together, in megabytes of 1e6 bytes.
    pub server_mb: u64,
}

impl MemorySettings {
    /// Reads the section `memory`.
    pub fn read(section: &mut Section) -> Self {
        Self {
            is_enabled: section.take("enabled", false),
            reader_timeout: Duration::from_millis(section.take_number(
                "reader_timeout_ms",
                // Several round trips of a mobile network that loses packets.
                10_000,
                200..=3_600_000,
            )),
            // Two fifths of the smallest host of a server, which has 160 MB.
            server_mb: section.take_number("server_mb", 64, 1..=1_000_000),
        }
    }

    /// Returns the limits on callers that read slowly.
    pub fn reader_limits(&self, budget: &Arc<ByteBudget>) -> ReaderLimits {
        ReaderLimits::new(self.reader_timeout, budget)
    }
}
