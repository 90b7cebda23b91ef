//! The checker of the soak must report every broken promise and nothing else.

use rstest::rstest;
use teaseldrum_lab::platform_stand_in::encode_event;
use teaseldrum_lab::soak::Broken;
use teaseldrum_lab::soak::CallKind;
use teaseldrum_lab::soak::CallRecord;
use teaseldrum_lab::soak::Observed;
use teaseldrum_lab::soak::check_promises;

fn call(kind: CallKind, status: u16, body: &str, is_whole: bool) -> CallRecord {
    CallRecord {
        id: "a".into(),
        kind,
        gateway: (0, 1),
        span_ms: (100, 200),
        status,
        body: body.into(),
        is_whole,
    }
}

fn check(call: CallRecord, runs: usize) -> Vec<Broken> {
    check_promises(&Observed {
        calls: vec![call],
        runs: vec!["a".into(); runs],
        ..Observed::default()
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
#[case::once(CallKind::Once, 1)]
#[case::repeated(CallKind::Repeatable, 2)]
#[case::turned_away(CallKind::Repeatable, 1)]
fn check_allowed_run_counts(#[case] kind: CallKind, #[case] runs: usize) {
    assert!(check(call(kind, 200, "a", true), runs).is_empty());
}

#[rstest]
#[case::whole(&[1, 2, 3, 4, 5, 6], true)]
#[case::broken_off(&[1, 2, 3], false)]
fn check_stream_intact(#[case] numbers: &[u32], #[case] is_whole: bool) {
    let call = call(CallKind::Stream, 200, &encode_events(numbers), is_whole);
    assert!(check(call, 1).is_empty());
}

#[rstest]
#[case::twice(&[1, 2, 2, 3, 4, 5, 6], true)]
#[case::missing(&[1, 2, 4, 5, 6], true)]
#[case::missing_in_part(&[1, 3], false)]
#[case::ends_early(&[1, 2, 3], true)]
fn check_stream_broken(#[case] numbers: &[u32], #[case] is_whole: bool) {
    let call = call(CallKind::Stream, 200, &encode_events(numbers), is_whole);
    assert_eq!(check(call, 1), [Broken::WrongAnswer(call_id())]);
}

#[rstest]
#[case::once(CallKind::Once, 2)]
#[case::whole_stream(CallKind::WholeStream, 2)]
#[case::repeatable(CallKind::Repeatable, 3)]
fn check_ran_too_often(#[case] kind: CallKind, #[case] runs: usize) {
    assert_eq!(
        check(call(kind, 502, "", true), runs),
        [Broken::RanTooOften(call_id())]
    );
}

#[rstest]
#[case::busy(503)]
#[case::over_rate(429)]
#[case::slow(408)]
fn check_false_refusal(#[case] status: u16) {
    assert_eq!(
        check(call(CallKind::Once, status, "", true), 1),
        [Broken::FalseRefusal(call_id())]
    );
}

#[rstest]
#[case::of_another("b", true)]
#[case::with_more("aa", true)]
#[case::cut_but_whole("", true)]
fn check_wrong_answer(#[case] body: &str, #[case] is_whole: bool) {
    let call = call(CallKind::Once, 200, body, is_whole);
    assert_eq!(check(call, 1), [Broken::WrongAnswer(call_id())]);
}

#[test]
fn check_run_of_no_call() {
    let observed = Observed {
        runs: vec![call_id()],
        ..Observed::default()
    };
    assert_eq!(check_promises(&observed), [Broken::Unasked(call_id())]);
}

#[test]
fn check_key_passed_and_server_not_back() {
    let observed = Observed {
        keys_passed: 1,
        not_back: vec![2],
        ..Observed::default()
    };
    assert_eq!(
        check_promises(&observed),
        [Broken::KeyPassed, Broken::NotBack(2)]
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
    #[case] is_broken: bool,
) {
    let served = call(CallKind::Probe(4), 200, "a", true);
    let refused = CallRecord {
        id: "b".into(),
        gateway,
        span_ms: (refused_sent_at_ms, 400),
        ..call(CallKind::Probe(3), 404, "", true)
    };
    let observed = Observed {
        calls: vec![served, refused],
        ..Observed::default()
    };
    let broken = check_promises(&observed);
    assert_eq!(broken == [Broken::WentBack("b".into())], is_broken);
}

/// A failed call counts as cut by a drain only if it ran, and if its whole time
/// lies within a drain without any other fault.
#[rstest]
#[case::within((50, 250), 1, true)]
#[case::begun_before((150, 250), 1, false)]
#[case::did_not_run((50, 250), 0, false)]
fn check_cut_by_drain(#[case] span: (u64, u64), #[case] runs: usize, #[case] is_broken: bool) {
    let observed = Observed {
        calls: vec![call(CallKind::Once, 0, "", false)],
        runs: vec![call_id(); runs],
        quiet_drains: vec![(0, span)],
        ..Observed::default()
    };
    let broken = check_promises(&observed);
    assert_eq!(broken == [Broken::CutByDrain(call_id())], is_broken);
}
