//! Holds on the weights of engines that calls of this gateway get parts from.

use std::collections::VecDeque;
use std::mem::take;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tarpc::client::RpcError;
use tokio::time::sleep;

use super::context::GatewayContext;
use crate::core::MonotonicTime;
use crate::core::ServerName;
use crate::core::WeightsVersion;
use crate::core::fleet::ModelName;
use crate::core::fleet::WeightsHold;
use crate::mesh::release_hold;
use crate::mesh::request_hold;

/// Interval between checks for holds that can end.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of holds that are still to be ended. The oldest are left to end with
/// their version.
const MAX_UNENDED_HOLDS: usize = 4_096;

/// Time without requests to an agent that did not answer one in time.
const TIMEOUT_BACKOFF: Duration = Duration::from_millis(500);

/// Time without requests to an agent whose connection failed: one of an earlier release
/// closes it.
const FAILURE_BACKOFF: Duration = Duration::from_secs(10);

/// Time from when a call is given up to the end of its hold. Its connection is reset, so that
/// what the server's host has not taken is dropped, and the server drops the call.
const GIVEN_UP_TIME: Duration = Duration::from_millis(500);

/// Hold that is still to be ended.
#[derive(Debug)]
struct UnendedHold {
    hold: WeightsHold,
    /// From when the call certainly does not use the weights any more.
    ends_at: MonotonicTime,
}

/// Holds that are still to be ended.
#[derive(Debug, Default)]
pub struct UnendedHolds {
    holds: Mutex<VecDeque<UnendedHold>>,
}

impl UnendedHolds {
    fn push(&self, hold: UnendedHold) {
        let mut holds = self.lock();
        if holds.len() >= MAX_UNENDED_HOLDS {
            holds.pop_front();
        }
        holds.push_back(hold);
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<UnendedHold>> {
        self.holds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

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
        let connection = cx.agent_connections.find_for_holds(engine, cx.now())?;
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

/// Ends the holds of calls that were given up, and those of which an agent could not be told,
/// for as long as the gateway runs.
pub async fn end_holds(cx: Arc<GatewayContext>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = cx.now();
        let unended = take(&mut *cx.unended_holds.lock());
        for hold in unended.into_iter().filter(|hold| is_kept(&cx, &hold.hold)) {
            if hold.ends_at <= now {
                tokio::spawn(end_hold(Arc::clone(&cx), hold));
            } else {
                cx.unended_holds.push(hold);
            }
        }
    }
}

async fn end_hold(cx: Arc<GatewayContext>, unended: UnendedHold) {
    let engine = unended.hold.server.clone();
    let is_ended = match cx.agent_connections.find(&engine) {
        Some(connection) => release_hold(&connection.client, engine, unended.hold.id).await,
        None => false,
    };
    if !is_ended {
        cx.unended_holds.push(unended);
    }
}

/// Returns whether the agent of an engine may still have a hold. It drops all when the engine
/// serves other weights.
fn is_kept(cx: &GatewayContext, hold: &WeightsHold) -> bool {
    let now = cx.now();
    let state = cx.lock();
    let Some(view) = state.dispatcher.find_backend(&hold.server) else {
        return false;
    };
    let version = view.reported_version(&hold.model, now);
    version.is_none_or(|version| version <= hold.version)
}
