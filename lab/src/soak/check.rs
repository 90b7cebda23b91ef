//! What must hold, from what callers and backend servers have seen.

use std::collections::HashMap;

use serde::Serialize;

use crate::platform_stand_in::EVENTS;
use crate::platform_stand_in::event;

/// Runs of a call that may be repeated: the routes' most attempts.
const MAX_IDEMPOTENT_RUNS: u32 = 2;

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum CallKind {
    /// May run once at most.
    #[serde(rename = "Once")]
    NonIdempotent,
    /// May be repeated.
    #[serde(rename = "Repeatable")]
    Idempotent,
    /// A stream that may be resumed.
    #[serde(rename = "Stream")]
    ResumableStream,
    /// A stream that may not.
    #[serde(rename = "WholeStream")]
    NonResumableStream,
    /// Asks whether a configuration is in force.
    Probe(u64),
}

/// What a caller has seen of one call.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Identity.
    pub id: String,
    /// Kind.
    pub kind: CallKind,
    /// Gateway that was asked, and which run of it.
    pub gateway: (usize, u32),
    /// Milliseconds at which it was sent and at which its answer had come.
    pub span_ms: (u64, u64),
    /// Status; zero without an answer.
    pub status: u16,
    /// Body.
    pub body: String,
    /// The answer ended as its head announced.
    pub is_complete: bool,
}

/// What a soak has seen.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    /// Calls of all callers.
    pub calls: Vec<CallRecord>,
    /// Identities of the calls that servers ran, once for each run.
    pub runs: Vec<String>,
    /// Requests that reached servers with a caller's key.
    pub forwarded_keys: u32,
    /// Gateways that did not serve again after the last fault.
    pub not_recovered: Vec<usize>,
    /// Spans in milliseconds in which a gateway did nothing but drain, while
    /// no other fault was about.
    pub undisturbed_drains: Vec<(usize, (u64, u64))>,
}

/// A promise that was broken, and the call that shows it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Violation {
    /// A call ran more often than it may.
    RanTooOften(String),
    /// A call was refused as not run, and had run.
    FalseRefusal(String),
    /// A success holds what is not the call's whole answer.
    #[serde(rename = "WrongAnswer")]
    WrongResponse(String),
    /// A server ran what no caller sent.
    #[serde(rename = "Unasked")]
    UnknownRun(String),
    /// A server saw a caller's key.
    #[serde(rename = "KeyPassed")]
    ClientKeyForwarded,
    /// A gateway that knew a configuration went back to an older one.
    #[serde(rename = "WentBack")]
    ConfigurationRolledBack(String),
    /// A gateway that only drained cut a call that a server had run.
    CutByDrain(String),
    /// A gateway does not serve after the last fault.
    #[serde(rename = "NotBack")]
    GatewayNotRecovered(usize),
}

/// Finds the promises that were broken.
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
    }
    // Runs that are left belong to no call.
    violations.extend(
        runs.keys()
            .map(|id| Violation::UnknownRun((*id).to_owned())),
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

/// Tells whether an answer is the call's own: a success whole and right, what
/// came of a stream in order.
fn is_correct_response(call: &CallRecord) -> bool {
    if call.status != 200 {
        return true;
    }
    match call.kind {
        CallKind::ResumableStream | CallKind::NonResumableStream => {
            let expected: String = (1..=EVENTS).map(|number| event(&call.id, number)).collect();
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

/// Finds probes that a run of a gateway answered as an older configuration
/// does, after it had answered one as a newer does.
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
