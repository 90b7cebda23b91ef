//! Chooses a server that can hold the body of a call besides those that are
//! outstanding there.

use std::time::Duration;

use super::call_progress::CallProgress;
use super::context::GatewayContext;
use super::read_call::Call;
use super::share_quarantine::digest_if_needed;
use crate::core::fleet::BackendChoice;
use crate::core::fleet::BackendKey;
use crate::core::fleet::DispatchError;
use crate::core::fleet::DispatchRequest;

/// Retry-After of a call that no server has room for, before jitter: other calls end
/// meanwhile.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Chooses the next server of a call, other than those it was sent to and those in
/// `avoid`. Servers that cannot hold its body are passed over, if the settings bound what
/// servers hold.
///
/// # Errors
///
/// The call must not be sent, or no server accepts it or has room for it.
pub fn choose_with_room(
    cx: &GatewayContext,
    call: &Call,
    progress: &CallProgress,
    avoid: &[BackendKey],
) -> Result<BackendChoice, DispatchError> {
    let digest = digest_if_needed(cx, call);
    let has_server_bounds = cx.settings.has_server_bounds();
    let now = cx.now();
    let mut excluded = [&progress.tried, avoid].concat();
    let mut has_passed_over = false;
    loop {
        let req = DispatchRequest {
            tried: &excluded,
            ..call.dispatch_request(progress)
        };
        // A call counts once for the rollout of its service.
        let is_first = progress.tried.is_empty() && !has_passed_over;
        let chosen = cx
            .lock()
            .choose_permitted(&req, &call.route.name, is_first, digest, now);
        let choice = match chosen {
            Err(_) if has_passed_over => {
                log::info!(
                    "memory: no server has room id={} bytes={} service={}",
                    call.id_text(),
                    call.body.len(),
                    call.service,
                );
                return Err(DispatchError::Overloaded(NO_ROOM_RETRY_AFTER));
            }
            Err(e) => return Err(e),
            Ok(choice) => choice,
        };
        if !has_server_bounds || has_room(cx, call, &choice) {
            return Ok(choice);
        }
        excluded.push(choice.key);
        has_passed_over = true;
    }
}

fn has_room(cx: &GatewayContext, call: &Call, choice: &BackendChoice) -> bool {
    let state = cx.lock();
    let services = state
        .route_table
        .as_ref()
        .map(|table| table.configuration());
    let service = services.and_then(|c| c.services.iter().find(|s| s.name == call.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    let capacity_tokens = engine.map(|engine| engine.capacity_tokens);
    let entries = state.quota.count_entries();
    drop(state);
    let bytes = call.body.len() as u64;
    cx.lock_server_bytes()
        .has_room(choice.key, bytes, capacity_tokens, entries)
}
