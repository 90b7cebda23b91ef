//! Calls that an entry still sends on while it stops.

use std::time::Duration;

use rstest::rstest;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::fleet::StopPlan;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A stop that began at 10 s, whose listener closes at 12.4 s.
fn allows(at_ms: u64, is_stream: bool, time_left_ms: u64, predicted_ms: u64) -> bool {
    let at = |millis| MonotonicTime::ZERO + ms(millis);
    let plan = StopPlan {
        streams_until: at(12_400),
        ends_at: at(17_400),
    };
    plan.allows_send(is_stream, ms(time_left_ms), ms(predicted_ms), at(at_ms))
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
