//! When an engine changes its weights.

use std::time::Duration;

use teaseldrum::core::MonotonicTime;
use teaseldrum::core::WeightsVersion;
use teaseldrum::core::fleet::EngineFacts;
use teaseldrum::core::fleet::ModelName;
use teaseldrum::core::fleet::OrderOutcome;
use teaseldrum::core::fleet::Rollout;
use teaseldrum::core::fleet::RolloutStep;
use teaseldrum::core::fleet::RunningCalls;
use teaseldrum::core::fleet::WantedVersion;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

fn wanted(version: u64) -> WantedVersion {
    WantedVersion {
        model: ModelName::from("m"),
        version: WeightsVersion(version),
        revision: version * 10,
    }
}

fn facts(version: u64, accepted_orders: u64) -> EngineFacts {
    EngineFacts {
        versions: vec![(ModelName::from("m"), WeightsVersion(version))],
        is_busy: false,
        accepted_orders,
        waiting: 0,
    }
}

/// Steps until the order, and returns it with its time.
fn step_to_order(rollout: &mut Rollout, facts: &EngineFacts, from_ms: u64) -> (RolloutStep, u64) {
    for ms in (from_ms..from_ms + 5_000).step_by(10) {
        let step = rollout.step(facts, at(ms));
        if matches!(step, RolloutStep::Order { .. }) {
            return (step, ms);
        }
    }
    panic!("no order in five seconds");
}

#[test]
fn step_closes_before_order() {
    let mut rollout = Rollout::new();
    assert!(rollout.want(&wanted(2), at(0)));
    assert_eq!(rollout.step(&facts(1, 0), at(0)), RolloutStep::Wait);
    assert!(rollout.is_accepting());
    let closed = (0..5_000).find(|&ms| rollout.step(&facts(1, 0), at(ms)) == RolloutStep::Close);
    let closed = closed.expect("it closes");
    assert!(!rollout.is_accepting());
    assert_eq!(
        rollout.step(&facts(1, 0), at(closed + 20)),
        RolloutStep::Wait
    );
    let (step, _) = step_to_order(&mut rollout, &facts(1, 0), closed + 20);
    let expected = RolloutStep::Order {
        wanted: wanted(2),
        running: RunningCalls::Continue,
        accepted_orders: 0,
    };
    assert_eq!(step, expected);
}

#[test]
fn step_opens_once_version_is_there() {
    let mut rollout = Rollout::new();
    rollout.want(&wanted(2), at(0));
    let (_, ms) = step_to_order(&mut rollout, &facts(1, 0), 0);
    let mut busy = facts(2, 1);
    busy.is_busy = true;
    assert_eq!(rollout.step(&busy, at(ms + 100)), RolloutStep::Wait);
    assert_eq!(rollout.step(&facts(2, 1), at(ms + 300)), RolloutStep::Open);
    assert!(rollout.is_accepting());
}

#[test]
fn step_superseded_version_is_skipped() {
    let mut rollout = Rollout::new();
    rollout.want(&wanted(2), at(0));
    rollout.step(&facts(1, 0), at(0));
    rollout.want(&wanted(3), at(10));
    let (step, _) = step_to_order(&mut rollout, &facts(1, 0), 20);
    assert!(matches!(step, RolloutStep::Order { wanted: w, .. } if w.version.0 == 3));
}

#[test]
fn want_older_version_is_ignored() {
    let mut rollout = Rollout::new();
    rollout.want(&wanted(3), at(0));
    assert!(!rollout.want(&wanted(2), at(10)));
}

#[test]
fn step_unanswered_order_is_given_again_under_same_condition() {
    let mut rollout = Rollout::new();
    rollout.want(&wanted(2), at(0));
    let (first, ms) = step_to_order(&mut rollout, &facts(1, 4), 0);
    rollout.note_outcome(OrderOutcome::Unknown, at(ms + 400));
    let (again, later) = step_to_order(&mut rollout, &facts(1, 4), ms + 10);
    // The same condition: of the two, only one can take effect.
    assert_eq!(first, again);
    assert!(later > ms + 300);
}

#[test]
fn step_groups_take_turns() {
    let order_time = |place| {
        let mut rollout = Rollout::new();
        rollout.set_turn(place, 18);
        rollout.want(&wanted(2), at(0));
        step_to_order(&mut rollout, &facts(1, 0), 0).1
    };
    assert_eq!(order_time(0), order_time(2));
    assert!(order_time(3) > order_time(2));
    assert!(order_time(17) > order_time(14));
}

/// A newer version does not put off the turn of an engine that still lacks an
/// earlier one.
#[test]
fn step_newer_version_keeps_turn() {
    let mut rollout = Rollout::new();
    rollout.set_turn(17, 18);
    rollout.want(&wanted(2), at(0));
    let due = rollout.switch_in(&facts(1, 0), at(0));
    rollout.want(&wanted(3), at(1_000));
    let later = rollout.switch_in(&facts(1, 0), at(1_000));
    assert_eq!(later, due.map(|due| due - Duration::from_millis(1_000)));
}

#[test]
fn step_waiting_calls_put_order_off_for_a_while() {
    let mut rollout = Rollout::new();
    rollout.want(&wanted(2), at(0));
    let full = EngineFacts {
        waiting: 5,
        ..facts(1, 0)
    };
    let (_, with_calls) = step_to_order(&mut rollout, &full, 0);
    let mut other = Rollout::new();
    other.want(&wanted(2), at(0));
    let (_, without) = step_to_order(&mut other, &facts(1, 0), 0);
    assert!(with_calls > without);
    assert!(with_calls < without + 1_000);
}
