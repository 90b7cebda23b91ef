//! Waits for a server's response while checking that the server is alive, since
//! a server may die without closing its connections.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::timeout_at;

use super::context::GatewayContext;
use crate::core::fleet::BackendKey;

/// Interval between liveness checks of a server.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Waits for `response` until `deadline` or, with `may_run_again`, until the
/// server is suspected dead. Returns `None` if nothing arrived.
pub async fn wait_while_alive<T>(
    cx: &GatewayContext,
    server: BackendKey,
    may_run_again: bool,
    deadline: Instant,
    response: impl Future<Output = T>,
) -> Option<T> {
    let waiting_since = Instant::now();
    let mut response = pin!(response);
    loop {
        let check_at = if may_run_again {
            deadline.min(Instant::now() + LIVENESS_CHECK_INTERVAL)
        } else {
            deadline
        };
        if let Ok(response) = timeout_at(check_at, &mut response).await {
            return Some(response);
        }
        if Instant::now() >= deadline {
            return None;
        }
        let now = cx.now();
        if cx
            .lock()
            .dispatcher
            .is_suspected_dead(server, waiting_since.elapsed(), now)
        {
            return None;
        }
    }
}
