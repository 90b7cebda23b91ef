//! Where configuration, wanted weights and members come from.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

use super::PortError;
use crate::core::ServerName;
use crate::core::fleet::Configuration;
use crate::core::fleet::Member;
use crate::core::fleet::TargetVersion;

/// A part of the source that is watched on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Area {
    /// What the operator writes: configuration and wanted weights.
    Operator,
    /// The records of backend servers.
    Members,
}

impl Area {
    /// All areas.
    pub const ALL: [Self; 2] = [Self::Operator, Self::Members];

    /// Place in tables by area.
    pub fn index(self) -> usize {
        match self {
            Self::Operator => 0,
            Self::Members => 1,
        }
    }
}

/// One record that was read or changed.
#[derive(Debug, Clone, PartialEq)]
pub enum SourceChange {
    /// A configuration, and the bytes it was read from.
    Configuration(Arc<Configuration>, Bytes),
    /// A wanted weights version.
    TargetVersion(TargetVersion),
    /// A backend server's record.
    MemberUpdated(Member),
    /// A backend server's record is gone.
    MemberRemoved(ServerName),
    /// A record that cannot be read; names the record and the problem.
    MalformedRecord(String, String),
    /// A backend server's record that cannot be read, with the problem: it
    /// names no server to use, whatever it held before.
    MalformedMember(ServerName, String),
}

/// What a read or watch brought.
#[derive(Debug, Clone, PartialEq)]
pub struct SourceUpdate {
    /// The records.
    pub changes: Vec<SourceChange>,
    /// Revision up to which they are complete.
    pub revision: u64,
    /// Revision of the newest record among them; zero without one.
    pub newest_revision: u64,
}

/// Where configuration, wanted weights and members come from.
pub trait FleetSource: Send + Sync {
    /// Reads every record of an area.
    fn read_all(&self, area: Area) -> BoxFuture<'_, Result<SourceUpdate, PortError>>;

    /// Waits for changes of an area after `revision`, for at most `wait`.
    fn watch(
        &self,
        area: Area,
        revision: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<SourceUpdate, PortError>>;

    /// Asks for a cheap answer, to tell whether the source is within reach.
    fn ping(&self) -> BoxFuture<'_, Result<(), PortError>>;

    /// Reads a configuration from the bytes that a peer passed on.
    ///
    /// # Errors
    ///
    /// The bytes are no configuration.
    fn read_configuration(&self, bytes: &Bytes) -> Result<Configuration, PortError>;
}
