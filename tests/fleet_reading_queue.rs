//! Estimate of an engine's remaining prefill time.

use std::time::Duration;

use teaseldrum::core::MonotonicTime;
use teaseldrum::core::fleet::PrefillQueue;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn remaining_decreases_over_time_and_adds_up() {
    let mut queue = PrefillQueue::default();
    queue.add(ms(100), at(1_000));
    queue.add(ms(50), at(1_020));
    assert_eq!(queue.remaining(at(1_020)), ms(130));
    assert_eq!(queue.remaining(at(1_150)), Duration::ZERO);
    queue.add(ms(40), at(5_000));
    assert_eq!(queue.remaining(at(5_000)), ms(40));
}

/// Announced calls count for a limited time, even if there are very many or the
/// engine rejects them.
#[test]
fn add_many_calls_is_capped() {
    let mut queue = PrefillQueue::default();
    for _ in 0..1_000 {
        queue.add(ms(900), at(0));
    }
    assert!(queue.remaining(at(0)) <= ms(3_000));
}
