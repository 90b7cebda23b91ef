//! Applies a rollout to calls: which builds they may run at, and what comes of them.

use super::attempt::AttemptOutcome;
use super::attempt::InFlightGuard;
use super::context::GatewayContext;
use super::read_call::Call;
use super::state::GatewayState;
use crate::core::MonotonicTime;
use crate::core::fleet::BackendChoice;
use crate::core::fleet::BuildFilter;
use crate::core::fleet::CallDigest;
use crate::core::fleet::DispatchError;
use crate::core::fleet::DispatchRequest;

impl GatewayState {
    /// Chooses the server of a call on a route like [`Self::choose_server`], among the
    /// builds that the rollout of its service permits, and counts the choice as a send.
    /// `is_first` tells that the call was sent to no server yet.
    ///
    /// # Errors
    ///
    /// The call must not be sent, or no server accepts it.
    pub fn choose_permitted(
        &mut self,
        req: &DispatchRequest<'_>,
        route: &str,
        is_first: bool,
        digest: Option<CallDigest>,
        now: MonotonicTime,
    ) -> Result<BackendChoice, DispatchError> {
        let Some(rollout) = self.rollouts.find(req.service) else {
            return self.choose_server(req, digest, now);
        };
        let builds = rollout.permit(route, is_first, req.build, now);
        let fallback = self.find_fallback(req, &builds);
        let restrict = |builds| DispatchRequest { builds, ..*req };
        let mut chosen = self.choose_server(&restrict(builds), digest, now);
        if let Some(builds) = fallback
            && is_lack_of_servers(&chosen)
        {
            chosen = self.choose_server(&restrict(builds), digest, now);
        }
        if let Ok(choice) = &chosen
            && let Some(rollout) = self.rollouts.find_mut(req.service)
        {
            // A call that is refused does not reach the service.
            if is_first {
                rollout.record_request(route);
            }
            rollout.record_send(route, &choice.build);
        }
        chosen
    }

    /// Returns the builds at which a call may run if no server of `builds` accepts it.
    fn find_fallback(
        &self,
        req: &DispatchRequest<'_>,
        builds: &BuildFilter,
    ) -> Option<BuildFilter> {
        let rollout = self.rollouts.find(req.service)?;
        if !rollout.allows_fallback() || req.build.is_some() {
            return None;
        }
        let others = rollout.other_builds();
        if *builds != others {
            return Some(others);
        }
        // Only the target is left: it has completed before this entry knew of the order,
        // or the operator has ordered the service back to its old build.
        let may_be_old = rollout.needs_record() || !rollout.given_up().is_empty();
        let mut views = self.dispatcher.list_service_backends(req.service);
        let has_others = views.any(|view| others.allows(&view.member.build));
        let target = rollout.order().target.clone();
        (may_be_old && !has_others).then_some(BuildFilter::Only(target))
    }
}

fn is_lack_of_servers(chosen: &Result<BackendChoice, DispatchError>) -> bool {
    matches!(
        chosen,
        Err(DispatchError::NoServer(_)
            | DispatchError::Paused(_)
            | DispatchError::Limited(_)
            | DispatchError::Overloaded(_))
    )
}

/// Counts the outcome of an attempt for the rollout of its service. A stream is counted
/// by [`record_first_event`] and [`record_end`].
pub fn record_outcome(
    cx: &GatewayContext,
    call: &Call,
    choice: &BackendChoice,
    sent_at: MonotonicTime,
    outcome: &AttemptOutcome,
) {
    let elapsed = cx.now().since(sent_at);
    let mut state = cx.lock();
    let Some(rollout) = state.rollouts.find_mut(&call.service) else {
        return;
    };
    let (route, build) = (call.route.name.as_str(), &choice.build);
    match outcome {
        AttemptOutcome::Answered(response) => {
            rollout.record_time(route, build, elapsed);
            rollout.record_end(route, build, response.status.is_server_error());
        }
        AttemptOutcome::Unknown(_) => rollout.record_end(route, build, true),
        AttemptOutcome::Streaming(_) | AttemptOutcome::NotRun(_) => {}
    }
}

/// Counts the time to the first event of a stream.
pub fn record_first_event(cx: &GatewayContext, call: &Call, in_flight: &InFlightGuard) {
    let elapsed = cx.now().since(in_flight.sent_at());
    let mut state = cx.lock();
    if let Some(rollout) = state.rollouts.find_mut(&call.service) {
        rollout.record_time(&call.route.name, &in_flight.choice().build, elapsed);
    }
}

/// Counts the end of a stream at a server.
pub fn record_end(cx: &GatewayContext, call: &Call, choice: &BackendChoice, is_failure: bool) {
    let mut state = cx.lock();
    if let Some(rollout) = state.rollouts.find_mut(&call.service) {
        rollout.record_end(&call.route.name, &choice.build, is_failure);
    }
}
