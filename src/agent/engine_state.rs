//! Polls the state that the engine reports: its incarnation, weights and role.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::header::HOST;
use tokio::time::sleep;

use super::AgentContext;
use crate::core::order::ServerState;
use crate::http::Client;
use crate::http::empty_body;

const STATE_PATH: &str = "/state";
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(200);
const MAX_STATE_BYTES: usize = 65_536;

/// Fetches the engine's state every [`STATE_POLL_INTERVAL`] for as long as the
/// agent runs.
pub async fn poll_engine_state(cx: Arc<AgentContext>) {
    let client = Client::new(cx.settings.traffic.client_timeouts());
    loop {
        refresh_engine_state(&cx, &client).await;
        sleep(STATE_POLL_INTERVAL).await;
    }
}

/// Fetches the engine's state, stores it in the context and returns it. Returns
/// `None` and keeps the stored state if the engine sent no valid one.
pub async fn refresh_engine_state(cx: &AgentContext, client: &Client) -> Option<ServerState> {
    let address = cx.settings.server;
    let request = Request::get(STATE_PATH)
        .header(HOST, address.to_string())
        .body(empty_body())
        .ok()?;
    let mut exchange = client.send(address, request).await.ok()?;
    let body = exchange.read_rest(MAX_STATE_BYTES).await.ok()?;
    let state: ServerState = serde_json::from_slice(&body).ok()?;
    cx.set_engine_state(state.clone());
    Some(state)
}
