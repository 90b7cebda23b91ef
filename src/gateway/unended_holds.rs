//! Holds on the weights of engines that agents still have to be told the end of.

use std::collections::VecDeque;
use std::mem::take;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::sleep;

use super::context::GatewayContext;
use crate::core::MonotonicTime;
use crate::core::fleet::WeightsHold;
use crate::mesh::release_hold;

/// Interval between checks for holds that can end.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of holds that are still to be ended. The oldest are left to end with
/// their version.
const MAX_UNENDED_HOLDS: usize = 4_096;

/// Hold that is still to be ended.
#[derive(Debug)]
pub struct UnendedHold {
    /// The hold, as the agent was asked for it.
    pub hold: WeightsHold,
    /// From when the call does not use the weights any more.
    pub ends_at: MonotonicTime,
}

/// Holds that are still to be ended.
#[derive(Debug, Default)]
pub struct UnendedHolds {
    holds: Mutex<VecDeque<UnendedHold>>,
}

impl UnendedHolds {
    /// Adds a hold, in place of the oldest one if there are too many.
    pub fn push(&self, hold: UnendedHold) {
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

/// Tells an agent of the end of a hold, which stays unended if that fails.
pub async fn end_hold(cx: Arc<GatewayContext>, unended: UnendedHold) {
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
