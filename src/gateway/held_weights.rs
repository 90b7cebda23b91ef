//! Hold of one call of this gateway on the weights of the engine that it gets parts from.

use std::sync::Arc;
use std::time::Duration;

use tarpc::client::RpcError;

use super::context::GatewayContext;
use super::unended_holds::UnendedHold;
use super::unended_holds::end_hold;
use crate::core::ServerName;
use crate::core::WeightsVersion;
use crate::core::fleet::ModelName;
use crate::core::fleet::WeightsHold;
use crate::mesh::request_hold;

/// Time without requests to an agent that did not answer one in time.
const TIMEOUT_BACKOFF: Duration = Duration::from_millis(500);

/// Time without requests to an agent whose connection failed: one of an earlier release
/// closes it.
const FAILURE_BACKOFF: Duration = Duration::from_secs(10);

/// Time from when a call is given up to the end of its hold. Its connection is reset, so that
/// what the server's host has not taken is dropped, and the server drops the call.
const GIVEN_UP_TIME: Duration = Duration::from_millis(500);

/// Hold on an engine's weights, for one call. If it is dropped, the call was given up.
#[derive(Debug)]
pub struct HeldWeights {
    cx: Arc<GatewayContext>,
    hold: Option<WeightsHold>,
}

impl HeldWeights {
    /// Asks for a hold on the weights of an engine, for a call that is about to be sent.
    pub async fn request(
        cx: &Arc<GatewayContext>,
        engine: &ServerName,
        model: &ModelName,
        version: WeightsVersion,
    ) -> Option<Self> {
        let Some(connection) = cx.agent_connections.find_for_holds(engine, cx.now()) else {
            log::info!("weights: not held engine={engine} version={version} reason=\"no agent\"");
            return None;
        };
        let hold = WeightsHold {
            id: rand::random(),
            server: engine.clone(),
            model: model.clone(),
            version,
        };
        let reason = match request_hold(&connection.client, hold.clone()).await {
            Ok(true) => {
                return Some(Self {
                    cx: Arc::clone(cx),
                    hold: Some(hold),
                });
            }
            Ok(false) => "refused".into(),
            Err(e) => {
                let backoff = match e {
                    RpcError::DeadlineExceeded => TIMEOUT_BACKOFF,
                    _ => FAILURE_BACKOFF,
                };
                let until = cx.now() + backoff;
                cx.agent_connections
                    .exclude_from_holds(connection.address, until);
                e.to_string()
            }
        };
        log::info!(
            "weights: not held id={:x} engine={engine} version={version} reason=\"{reason}\"",
            hold.id
        );
        // The agent may have granted it, although no answer says so.
        let ends_at = cx.now();
        cx.unended_holds.push(UnendedHold { hold, ends_at });
        None
    }

    /// Ends the hold, since the call does not use the weights any more.
    pub fn release(mut self) {
        if let Some(hold) = self.hold.take() {
            let ends_at = self.cx.now();
            let unended = UnendedHold { hold, ends_at };
            tokio::spawn(end_hold(Arc::clone(&self.cx), unended));
        }
    }
}

impl Drop for HeldWeights {
    fn drop(&mut self) {
        if let Some(hold) = self.hold.take() {
            let ends_at = self.cx.now() + GIVEN_UP_TIME;
            self.cx.unended_holds.push(UnendedHold { hold, ends_at });
        }
    }
}
