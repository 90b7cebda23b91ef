//! Requests for holds on the weights of engines.

use std::time::Duration;
use std::time::Instant;

use tarpc::client::RpcError;
use tarpc::context::Context;

use super::MeshClient;
use crate::core::ServerName;
use crate::core::fleet::WeightsHold;

/// Timeout of a request for a hold. The call waits meanwhile.
const HOLD_TIMEOUT: Duration = Duration::from_millis(30);

/// Timeout of a message that ends a hold.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks for a hold. Returns whether it is granted; after an error, it may be.
pub async fn request_hold(client: &MeshClient, hold: WeightsHold) -> Result<bool, RpcError> {
    client
        .hold_weights(context_within(HOLD_TIMEOUT), hold)
        .await
}

/// Ends the hold `hold` on the weights of the engine `server`. Returns whether the other
/// process has received that.
pub async fn release_hold(client: &MeshClient, server: ServerName, hold: u64) -> bool {
    let context = context_within(RELEASE_TIMEOUT);
    client.release_weights(context, server, hold).await.is_ok()
}

fn context_within(timeout: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + timeout;
    context
}
