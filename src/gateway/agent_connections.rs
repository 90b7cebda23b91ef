//! Connections to the agents beside engines.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::core::ServerName;
use crate::core::fleet::BackendChoice;
use crate::mesh::MeshClient;

/// Time to read a prompt from which on its call is announced: several times
/// what an announcement takes. Shorter ones hold up others by less than news
/// are late.
const MIN_ANNOUNCED_PREFILL: Duration = Duration::from_millis(40);

/// Time after which an announcement is void.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(300);

/// Connections to the agents beside engines, while they hold.
#[derive(Debug, Default)]
pub struct AgentConnections {
    clients: Mutex<HashMap<ServerName, MeshClient>>,
}

impl AgentConnections {
    /// Takes over a connection.
    pub fn insert(&self, server: &ServerName, client: MeshClient) {
        self.lock().insert(server.clone(), client);
    }

    /// Forgets a connection that has ended.
    pub fn remove(&self, server: &ServerName) {
        self.lock().remove(server);
    }

    /// Announces a call with a long prompt to the agent of its engine, which
    /// tells the other entries at once: they would send theirs behind it.
    pub fn announce_call(&self, choice: &BackendChoice) {
        if choice.prefill_time < MIN_ANNOUNCED_PREFILL {
            return;
        }
        let Some(client) = self.lock().get(&choice.name).cloned() else {
            return;
        };
        let (reading, server) = (choice.prefill_time, choice.name.clone());
        tokio::spawn(async move {
            let mut context = tarpc::context::current();
            context.deadline = Instant::now() + ANNOUNCE_TIMEOUT;
            if let Err(e) = client.announce(context, reading).await {
                // The agent's news will be lost too, which is logged there.
                log::debug!("agents: not told of a call server={server} reason=\"{e}\"");
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServerName, MeshClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
