//! Follows the agent beside one engine: connects to it and requests its updates
//! until the observer ends this.

use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tarpc::context::Context;
use tokio::sync::watch;
use tokio::time::sleep;

use super::EngineUpdate;
use super::MeshClient;
use super::ObserveRequest;
use super::connect_mesh;
use crate::core::ServerName;
use crate::core::fleet::TargetVersion;

/// Timeout of a request for an update; the agent holds the response back for at
/// most half a second.
const OBSERVE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Delay before reconnecting to an agent.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);

/// Receives what is learned of one engine from its agent.
pub trait AgentObserver: Send + Sync {
    /// Returns the target versions, the engine's position among those that
    /// change weights, and their number.
    fn read_weights_fields(&self) -> (Vec<TargetVersion>, (u64, u64));

    /// Returns a receiver that changes when the agent should receive the fields
    /// above at once, and not only with the next request; `None` if that is
    /// never urgent.
    fn subscribe_urgent_changes(&self) -> Option<watch::Receiver<u64>>;

    /// Records that a connection to the agent is open.
    fn record_connected(&self, client: &MeshClient);

    /// Records that the connection has failed.
    fn record_disconnected(&self);

    /// Applies an update.
    fn apply_update(&self, update: EngineUpdate);
}

/// Follows an agent for as long as the returned future is polled.
pub async fn follow_agent(name: ServerName, agent: SocketAddr, observer: impl AgentObserver) {
    let mut request = ObserveRequest {
        incarnation: 0,
        known_update: 0,
        next_kv_change: 0,
        engine_run: name.to_string(),
        targets: Vec::new(),
        batch_position: (0, 1),
    };
    let mut is_lost = false;
    loop {
        let reason = match connect_mesh(agent).await {
            Ok(client) => {
                if is_lost {
                    log::info!("agents: regained server={name} agent={agent}");
                    is_lost = false;
                }
                observer.record_connected(&client);
                let reason = observe_until_failure(&observer, &client, &mut request).await;
                observer.record_disconnected();
                reason
            }
            Err(e) => e.to_string(),
        };
        if !is_lost {
            log::info!("agents: lost server={name} agent={agent} reason=\"{reason}\"");
            is_lost = true;
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Applies updates until the connection fails, and returns the reason.
async fn observe_until_failure(
    observer: &impl AgentObserver,
    client: &MeshClient,
    request: &mut ObserveRequest,
) -> String {
    let mut urgent_changes = observer.subscribe_urgent_changes();
    loop {
        if let Some(changes) = &mut urgent_changes {
            changes.mark_unchanged();
        }
        (request.targets, request.batch_position) = observer.read_weights_fields();
        let mut context: Context = tarpc::context::current();
        context.deadline = Instant::now() + OBSERVE_TIMEOUT;
        let response = tokio::select! {
            response = client.observe(context, request.clone()) => response,
            () = wait_for_change(&mut urgent_changes) => continue,
        };
        match response {
            Ok(Some(update)) => {
                request.incarnation = update.incarnation;
                request.known_update = update.sequence;
                request.next_kv_change = update.next_kv_change;
                observer.apply_update(update);
            }
            Ok(None) => return "the process has no engine".into(),
            Err(e) => return e.to_string(),
        }
    }
}

/// Waits for a change; forever if there is no receiver or its sender is gone.
async fn wait_for_change(changes: &mut Option<watch::Receiver<u64>>) {
    if let Some(changes) = changes
        && changes.changed().await.is_ok()
    {
        return;
    }
    pending().await
}
