//! Waits for a server that may have died silently.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::timeout_at;

use super::context::GatewayContext;
use crate::core::fleet::BackendKey;

/// Time between looks at whether the server still lives.
const LOOK_INTERVAL: Duration = Duration::from_millis(150);

/// Waits for `answer` until `until`, or, where the call may go elsewhere,
/// until the server is most likely dead. None if nothing came.
pub async fn wait_alive<T>(
    cx: &GatewayContext,
    server: BackendKey,
    may_leave: bool,
    until: Instant,
    answer: impl Future<Output = T>,
) -> Option<T> {
    let begun = Instant::now();
    let mut answer = pin!(answer);
    loop {
        let look = if may_leave {
            until.min(Instant::now() + LOOK_INTERVAL)
        } else {
            until
        };
        if let Ok(answer) = timeout_at(look, &mut answer).await {
            return Some(answer);
        }
        if Instant::now() >= until {
            return None;
        }
        let now = cx.now();
        if cx
            .lock()
            .dispatcher
            .is_suspected_dead(server, begun.elapsed(), now)
        {
            return None;
        }
    }
}
