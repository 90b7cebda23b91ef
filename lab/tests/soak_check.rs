//! The checker of the soak must report every violation of a guarantee and nothing else.

use rstest::rstest;
use teaseldrum_lab::platform_stand_in::encode_event;
use teaseldrum_lab::soak::CallKind;
use teaseldrum_lab::soak::CallRecord;
use teaseldrum_lab::soak::Observations;
use teaseldrum_lab::soak::ObservedRollout;
use teaseldrum_lab::soak::Violation;
use teaseldrum_lab::soak::check_guarantees;

fn call(kind: CallKind, status: u16, body: &str, is_complete: bool) -> CallRecord {
    CallRecord {
        id: "a".into(),
        kind,
        gateway: (0, 1),
        span_ms: (100, 200),
        status,
        body: body.into(),
        is_complete,
    }
}

fn check(call: CallRecord, runs: usize) -> Vec<Violation> {
    check_guarantees(&Observations {
        calls: vec![call],
        runs: vec!["a".into(); runs],
        ..Observations::default()
    })
}

fn call_id() -> String {
    "a".into()
}

fn encode_events(numbers: &[u32]) -> String {
    numbers
        .iter()
        .map(|number| encode_event("a", *number))
        .collect()
}

#[rstest]
#[case::once(CallKind::NonIdempotent, 1)]
#[case::repeated(CallKind::Idempotent, 2)]
#[case::turned_away(CallKind::Idempotent, 1)]
fn check_allowed_run_counts(#[case] kind: CallKind, #[case] runs: usize) {
    assert!(check(call(kind, 200, "a", true), runs).is_empty());
}

#[rstest]
#[case::whole(&[1, 2, 3, 4, 5, 6], true)]
#[case::broken_off(&[1, 2, 3], false)]
fn check_stream_intact(#[case] numbers: &[u32], #[case] is_complete: bool) {
    let call = call(
        CallKind::ResumableStream,
        200,
        &encode_events(numbers),
        is_complete,
    );
    assert!(check(call, 1).is_empty());
}

#[rstest]
#[case::twice(&[1, 2, 2, 3, 4, 5, 6], true)]
#[case::missing(&[1, 2, 4, 5, 6], true)]
#[case::missing_in_part(&[1, 3], false)]
#[case::ends_early(&[1, 2, 3], true)]
fn check_stream_broken(#[case] numbers: &[u32], #[case] is_complete: bool) {
    let call = call(
        CallKind::ResumableStream,
        200,
        &encode_events(numbers),
        is_complete,
    );
    assert_eq!(check(call, 1), [Violation::WrongResponse(call_id())]);
}

#[rstest]
#[case::once(CallKind::NonIdempotent, 2)]
#[case::whole_stream(CallKind::NonResumableStream, 2)]
#[case::repeatable(CallKind::Idempotent, 3)]
fn check_ran_too_often(#[case] kind: CallKind, #[case] runs: usize) {
    assert_eq!(
        check(call(kind, 502, "", true), runs),
        [Violation::RanTooOften(call_id())]
    );
}

#[rstest]
#[case::busy(503)]
#[case::over_rate(429)]
#[case::slow(408)]
fn check_false_refusal(#[case] status: u16) {
    assert_eq!(
        check(call(CallKind::NonIdempotent, status, "", true), 1),
        [Violation::FalseRefusal(call_id())]
    );
}

#[rstest]
#[case::of_another("b", true)]
#[case::with_more("aa", true)]
#[case::cut_but_whole("", true)]
fn check_wrong_answer(#[case] body: &str, #[case] is_complete: bool) {
    let call = call(CallKind::NonIdempotent, 200, body, is_complete);
    assert_eq!(check(call, 1), [Violation::WrongResponse(call_id())]);
}

#[test]
fn check_run_of_no_call() {
    let observed = Observations {
        runs: vec![call_id()],
        ..Observations::default()
    };
    assert_eq!(
        check_guarantees(&observed),
        [Violation::UnknownRun(call_id())]
    );
}

#[test]
fn check_key_passed_and_server_not_back() {
    let observed = Observations {
        forwarded_keys: 1,
        not_recovered: vec![2],
        ..Observations::default()
    };
    assert_eq!(
        check_guarantees(&observed),
        [
            Violation::ClientKeyForwarded,
            Violation::GatewayNotRecovered(2)
        ]
    );
}

/// After a run of a gateway has served a version, the same run must not refuse
/// the same or an older version to a request sent later. Another run, or a
/// request sent before, may be refused.
#[rstest]
#[case::same_run((0, 1), 300, true)]
#[case::other_run((0, 2), 300, false)]
#[case::sent_before((0, 1), 150, false)]
fn check_went_back(
    #[case] gateway: (usize, u32),
    #[case] refused_sent_at_ms: u64,
    #[case] is_violation: bool,
) {
    let served = call(CallKind::Probe(4), 200, "a", true);
    let refused = CallRecord {
        id: "b".into(),
        gateway,
        span_ms: (refused_sent_at_ms, 400),
        ..call(CallKind::Probe(3), 404, "", true)
    };
    let observed = Observations {
        calls: vec![served, refused],
        ..Observations::default()
    };
    let violations = check_guarantees(&observed);
    assert_eq!(
        violations == [Violation::ConfigurationRolledBack("b".into())],
        is_violation
    );
}

/// A failed call counts as cut by a drain only if it ran, and if its whole time
/// lies within a drain without any other fault.
#[rstest]
#[case::within((50, 250), 1, true)]
#[case::begun_before((150, 250), 1, false)]
#[case::did_not_run((50, 250), 0, false)]
fn check_cut_by_drain(#[case] span: (u64, u64), #[case] runs: usize, #[case] is_violation: bool) {
    let observed = Observations {
        calls: vec![call(CallKind::NonIdempotent, 0, "", false)],
        runs: vec![call_id(); runs],
        undisturbed_drains: vec![(0, span)],
        ..Observations::default()
    };
    let violations = check_guarantees(&observed);
    assert_eq!(
        violations == [Violation::CutByDrain(call_id())],
        is_violation
    );
}

/// Guards against a checker that misses calls which are cut, or fail, while servers only
/// stand still, or that reports others.
#[rstest]
#[case::cut((50, 250), 1, 0, true)]
#[case::failed((50, 250), 1, 502, true)]
#[case::failed_by_its_server((50, 250), 1, 500, false)]
#[case::begun_before((150, 250), 1, 0, false)]
#[case::ended_after((50, 150), 1, 0, false)]
#[case::did_not_run((50, 250), 0, 502, false)]
fn check_cut_by_silence(
    #[case] span: (u64, u64),
    #[case] runs: usize,
    #[case] status: u16,
    #[case] is_violation: bool,
) {
    let observed = Observations {
        calls: vec![call(CallKind::NonIdempotent, status, "", status != 0)],
        runs: vec![call_id(); runs],
        undisturbed_freezes: Some(span),
        ..Observations::default()
    };
    let violations = check_guarantees(&observed);
    assert_eq!(
        violations == [Violation::CutBySilence(call_id())],
        is_violation
    );
}

fn check_rollout(is_bad: bool, states: &[&str], sent_to_new: u64) -> Vec<Violation> {
    check_guarantees(&Observations {
        rollout: Some(ObservedRollout {
            is_bad,
            states: states.iter().map(|state| (*state).to_owned()).collect(),
            sent_to_new,
            calls: 100,
        }),
        ..Observations::default()
    })
}

/// Guards against a checker that misses rollouts which do not end, go back or send too
/// much to a bad build, or that reports sound ones.
#[rstest]
#[case::completed(false, &["running", "completed"], 90, true)]
#[case::written_again(true, &["running", "rolled_back", "rolled_back"], 60, true)]
#[case::not_ended(false, &["running"], 0, false)]
#[case::went_back(false, &["running", "completed", "running"], 0, false)]
#[case::too_many(true, &["running", "rolled_back"], 61, false)]
fn check_rollout_states(
    #[case] is_bad: bool,
    #[case] states: &[&str],
    #[case] sent_to_new: u64,
    #[case] is_sound: bool,
) {
    assert_eq!(
        check_rollout(is_bad, states, sent_to_new).is_empty(),
        is_sound
    );
}
