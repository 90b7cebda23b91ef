//! When an engine's weights are changed.

use std::time::Duration;

use rstest::rstest;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::WeightsVersion;
use teaseldrum::core::fleet::EngineStatus;
use teaseldrum::core::fleet::ModelName;
use teaseldrum::core::fleet::OrderOutcome;
use teaseldrum::core::fleet::RunningCalls;
use teaseldrum::core::fleet::TargetVersion;
use teaseldrum::core::fleet::WeightsChange;
use teaseldrum::core::fleet::WeightsChangeStep;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

fn target(version: u64) -> TargetVersion {
    TargetVersion {
        model: ModelName::from("m"),
        version: WeightsVersion(version),
        revision: version * 10,
    }
}

fn status(version: u64, accepted_orders: u64) -> EngineStatus {
    EngineStatus {
        versions: vec![(ModelName::from("m"), WeightsVersion(version))],
        is_busy: false,
        accepted_orders,
        waiting: 0,
    }
}

/// Advances the change until it gives the order; returns the order and its
/// time in ms.
fn advance_to_order(
    weights_change: &mut WeightsChange,
    status: &EngineStatus,
    from_ms: u64,
) -> (WeightsChangeStep, u64) {
    for ms in (from_ms..from_ms + 5_000).step_by(10) {
        let step = weights_change.advance(status, at(ms));
        if matches!(step, WeightsChangeStep::Order { .. }) {
            return (step, ms);
        }
    }
    panic!("no order within 5 s");
}

#[test]
fn advance_stops_accepting_before_order() {
    let mut weights_change = WeightsChange::new();
    assert!(weights_change.observe_target(&target(2), at(0)));
    assert_eq!(
        weights_change.advance(&status(1, 0), at(0)),
        WeightsChangeStep::Wait
    );
    assert!(weights_change.is_accepting());
    let stopped_ms = (0..5_000).find(|&ms| {
        weights_change.advance(&status(1, 0), at(ms)) == WeightsChangeStep::StopAccepting
    });
    let stopped_ms = stopped_ms.expect("the change should stop new calls");
    assert!(!weights_change.is_accepting());
    assert_eq!(
        weights_change.advance(&status(1, 0), at(stopped_ms + 20)),
        WeightsChangeStep::Wait
    );
    let (step, _) = advance_to_order(&mut weights_change, &status(1, 0), stopped_ms + 20);
    let expected = WeightsChangeStep::Order {
        target: target(2),
        running: RunningCalls::Continue,
        accepted_orders: 0,
    };
    assert_eq!(step, expected);
}

#[test]
fn advance_resumes_accepting_once_version_is_loaded() {
    let mut weights_change = WeightsChange::new();
    weights_change.observe_target(&target(2), at(0));
    let (_, ms) = advance_to_order(&mut weights_change, &status(1, 0), 0);
    let mut busy = status(2, 1);
    busy.is_busy = true;
    assert_eq!(
        weights_change.advance(&busy, at(ms + 100)),
        WeightsChangeStep::Wait
    );
    assert_eq!(
        weights_change.advance(&status(2, 1), at(ms + 300)),
        WeightsChangeStep::ResumeAccepting
    );
    assert!(weights_change.is_accepting());
}

#[test]
fn advance_skips_superseded_version() {
    let mut weights_change = WeightsChange::new();
    weights_change.observe_target(&target(2), at(0));
    weights_change.advance(&status(1, 0), at(0));
    weights_change.observe_target(&target(3), at(10));
    let (step, _) = advance_to_order(&mut weights_change, &status(1, 0), 20);
    assert!(matches!(step, WeightsChangeStep::Order { target: t, .. } if t.version.0 == 3));
}

#[test]
fn observe_target_older_version_is_ignored() {
    let mut weights_change = WeightsChange::new();
    weights_change.observe_target(&target(3), at(0));
    assert!(!weights_change.observe_target(&target(2), at(10)));
}

#[test]
fn advance_unanswered_order_is_repeated_with_same_condition() {
    let mut weights_change = WeightsChange::new();
    weights_change.observe_target(&target(2), at(0));
    let (first, ms) = advance_to_order(&mut weights_change, &status(1, 4), 0);
    weights_change.record_outcome(OrderOutcome::Unknown, at(ms + 400));
    let (again, later) = advance_to_order(&mut weights_change, &status(1, 4), ms + 10);
    // With the same precondition, only one of the two orders can take effect.
    assert_eq!(first, again);
    assert!(later > ms + 300);
}

#[test]
fn advance_batches_are_ordered_in_sequence() {
    let order_time = |index| {
        let mut weights_change = WeightsChange::new();
        weights_change.set_batch_position(index, 18);
        weights_change.observe_target(&target(2), at(0));
        advance_to_order(&mut weights_change, &status(1, 0), 0).1
    };
    assert_eq!(order_time(0), order_time(2));
    assert!(order_time(3) > order_time(2));
    assert!(order_time(17) > order_time(14));
}

/// A newer version must not delay an engine that still lacks an earlier one.
#[test]
fn time_until_order_newer_version_keeps_schedule() {
    let mut weights_change = WeightsChange::new();
    weights_change.set_batch_position(17, 18);
    weights_change.observe_target(&target(2), at(0));
    let first = weights_change.time_until_order(&status(1, 0), at(0));
    weights_change.observe_target(&target(3), at(1_000));
    let later = weights_change.time_until_order(&status(1, 0), at(1_000));
    assert_eq!(
        later,
        first.map(|first| first - Duration::from_millis(1_000))
    );
}

#[test]
fn advance_waiting_calls_delay_order_briefly() {
    let mut weights_change = WeightsChange::new();
    weights_change.observe_target(&target(2), at(0));
    let with_waiting_calls = EngineStatus {
        waiting: 5,
        ..status(1, 0)
    };
    let (_, delayed_ms) = advance_to_order(&mut weights_change, &with_waiting_calls, 0);
    let mut idle_rollout = WeightsChange::new();
    idle_rollout.observe_target(&target(2), at(0));
    let (_, immediate_ms) = advance_to_order(&mut idle_rollout, &status(1, 0), 0);
    assert!(delayed_ms > immediate_ms);
    assert!(delayed_ms < immediate_ms + 1_000);
}

/// Guards against orders before the process may give them, and against an engine that
/// takes no calls meanwhile.
#[test]
fn advance_before_earliest_order_waits_accepting() {
    let mut weights_change = WeightsChange::new();
    weights_change.observe_target(&target(2), at(0));
    weights_change.set_earliest_order(None);
    let is_waiting = (0..6_000)
        .step_by(20)
        .all(|ms| weights_change.advance(&status(1, 0), at(ms)) == WeightsChangeStep::Wait);
    assert!(is_waiting);
    assert!(weights_change.is_accepting());
    weights_change.set_earliest_order(Some(at(9_200)));
    let (step, ms) = advance_to_order(&mut weights_change, &status(1, 0), 6_100);
    assert!(matches!(step, WeightsChangeStep::Order { .. }));
    assert!(ms >= 9_200, "{ms}");
}

/// A process that loses the right to order between its decision and the order lets the
/// engine take calls again.
#[test]
fn advance_right_lost_before_order_resumes_accepting() {
    let mut weights_change = WeightsChange::new();
    weights_change.observe_target(&target(2), at(0));
    let stopped = (0..5_000).find(|&ms| {
        weights_change.advance(&status(1, 0), at(ms)) == WeightsChangeStep::StopAccepting
    });
    let stopped_ms = stopped.expect("the change should stop new calls");
    weights_change.set_earliest_order(None);
    let step = weights_change.advance(&status(1, 0), at(stopped_ms + 100));
    assert_eq!(step, WeightsChangeStep::ResumeAccepting);
    assert!(weights_change.is_accepting());
}

/// Slow loads of many batches at once would leave too few engines for calls: the
/// interval between batches follows the time allowed, then the measured load time.
#[rstest]
#[case::short_time(6_000, 290, 300, 300)]
#[case::slow_loads(12_000, 830, 700, 700)]
#[case::loads_faster_than_allowed(12_000, 420, 700, 420)]
fn advance_batches_follow_load_time(
    #[case] version_ms: u64,
    #[case] load_ms: u64,
    #[case] first_interval_ms: u64,
    #[case] later_interval_ms: u64,
) {
    let order_second_batch = |weights_change: &mut WeightsChange, version: u64, from_ms: u64| {
        weights_change.observe_target(&target(version + 1), at(from_ms));
        weights_change.set_batch_position(1, 6);
        let (step, ms) = advance_to_order(weights_change, &status(version, 0), from_ms);
        assert!(matches!(step, WeightsChangeStep::Order { .. }));
        ms
    };
    let mut weights_change = WeightsChange::within(Duration::from_millis(version_ms));
    let first_ms = order_second_batch(&mut weights_change, 1, 0);
    let loaded = weights_change.advance(&status(2, 1), at(first_ms + load_ms));
    assert_eq!(loaded, WeightsChangeStep::ResumeAccepting);
    let second_ms = order_second_batch(&mut weights_change, 2, 20_000) - 20_000;
    let is_near = |ms: u64, interval_ms: u64| (500 + interval_ms).abs_diff(ms) <= 20;
    assert!(is_near(first_ms, first_interval_ms), "{first_ms}");
    assert!(is_near(second_ms, later_interval_ms), "{second_ms}");
}
