//! Open connections to the agents beside engines.

use std::collections::HashMap;
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

/// Open connections to the agents beside engines, by server name.
#[derive(Debug, Default)]
pub struct AgentConnections {
    clients: Mutex<HashMap<ServerName, MeshClient>>,
}

impl AgentConnections {
    /// Adds the connection to a server's agent and replaces an earlier one.
    pub fn insert(&self, server: &ServerName, client: MeshClient) {
        self.lock().insert(server.clone(), client);
    }

    /// Removes a connection that has closed.
    pub fn remove(&self, server: &ServerName) {
        self.lock().remove(server);
    }

    /// Announces a call with a long prompt to the agent of its engine. The
    /// agent immediately tells the other entries, which would otherwise send
    /// calls that queue behind it.
    pub fn announce_call(&self, choice: &BackendChoice) {
        if choice.prefill_time < MIN_ANNOUNCED_PREFILL {
            return;
        }
        let Some(client) = self.lock().get(&choice.name).cloned() else {
            return;
        };
        let (prefill_time, server) = (choice.prefill_time, choice.name.clone());
        tokio::spawn(async move {
            let mut context = tarpc::context::current();
            context.deadline = Instant::now() + ANNOUNCE_TIMEOUT;
            if let Err(e) = client.announce(context, prefill_time).await {
                // The agent's updates fail as well, which is logged where they
                // are read.
                log::debug!("agents: not told of a call server={server} reason=\"{e}\"");
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServerName, MeshClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
