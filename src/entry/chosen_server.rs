//! A server chosen for an attempt.

use std::net::SocketAddr;
use std::sync::Arc;

use super::ServerTable;
use crate::core::Report;
use crate::core::ServerName;
use crate::core::placement::PromptPrefix;
use crate::core::placement::ServerKey;
use crate::core::retry::AttemptFailure;

/// A server chosen for an attempt, which counts there until the choice is
/// dropped.
#[derive(Debug)]
pub struct ChosenServer {
    /// Name of the server.
    pub name: ServerName,
    /// Traffic address of its agent.
    pub address: SocketAddr,
    /// Latest report of its agent, if one came.
    pub report: Option<Report>,
    pub(super) server_key: ServerKey,
    pub(super) prompt_prefix: Option<Arc<PromptPrefix>>,
    pub(super) table: Arc<ServerTable>,
}

impl ChosenServer {
    /// Takes note that the attempt failed.
    pub fn record_failure(&self, failure: AttemptFailure) {
        self.table.record_failure(self, failure);
    }
}

impl Drop for ChosenServer {
    fn drop(&mut self) {
        self.table.release(self.server_key);
    }
}
