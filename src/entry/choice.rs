//! A server chosen for an attempt.

use std::net::SocketAddr;
use std::sync::Arc;

use super::Servers;
use crate::core::ResponseReport;
use crate::core::ServerName;
use crate::core::placement::PromptPrefix;
use crate::core::placement::ServerKey;
use crate::core::retry::AttemptFailure;

/// A server chosen for an attempt, which counts there until the choice is
/// dropped.
#[derive(Debug)]
pub struct Choice {
    /// Name of the server.
    pub name: ServerName,
    /// Traffic address of its agent.
    pub address: SocketAddr,
    /// Latest report of its agent, if one came.
    pub report: Option<ResponseReport>,
    pub(super) key: ServerKey,
    pub(super) prefix: Option<Arc<PromptPrefix>>,
    pub(super) servers: Arc<Servers>,
}

impl Choice {
    /// Takes note that the attempt failed.
    pub fn note_failure(&self, failure: AttemptFailure) {
        self.servers.note_failure(self, failure);
    }
}

impl Drop for Choice {
    fn drop(&mut self) {
        self.servers.end(self.key);
    }
}
