//! Call under which servers have crashed, and that is to be sent.

use super::CallDigest;

/// Servers that a service must have for a call under which one has crashed: one for the
/// call, one for the same call at another entry, and one that is left to all others.
const MIN_USABLE_SERVERS: usize = 3;

/// The same as a fraction of a larger service: one in so many of its servers.
const MIN_USABLE_DIVISOR: usize = 4;

/// Call that is to be sent, and the servers that could be lost to it.
#[derive(Debug, Clone, Copy)]
pub struct TrialRequest {
    /// The call.
    pub call: CallDigest,
    /// Whether it was sent to a server before.
    pub is_resend: bool,
    /// Servers of its service that accept calls and are not known to have crashed.
    pub usable_servers: usize,
    /// Listed servers of its service that are known to have crashed.
    pub crashed_servers: usize,
}

impl TrialRequest {
    /// Returns whether the service has too few servers for calls under which some have
    /// crashed.
    pub fn has_few_servers(&self) -> bool {
        let total = self.usable_servers + self.crashed_servers;
        self.usable_servers < MIN_USABLE_SERVERS.max(total / MIN_USABLE_DIVISOR)
    }
}
