//! Open connections to the agents beside engines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::core::MonotonicTime;
use crate::core::ServerName;
use crate::core::fleet::BackendChoice;
use crate::mesh::AnnouncementReceiver;
use crate::mesh::MeshClient;
use crate::mesh::announce_call;

/// Minimum prefill time of a call that is announced. It is several times the
/// duration of an announcement; a shorter prefill delays other calls by less
/// than updates are late.
const MIN_ANNOUNCED_PREFILL: Duration = Duration::from_millis(40);

/// Open connections over which the agents beside engines are reached, by server
/// name.
#[derive(Debug, Default)]
pub struct AgentConnections {
    connections: Mutex<HashMap<ServerName, AgentConnection>>,
    /// Until when the processes at these addresses are not asked for holds.
    excluded_from_holds: Mutex<HashMap<SocketAddr, MonotonicTime>>,
}

/// Connection over which an agent is reached.
#[derive(Debug, Clone)]
pub struct AgentConnection {
    /// Address of the other end: the agent, or the collector that follows it.
    pub address: SocketAddr,
    /// Client over the connection.
    pub client: MeshClient,
    /// Which of them the other end is.
    pub receiver: AnnouncementReceiver,
}

impl AgentConnections {
    /// Adds the connection to a server's agent and replaces an earlier one.
    pub fn insert(&self, server: &ServerName, connection: AgentConnection) {
        self.lock().insert(server.clone(), connection);
    }

    /// Removes the connection to `address` if a server's agent is reached over
    /// it, and not already over another one.
    pub fn remove(&self, server: &ServerName, address: SocketAddr) {
        let mut connections = self.lock();
        if connections
            .get(server)
            .is_some_and(|connection| connection.address == address)
        {
            connections.remove(server);
        }
    }

    /// Returns a client for each open connection.
    pub fn list_clients(&self) -> Vec<MeshClient> {
        let connections = self.lock();
        let clients: HashMap<SocketAddr, MeshClient> = connections
            .values()
            .map(|connection| (connection.address, connection.client.clone()))
            .collect();
        clients.into_values().collect()
    }

    /// Returns the connection to a server's agent.
    pub fn find(&self, server: &ServerName) -> Option<AgentConnection> {
        self.lock().get(server).cloned()
    }

    /// Returns the connection over which a server's agent is asked for a hold on the
    /// engine's weights; `None` if it is excluded.
    pub fn find_for_holds(
        &self,
        server: &ServerName,
        now: MonotonicTime,
    ) -> Option<AgentConnection> {
        let connection = self.find(server)?;
        let excluded = self.lock_excluded();
        let until = excluded.get(&connection.address).copied();
        until.is_none_or(|until| until <= now).then_some(connection)
    }

    /// Excludes the process at an address from requests for holds.
    pub fn exclude_from_holds(&self, address: SocketAddr, until: MonotonicTime) {
        self.lock_excluded().insert(address, until);
    }

    fn lock_excluded(&self) -> MutexGuard<'_, HashMap<SocketAddr, MonotonicTime>> {
        self.excluded_from_holds
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Announces a call with a long prompt to the agent of its engine. The
    /// agent immediately tells the other entries, which would otherwise send
    /// calls that queue behind it.
    pub fn announce_call(&self, choice: &BackendChoice) {
        if choice.prefill_time < MIN_ANNOUNCED_PREFILL {
            return;
        }
        let Some(connection) = self.find(&choice.name) else {
            return;
        };
        announce_call(
            connection.client,
            connection.receiver,
            choice.name.clone(),
            choice.prefill_time,
        );
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServerName, AgentConnection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
