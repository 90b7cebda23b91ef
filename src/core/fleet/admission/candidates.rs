//! Servers that a call can be sent to, with predictions.

use std::fmt;

use super::StartEstimate;
use crate::core::fleet::BackendKey;

/// Servers that a call can be sent to, and how to predict its start there.
pub struct Candidates<'a> {
    /// Servers of the service.
    pub servers: &'a [BackendKey],
    /// Returns the best server other than those given, and `None` if no other takes the
    /// call.
    pub choose: &'a mut dyn FnMut(&[BackendKey]) -> Option<StartEstimate>,
}

impl fmt::Debug for Candidates<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Candidates")
            .field("servers", &self.servers)
            .finish_non_exhaustive()
    }
}
