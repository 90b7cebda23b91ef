//! Holds of calls on the weights of an engine, and its change of weights.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use rstest::rstest;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::ServerName;
use teaseldrum::core::WeightsVersion;
use teaseldrum::core::fleet::EngineStatus;
use teaseldrum::core::fleet::ModelName;
use teaseldrum::core::fleet::OrderOutcome;
use teaseldrum::core::fleet::RunningCalls;
use teaseldrum::core::fleet::TargetVersion;
use teaseldrum::core::fleet::WeightsChange;
use teaseldrum::core::fleet::WeightsChangeStep;
use teaseldrum::core::fleet::WeightsHold;

/// Time allowed for a new version.
const VERSION_TIME: Duration = Duration::from_secs(6);

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

fn status(version: u64) -> EngineStatus {
    EngineStatus {
        versions: vec![(ModelName::from("m"), WeightsVersion(version))],
        ..EngineStatus::default()
    }
}

fn hold(id: u64, version: u64) -> WeightsHold {
    WeightsHold {
        id,
        server: ServerName::from("i-1"),
        model: ModelName::from("m"),
        version: WeightsVersion(version),
    }
}

/// Change of an engine that has reported version 1.
fn start_change() -> WeightsChange {
    let mut change = WeightsChange::within(VERSION_TIME);
    change.advance(&status(1), at(0));
    change
}

/// Advances until an order is given; returns what happens to running calls, and when.
fn advance_to_order(change: &mut WeightsChange, version: u64, from_ms: u64) -> (RunningCalls, u64) {
    for ms in (from_ms..from_ms + 10_000).step_by(10) {
        let step = change.advance(&status(version), at(ms));
        if let WeightsChangeStep::Order { running, .. } = step {
            return (running, ms);
        }
    }
    panic!("no order within 10 s");
}

/// Guards against calls that go on under newer weights at an engine from which others get
/// parts under the older salt.
#[rstest]
#[case::not_held(None, RunningCalls::Continue, 0..=700)]
#[case::ends_before_order(Some(300), RunningCalls::Continue, 0..=700)]
#[case::ends_later(Some(2_000), RunningCalls::Continue, 2_000..=2_200)]
#[case::does_not_end(Some(60_000), RunningCalls::Finish, 3_500..=4_100)]
fn advance_orders_after_holds_end(
    #[case] ends_ms: Option<u64>,
    #[case] expected: RunningCalls,
    #[case] order_ms: std::ops::RangeInclusive<u64>,
) {
    let mut change = start_change();
    if ends_ms.is_some() {
        assert!(change.grant_hold(&hold(1, 1), at(0)));
    }
    change.observe_target(&target(2), at(0));
    for ms in (0..10_000).step_by(10) {
        if ends_ms == Some(ms) {
            change.end_hold(1);
        }
        // As of a process that may order at once.
        change.set_earliest_order(Some(at(ms)));
        if let WeightsChangeStep::Order { running, .. } = change.advance(&status(1), at(ms)) {
            assert_eq!(running, expected);
            assert!(order_ms.contains(&ms), "{ms}");
            return;
        }
    }
    panic!("no order within 10 s");
}

/// Guards against holds that come too late to be seen by the order.
#[test]
fn grant_hold_other_version_or_near_order_refused() {
    let mut change = start_change();
    assert!(!change.grant_hold(&hold(1, 2), at(0)));
    change.observe_target(&target(2), at(0));
    assert!(change.grant_hold(&hold(2, 1), at(100)));
    assert!(!change.grant_hold(&hold(3, 1), at(250)));
    change.end_hold(2);
    let (_, ms) = advance_to_order(&mut change, 1, 250);
    assert!(!change.grant_hold(&hold(4, 1), at(ms + 10)));
    change.record_outcome(OrderOutcome::Unknown, at(ms + 400));
    // The order may still take effect, also after this process must give none.
    change.set_earliest_order(None);
    change.advance(&status(1), at(ms + 500));
    assert!(change.is_accepting());
    assert!(!change.grant_hold(&hold(5, 1), at(ms + 600)));
    change.advance(&status(2), at(ms + 700));
    assert!(change.grant_hold(&hold(6, 2), at(ms + 800)));
}

/// Guards against holds that an earlier process of the agent has granted, and holds that
/// agents grant while another process orders their engine.
#[test]
fn advance_with_unknown_holds_calls_finish() {
    let mut change = start_change();
    change.record_predecessor();
    change.observe_target(&target(2), at(0));
    let (running, ms) = advance_to_order(&mut change, 1, 0);
    assert_eq!(running, RunningCalls::Finish);
    assert!(ms < 1_000, "{ms}");
    change.advance(&status(2), at(ms + 300));
    change.observe_target(&target(3), at(ms + 400));
    let (running, ms) = advance_to_order(&mut change, 2, ms + 400);
    assert_eq!(running, RunningCalls::Continue);
    change.advance(&status(3), at(ms + 300));
    change.set_other_holders();
    change.observe_target(&target(4), at(ms + 400));
    let (running, _) = advance_to_order(&mut change, 3, ms + 400);
    assert_eq!(running, RunningCalls::Finish);
}

/// What happens in a random history.
#[derive(Debug, Clone, Copy)]
enum Event {
    Ask,
    End,
    Name,
    LoseRight,
    Load,
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => Just(Event::Ask),
        3 => Just(Event::End),
        1 => Just(Event::Name),
        1 => Just(Event::LoseRight),
        2 => Just(Event::Load),
        8 => (10_u64..400).prop_map(Event::Wait),
    ]
}

proptest! {
    /// No call goes on under newer weights while one holds the older ones, in whatever order
    /// holds, versions, lost rights and orders that take effect late follow each other.
    #[test]
    fn advance_random_history_no_call_continues_under_hold(
        events in vec(event(), 1..120),
        has_predecessor: bool,
    ) {
        let mut change = start_change();
        if has_predecessor {
            change.record_predecessor();
        }
        let (mut ms, mut named, mut served) = (0, 1, 1);
        let (mut held, mut next_id) = (Vec::new(), 0);
        let mut open_order: Option<(u64, RunningCalls)> = None;
        for event in events {
            match event {
                Event::Ask => {
                    next_id += 1;
                    if change.grant_hold(&hold(next_id, served), at(ms)) {
                        held.push(next_id);
                    }
                }
                Event::End => {
                    if let Some(id) = held.pop() {
                        change.end_hold(id);
                    }
                }
                Event::Name => {
                    named += 1;
                    change.observe_target(&target(named), at(ms));
                }
                Event::LoseRight => change.set_earliest_order(None),
                Event::Load => {
                    if let Some((version, running)) = open_order.take() {
                        prop_assert!(running == RunningCalls::Finish || held.is_empty());
                        served = version;
                        held.clear();
                    }
                }
                Event::Wait(time) => {
                    for _ in 0..time / 10 {
                        ms += 10;
                        let step = change.advance(&status(served), at(ms));
                        if let WeightsChangeStep::Order { target, running, .. } = step {
                            let may_continue = held.is_empty() && !(has_predecessor && served == 1);
                            prop_assert!(running == RunningCalls::Finish || may_continue);
                            open_order = open_order.or(Some((target.version.0, running)));
                        }
                    }
                    change.set_earliest_order(Some(at(0)));
                }
            }
        }
    }
}
