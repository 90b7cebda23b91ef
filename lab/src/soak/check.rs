//! Checks the guarantees of a gateway against what callers and backend servers
//! observed during a soak.

use std::collections::HashMap;

use serde::Serialize;

use super::ObservedRollout;
use crate::platform_stand_in::EVENTS_PER_STREAM;
use crate::platform_stand_in::encode_event;

/// Most runs of an idempotent call: the `max_attempts` of the routes.
const MAX_IDEMPOTENT_RUNS: u32 = 2;

/// Kind of a call, which decides how often it may run and what a success must
/// hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum CallKind {
    /// May run at most once.
    #[serde(rename = "Once")]
    NonIdempotent,
    /// May be retried.
    #[serde(rename = "Repeatable")]
    Idempotent,
    /// Stream that may be resumed on another server.
    #[serde(rename = "Stream")]
    ResumableStream,
    /// Stream that may not be resumed, and may run at most once.
    #[serde(rename = "WholeStream")]
    NonResumableStream,
    /// Idempotent call of a route that exists from this configuration version on.
    /// Shows whether the version is in force.
    Probe(u64),
}

/// What a caller observed of one call.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Request id. The server that runs the call writes it into the response body.
    pub id: String,
    /// Kind of the call.
    pub kind: CallKind,
    /// Index of the gateway, and its start count when the caller connected.
    pub gateway: (usize, u32),
    /// Times at which the call was sent and at which its response ended, in
    /// milliseconds since the start of the soak.
    pub span_ms: (u64, u64),
    /// HTTP status, or zero without a response.
    pub status: u16,
    /// Body as far as it arrived.
    pub body: String,
    /// Whether the response ended as its head announced.
    pub is_complete: bool,
}

/// Everything observed during a soak.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    /// Calls of all callers.
    pub calls: Vec<CallRecord>,
    /// Request ids of the calls that servers ran, once for each run.
    pub runs: Vec<String>,
    /// Number of requests that reached a server with the API key of a caller.
    pub forwarded_keys: u32,
    /// Gateways that did not serve again after the last fault ended.
    pub not_recovered: Vec<usize>,
    /// Gateways and the times, in milliseconds since the start of the soak, in
    /// which they drained and restarted while no other fault was active.
    pub undisturbed_drains: Vec<(usize, (u64, u64))>,
    /// Time, in milliseconds since the start of the soak, in which servers stood still and
    /// went on, and turned repeats away, while no other fault was active.
    pub undisturbed_freezes: Option<(u64, u64)>,
    /// The rollout that was ordered, if one was.
    pub rollout: Option<ObservedRollout>,
}

/// Violation of a guarantee, with the request id of the call that shows it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Violation {
    /// A call ran more often than its kind allows.
    RanTooOften(String),
    /// A call ran although its status says that it did not.
    FalseRefusal(String),
    /// The body of a success is not the one expected, or not a prefix of it where
    /// the response was cut off.
    #[serde(rename = "WrongAnswer")]
    WrongResponse(String),
    /// A server ran a call that no caller sent.
    #[serde(rename = "Unasked")]
    UnknownRun(String),
    /// A server received the API key of a caller.
    #[serde(rename = "KeyPassed")]
    ClientKeyForwarded,
    /// A gateway process went back to an older configuration.
    #[serde(rename = "WentBack")]
    ConfigurationRolledBack(String),
    /// A call that a server ran got no response from a gateway that drained while
    /// no other fault was active.
    CutByDrain(String),
    /// A call that a server ran got no whole response, although its server only stood
    /// still for a time and no other fault was active.
    CutBySilence(String),
    /// The gateway with this index did not serve again after the last fault.
    #[serde(rename = "NotBack")]
    GatewayNotRecovered(usize),
    /// A rollout did not end, went back, or sent too many calls to a bad build.
    Rollout(String),
}

/// Returns all violations in the observations, in the order of [`Violation`].
pub fn check_guarantees(observations: &Observations) -> Vec<Violation> {
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for id in &observations.runs {
        *runs.entry(id).or_default() += 1;
    }
    let mut violations: Vec<Violation> = observations
        .not_recovered
        .iter()
        .copied()
        .map(Violation::GatewayNotRecovered)
        .collect();
    if observations.forwarded_keys > 0 {
        violations.push(Violation::ClientKeyForwarded);
    }
    for call in &observations.calls {
        let count = runs.remove(call.id.as_str()).unwrap_or(0);
        violations.extend(find_call_violations(
            call,
            count,
            &observations.undisturbed_drains,
        ));
        violations.extend(find_cut_by_silence(
            call,
            count,
            observations.undisturbed_freezes,
        ));
    }
    // The runs that remain belong to no call.
    violations.extend(
        runs.keys()
            .map(|id| Violation::UnknownRun((*id).to_owned())),
    );
    let rollout = observations.rollout.iter();
    violations.extend(
        rollout
            .filter_map(ObservedRollout::find_problem)
            .map(Violation::Rollout),
    );
    violations.extend(find_configuration_rollbacks(&observations.calls));
    violations.sort();
    violations
}

fn find_call_violations(
    call: &CallRecord,
    runs: u32,
    drains: &[(usize, (u64, u64))],
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let id = || call.id.clone();
    let max_runs = match call.kind {
        CallKind::NonIdempotent | CallKind::NonResumableStream => 1,
        CallKind::Idempotent | CallKind::ResumableStream | CallKind::Probe(_) => {
            MAX_IDEMPOTENT_RUNS
        }
    };
    if runs > max_runs {
        violations.push(Violation::RanTooOften(id()));
    }
    let is_refused = matches!(call.status, 401 | 404 | 408 | 421 | 429 | 503);
    if is_refused && runs > 0 {
        violations.push(Violation::FalseRefusal(id()));
    }
    if !is_correct_response(call) {
        violations.push(Violation::WrongResponse(id()));
    }
    let is_within_drain = drains.iter().any(|(gateway, span)| {
        *gateway == call.gateway.0 && span.0 <= call.span_ms.0 && call.span_ms.1 <= span.1
    });
    if is_within_drain && call.status == 0 && runs > 0 {
        violations.push(Violation::CutByDrain(id()));
    }
    violations
}

/// A call that began and ended while servers only stood still must end whole.
fn find_cut_by_silence(
    call: &CallRecord,
    runs: u32,
    freezes: Option<(u64, u64)>,
) -> Option<Violation> {
    let is_within = freezes.is_some_and(|(from, to)| {
        let (sent_at, ended_at) = call.span_ms;
        from <= sent_at && ended_at <= to
    });
    let is_cut = !call.is_complete || matches!(call.status, 502 | 504);
    (is_within && is_cut && runs > 0).then(|| Violation::CutBySilence(call.id.clone()))
}

/// Tells whether the body of a success is the expected one, or a prefix of it if
/// the response was cut off. All other statuses pass.
fn is_correct_response(call: &CallRecord) -> bool {
    if call.status != 200 {
        return true;
    }
    match call.kind {
        CallKind::ResumableStream | CallKind::NonResumableStream => {
            let expected: String = (1..=EVENTS_PER_STREAM)
                .map(|number| encode_event(&call.id, number))
                .collect();
            if call.is_complete {
                call.body == expected
            } else {
                expected.starts_with(&call.body)
            }
        }
        _ if call.is_complete => call.body == call.id,
        _ => call.id.starts_with(&call.body),
    }
}

/// Finds probes that a gateway process answered with 404 although it had already
/// served a probe of the same or a newer version before they were sent.
fn find_configuration_rollbacks(calls: &[CallRecord]) -> Vec<Violation> {
    let mut seen_versions: HashMap<(usize, u32), Vec<(u64, u64)>> = HashMap::new();
    for call in calls {
        if let (CallKind::Probe(version), 200) = (call.kind, call.status) {
            let seen = seen_versions.entry(call.gateway).or_default();
            seen.push((call.span_ms.1, version));
        }
    }
    let is_rollback = |call: &&CallRecord| {
        let (CallKind::Probe(version), 404) = (call.kind, call.status) else {
            return false;
        };
        seen_versions.get(&call.gateway).is_some_and(|seen| {
            seen.iter()
                .any(|(at, newest)| *at < call.span_ms.0 && *newest >= version)
        })
    };
    let rollbacks = calls.iter().filter(is_rollback);
    rollbacks
        .map(|call| Violation::ConfigurationRolledBack(call.id.clone()))
        .collect()
}
