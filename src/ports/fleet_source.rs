//! Source of the configuration, target weights versions and backend server
//! records (members) of a fleet, in two areas.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

use super::PortError;
use crate::core::ServerName;
use crate::core::fleet::Configuration;
use crate::core::fleet::Member;
use crate::core::fleet::RolloutOrder;
use crate::core::fleet::TargetVersion;

/// Set of records of the source that is read and watched separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Area {
    /// Records that the operator writes: configuration and target weights
    /// versions.
    Operator,
    /// Records of backend servers.
    Members,
}

impl Area {
    /// All areas, ordered by [`Self::index`].
    pub const ALL: [Self; 2] = [Self::Operator, Self::Members];

    /// Index of the area in arrays that hold one element per area.
    pub fn index(self) -> usize {
        match self {
            Self::Operator => 0,
            Self::Members => 1,
        }
    }
}

/// Record that was read, changed or removed. A first read also yields the
/// records that have not changed.
#[derive(Debug, Clone, PartialEq)]
pub enum SourceChange {
    /// A configuration and the bytes that it was decoded from.
    Configuration(Arc<Configuration>, Bytes),
    /// Target weights version of a model.
    TargetVersion(TargetVersion),
    /// Order to move a service to a build.
    RolloutOrder(RolloutOrder),
    /// Record of a backend server, new or changed.
    MemberUpdated {
        /// The record.
        member: Member,
        /// Number of the write that left the record; it stays the same when the
        /// store is restored from a copy that has that write.
        write: u64,
    },
    /// The record of a backend server was removed.
    MemberRemoved(ServerName),
    /// Key of a record that cannot be decoded, and the problem.
    MalformedRecord(String, String),
    /// Name of a backend server whose record cannot be decoded, and the
    /// problem. The server must not be used, whatever its record held before.
    MalformedMember(ServerName, String),
}

/// Result of a read or a watch.
#[derive(Debug, Clone, PartialEq)]
pub struct SourceUpdate {
    /// Records that were read, changed or removed.
    pub changes: Vec<SourceChange>,
    /// Revision up to which `changes` is complete; the next watch continues
    /// from it.
    pub revision: u64,
    /// Highest revision among `changes`; 0 if there are none.
    pub newest_revision: u64,
}

/// Reads and watches the configuration, target weights versions and members of
/// a fleet.
pub trait FleetSource: Send + Sync {
    /// Reads all records of an area.
    fn read_all(&self, area: Area) -> BoxFuture<'_, Result<SourceUpdate, PortError>>;

    /// Waits for changes of an area after `revision`, for at most `wait`. The
    /// result is empty if there were none.
    fn watch(
        &self,
        area: Area,
        revision: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<SourceUpdate, PortError>>;

    /// Sends a small request to check that the source is reachable.
    fn ping(&self) -> BoxFuture<'_, Result<(), PortError>>;

    /// Returns whether `key`, of a malformed record, is that of an order to move a
    /// service to a build.
    fn is_rollout_order(&self, key: &str) -> bool;

    /// Decodes a configuration from the bytes that a peer passed on.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid configuration.
    fn decode_configuration(&self, bytes: &Bytes) -> Result<Configuration, PortError>;
}
