//! The backend server that an attempt is sent to.

use std::net::SocketAddr;
use std::sync::Arc;

use super::ServerTable;
use crate::core::ResponseReport;
use crate::core::ServerName;
use crate::core::placement::PromptPrefix;
use crate::core::placement::ServerKey;
use crate::core::retry::AttemptFailure;

/// The backend server that an attempt is sent to. The attempt counts as
/// in flight at the server until this value is dropped.
#[derive(Debug)]
pub struct ChosenServer {
    /// Server name, unique in the fleet.
    pub name: ServerName,
    /// Traffic address of the server's agent.
    pub address: SocketAddr,
    /// Latest report of the server's agent; `None` before the first one.
    pub report: Option<ResponseReport>,
    pub(super) server_key: ServerKey,
    pub(super) prompt_prefix: Option<Arc<PromptPrefix>>,
    pub(super) table: Arc<ServerTable>,
}

impl ChosenServer {
    /// Tells the server table that the attempt failed, so that later choices
    /// account for it.
    pub fn record_failure(&self, failure: AttemptFailure) {
        self.table.record_failure(self, failure);
    }
}

impl Drop for ChosenServer {
    fn drop(&mut self) {
        self.table.release(self.server_key);
    }
}
