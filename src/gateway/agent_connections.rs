//! Open connections to the agents beside engines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::core::ServerName;
use crate::core::fleet::BackendChoice;
use crate::mesh::MeshClient;

/// Minimum prefill time of a call that is announced. It is several times the
/// duration of an announcement; a shorter prefill delays other calls by less
/// than updates are late.
const MIN_ANNOUNCED_PREFILL: Duration = Duration::from_millis(40);

/// Timeout of an announcement; later it would be useless.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(300);

/// Open connections over which the agents beside engines are reached, by server
/// name.
#[derive(Debug, Default)]
pub struct AgentConnections {
    connections: Mutex<HashMap<ServerName, AgentConnection>>,
}

/// Connection over which an agent is reached.
#[derive(Debug, Clone)]
pub struct AgentConnection {
    /// Address of the other end: the agent, or the collector that follows it.
    pub address: SocketAddr,
    /// Client over the connection.
    pub client: MeshClient,
    /// Whether the other end is a collector.
    pub is_collector: bool,
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

    /// Announces a call with a long prompt to the agent of its engine. The
    /// agent immediately tells the other entries, which would otherwise send
    /// calls that queue behind it.
    pub fn announce_call(&self, choice: &BackendChoice) {
        if choice.prefill_time < MIN_ANNOUNCED_PREFILL {
            return;
        }
        let Some(connection) = self.lock().get(&choice.name).cloned() else {
            return;
        };
        let (prefill_time, server) = (choice.prefill_time, choice.name.clone());
        tokio::spawn(async move {
            let mut context = tarpc::context::current();
            context.deadline = Instant::now() + ANNOUNCE_TIMEOUT;
            let client = connection.client;
            let announced = if connection.is_collector {
                let server = server.clone();
                client
                    .forward_announcement(context, server, prefill_time)
                    .await
            } else {
                client.announce(context, prefill_time).await
            };
            if let Err(e) = announced {
                // The agent's updates fail as well, which is logged where they
                // are read.
                log::debug!("agents: not told of a call server={server} reason=\"{e}\"");
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServerName, AgentConnection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
