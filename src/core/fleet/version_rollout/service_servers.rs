//! What an entry knows of the servers of a service under rollout.

/// Servers of a service by build.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceServers {
    /// Servers of the new build that accept calls.
    pub new_accepting: u32,
    /// Listed servers of other builds, given-up targets excluded.
    pub old_listed: u32,
    /// Calls that the old servers state to run, given-up targets included; `None` if
    /// one of them has not said so since the entries closed them.
    pub old_running: Option<u32>,
}
