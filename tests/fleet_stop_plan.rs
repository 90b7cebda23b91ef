//! Calls that an entry still sends on while it stops.

use std::time::Duration;

use rstest::rstest;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::fleet::StopPlan;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const GRACE: Duration = ms(8_000);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::ZERO + ms(millis)
}

/// A stop that was requested at 10 s, and seen at once.
fn allows(at_ms: u64, is_stream: bool, time_left_ms: u64, predicted_ms: u64) -> bool {
    let plan = StopPlan::new(at(10_000), at(10_000), GRACE);
    plan.allows_send(is_stream, ms(time_left_ms), ms(predicted_ms), at(at_ms))
}

/// Guards against times that count from when a stop was seen: a gateway that stood still
/// sent streams on that could not end before it was killed, and was killed before its exit.
/// Only the load balancer learns of the stop no sooner.
#[rstest]
#[case::at_once(10_000, 12_400)]
#[case::late(11_200, 13_600)]
#[case::after_last_streams(13_000, 15_400)]
#[case::shortly_before_end(16_000, 17_400)]
fn new_seen_late_counts_from_request(#[case] seen_ms: u64, #[case] accepts_until_ms: u64) {
    let plan = StopPlan::new(at(10_000), at(seen_ms), GRACE);
    let expected = StopPlan {
        requested_at: at(10_000),
        streams_until: at(12_400),
        accepts_until: at(accepts_until_ms),
        ends_at: at(17_400),
        exits_at: at(17_600),
    };
    assert_eq!(plan, expected);
}

/// Guards against an exit at once: the calls that wait at a process that was not killed yet
/// are lost without an answer.
#[rstest]
#[case::before_exit(17_300)]
#[case::after_exit(19_000)]
fn new_seen_at_end_leaves_time_for_answers(#[case] seen_ms: u64) {
    let plan = StopPlan::new(at(10_000), at(seen_ms), GRACE);
    assert_eq!(plan.accepts_until, at(seen_ms + 200));
    assert_eq!(plan.ends_at, at(seen_ms + 200));
    assert_eq!(plan.exits_at, at(seen_ms + 400));
}

/// A stop that is seen at its end sends on no stream that may have to be cut.
#[rstest]
#[case::caller_leaves_first(200, true)]
#[case::caller_waits(201, false)]
fn allows_send_stop_seen_at_end(#[case] time_left_ms: u64, #[case] allowed: bool) {
    let plan = StopPlan::new(at(10_000), at(18_000), GRACE);
    let is_sent = plan.allows_send(true, ms(time_left_ms), Duration::ZERO, at(18_000));
    assert_eq!(is_sent, allowed);
}

#[test]
fn new_grace_shorter_than_linger_accepts_until_end() {
    let plan = StopPlan::new(at(10_000), at(10_000), ms(1_000));
    assert_eq!(plan.accepts_until, at(10_400));
    assert_eq!(plan.ends_at, at(10_400));
    assert_eq!(plan.exits_at, at(10_600));
}

/// Bodies that arrive slowly after the stop signal: a stream that is whole after the
/// listener was closed is sent on only if its caller stops waiting before the end.
#[rstest]
#[case::early(10_500, 15_000, true)]
#[case::late(12_400, 15_000, false)]
#[case::late_caller_waits_until_end(13_000, 4_400, true)]
#[case::late_caller_waits_beyond_end(13_000, 4_401, false)]
#[case::after_end(17_400, 100, false)]
fn allows_send_stream(#[case] at_ms: u64, #[case] time_left_ms: u64, #[case] allowed: bool) {
    assert_eq!(allows(at_ms, true, time_left_ms, 300), allowed);
}

/// Overload during a stop: what is not expected to end in time goes to another entry.
#[rstest]
#[case::stream_fits(true, 6_900, true)]
#[case::stream_outlasts_stop(true, 6_901, false)]
#[case::call_fits(false, 6_900, true)]
#[case::call_outlasts_stop(false, 6_901, false)]
fn allows_send_predicted_end(
    #[case] is_stream: bool,
    #[case] predicted_ms: u64,
    #[case] allowed: bool,
) {
    assert_eq!(allows(10_500, is_stream, 15_000, predicted_ms), allowed);
}

/// A call without a stream has an answer by the end in any case.
#[test]
fn allows_send_late_call_expected_to_end() {
    assert!(allows(13_900, false, 15_000, 50));
    assert!(!allows(17_400, false, 15_000, 0));
}
