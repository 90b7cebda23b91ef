//! Claims to the right to order engines without an agent, over random histories
//! of claimants that lose answers, pause and return.

use std::cell::Cell;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::fleet::ClaimGrant;
use teaseldrum::core::fleet::ClaimStep;
use teaseldrum::core::fleet::OrderClaim;

use crate::claim_store::ClaimStore;
use crate::seen_order::HOLDER_CHANGE_MS;
use crate::seen_order::SeenOrder;
use crate::seen_order::find_violation;

/// Time in milliseconds between two steps of a history.
const STEP_MS: u64 = 100;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

/// What happens to one request to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Transport {
    Answered,
    /// Carried out, but the answer is lost.
    AnswerLost,
    /// Never carried out.
    Lost,
}

/// What one claimant does in one step of 100 ms.
#[derive(Debug, Clone, Copy)]
struct Turn {
    /// The process does nothing for this number of steps.
    pause: u8,
    /// Whether it needs the claim.
    is_needed: bool,
    transport: Transport,
}

fn any_turn() -> impl Strategy<Value = Turn> {
    let transport = prop_oneof![
        6 => Just(Transport::Answered),
        1 => Just(Transport::AnswerLost),
        1 => Just(Transport::Lost),
    ];
    let pause = prop_oneof![30 => Just(0_u8), 1 => 5..90_u8];
    (pause, prop::bool::weighted(0.997), transport).prop_map(|(pause, is_needed, transport)| Turn {
        pause,
        is_needed,
        transport,
    })
}

/// Plays claimants against one store; each of them orders whenever its claim
/// allows it, and a new target version is set every ten seconds.
fn play(turns: &[[Turn; 3]]) -> Vec<SeenOrder> {
    play_with_restores(turns, &[], true)
}

/// The same, with a store that goes back by five seconds at each step of `restores`.
/// Claimants learn of it in the answer to their next request, if `is_told`.
fn play_with_restores(turns: &[[Turn; 3]], restores: &[usize], is_told: bool) -> Vec<SeenOrder> {
    let mut copies: Vec<ClaimStore> = Vec::new();
    let mut known_eras = [0; 3];
    let mut store = ClaimStore::default();
    let mut claims = [OrderClaim::default(); 3];
    let mut paused_until = [0_u64; 3];
    let mut target_revision = 0;
    let mut orders = Vec::new();
    for (step, turns) in turns.iter().enumerate() {
        let ms = step as u64 * STEP_MS;
        if restores.contains(&step) {
            store.restore(copies[step.saturating_sub(50)]);
        }
        store.expire(ms);
        if step % 100 == 50 {
            store.revision += 1;
            target_revision = store.fence();
        }
        copies.push(store);
        for (holder, turn) in turns.iter().enumerate() {
            if ms < paused_until[holder] {
                continue;
            }
            paused_until[holder] = ms + u64::from(turn.pause) * STEP_MS;
            let has_request =
                claims[holder].next_step(true, target_revision, at(0), at(ms)) != ClaimStep::Wait;
            if has_request
                && turn.transport == Transport::Answered
                && known_eras[holder] < store.era
            {
                known_eras[holder] = store.era;
                if is_told {
                    claims[holder].record_restore(at(ms));
                    claims[holder].record_failure(at(ms));
                }
            }
            request(&mut claims[holder], &mut store, turn, target_revision, ms);
            if let Some(fence) = claims[holder].usable_fence(target_revision, at(0), at(ms)) {
                orders.push(SeenOrder { ms, holder, fence });
            }
        }
    }
    orders
}

fn request(
    claim: &mut OrderClaim,
    store: &mut ClaimStore,
    turn: &Turn,
    target_revision: u64,
    ms: u64,
) {
    let now = at(ms);
    let step = claim.next_step(turn.is_needed, target_revision, at(0), now);
    if step == ClaimStep::Wait {
        return;
    }
    if turn.transport == Transport::Lost {
        claim.record_failure(now);
        return;
    }
    let is_answered = turn.transport == Transport::Answered;
    match step {
        ClaimStep::Wait => {}
        ClaimStep::Acquire => match store.acquire(ms) {
            Some(grant) if is_answered => claim.record_acquired(grant, now, now),
            None if is_answered => claim.record_lost(now),
            _ => claim.record_failure(now),
        },
        ClaimStep::Renew(held) => match store.renew(held, ms) {
            true if is_answered => claim.record_renewed(now),
            false if is_answered => claim.record_lost(now),
            _ => claim.record_failure(now),
        },
        ClaimStep::Refresh(held) => match store.refresh(held) {
            Some(fence) if is_answered => claim.record_refreshed(fence, now),
            None if is_answered => claim.record_lost(now),
            _ => claim.record_failure(now),
        },
        ClaimStep::Release(lease) => {
            store.release(lease);
            claim.record_lost(now);
        }
    }
}

/// No random history of lost requests, lost answers and pauses makes an engine
/// see two holders with one fencing token, shortly after each other, or a token
/// that falls.
#[test]
fn claim_random_histories_keep_single_holder() {
    let config = Config {
        cases: 150,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let history = prop::collection::vec([any_turn(), any_turn(), any_turn()], 600);
    let with_takeover = Cell::new(0);
    let checked = runner.run(&history, |turns| {
        let orders = play(&turns);
        prop_assert_eq!(find_violation(&orders), None);
        let has_takeover = orders
            .windows(2)
            .any(|pair| pair[0].holder != pair[1].holder);
        with_takeover.set(with_takeover.get() + usize::from(has_takeover));
        Ok(())
    });
    if let Err(e) = checked {
        // The error lists the whole history.
        panic!("{}", e.to_string().chars().take(300).collect::<String>());
    }
    assert!(with_takeover.get() >= 50, "{} of 150", with_takeover.get());
}

/// The same while the store is restored from older copies, several times: the
/// claim that it forgets may still be used by a holder that does not know.
#[test]
fn claim_random_histories_with_restores_keep_single_holder() {
    let config = Config {
        cases: 100,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[27; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let turns = prop::collection::vec([any_turn(), any_turn(), any_turn()], 600);
    let restores = prop::collection::vec(60..600_usize, 1..4);
    let checked = runner.run(&(turns, restores), |(turns, restores)| {
        let orders = play_with_restores(&turns, &restores, true);
        prop_assert_eq!(find_violation(&orders), None);
        Ok(())
    });
    if let Err(e) = checked {
        panic!("{}", e.to_string().chars().take(300).collect::<String>());
    }
}

/// The holder dies: another one orders within the rest of the claim, the time
/// until its next try and the delay of a new holder.
#[test]
fn claim_holder_lost_next_orders_after_delay() {
    let calm = Turn {
        pause: 0,
        is_needed: true,
        transport: Transport::Answered,
    };
    let dies = Turn { pause: 255, ..calm };
    let mut turns = vec![[calm; 3]; 250];
    turns[100][0] = dies;
    let orders = play(&turns);
    let is_later = |order: &&SeenOrder| order.holder != 0;
    let first = orders.iter().find(is_later).expect("another holder");
    assert!(first.ms >= 10_000 + HOLDER_CHANGE_MS, "{first:?}");
    assert!(first.ms <= 10_000 + 4_000 + 4_000 + 3_300, "{first:?}");
}

/// A holder with a token below a new target's revision waits for a higher one.
#[test]
fn usable_fence_below_target_none() {
    let mut claim = OrderClaim::default();
    assert_eq!(claim.next_step(true, 40, at(0), at(0)), ClaimStep::Acquire);
    let grant = ClaimGrant {
        fence: 41,
        lease: 7,
    };
    claim.record_acquired(grant, at(0), at(10));
    assert_eq!(claim.usable_fence(40, at(0), at(3_300)), None);
    claim.record_renewed(at(3_000));
    assert_eq!(claim.usable_fence(40, at(0), at(3_300)), Some(41));
    assert_eq!(claim.usable_fence(50, at(0), at(3_300)), None);
    assert_eq!(
        claim.next_step(true, 50, at(0), at(3_300)),
        ClaimStep::Refresh(grant)
    );
    claim.record_refreshed(51, at(3_300));
    assert_eq!(claim.usable_fence(50, at(0), at(3_300)), Some(51));
}

/// A token from before an engine's term may be below one of its agent: the holder
/// waits for another.
#[test]
fn usable_fence_before_term_none() {
    let mut claim = OrderClaim::default();
    let grant = ClaimGrant {
        fence: 41,
        lease: 7,
    };
    claim.record_acquired(grant, at(0), at(10));
    claim.record_renewed(at(3_000));
    assert_eq!(claim.usable_fence(40, at(1_000), at(3_300)), None);
    let step = claim.next_step(true, 40, at(1_000), at(3_300));
    assert_eq!(step, ClaimStep::Refresh(grant));
    claim.record_refreshed(43, at(3_300));
    assert_eq!(claim.usable_fence(40, at(1_000), at(3_300)), Some(43));
}

/// The checker rejects each kind of broken history.
#[rstest]
#[case::turn([(0, 0, 5), (2_000, 1, 6)], "two holders shortly after each other")]
#[case::token([(0, 0, 5), (4_000, 1, 5)], "two holders with one fencing token")]
#[case::falls([(0, 0, 5), (4_000, 1, 4)], "lower fencing token after a higher one")]
fn find_violation_broken_history_found(
    #[case] orders: [(u64, usize, u64); 2],
    #[case] expected: &str,
) {
    let orders = orders.map(|(ms, holder, fence)| SeenOrder { ms, holder, fence });
    assert_eq!(find_violation(&orders), Some(expected));
}

/// A holder that does not know of a restore goes on until its next renewal. Without
/// the wait after a restore, the next holder begins too soon.
#[test]
fn claim_restore_next_holder_waits_for_unaware_one() {
    let calm = Turn {
        pause: 0,
        is_needed: true,
        transport: Transport::Answered,
    };
    let play_restore = |step: usize, is_told: bool| {
        let orders = play_with_restores(&vec![[calm; 3]; 300], &[step], is_told);
        find_violation(&orders)
    };
    assert!((100..150).all(|step| play_restore(step, true).is_none()));
    assert!((100..150).any(|step| play_restore(step, false).is_some()));
}
