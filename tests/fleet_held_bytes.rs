//! Tests what a process may hold for its callers, without network.

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use slotmap::SlotMap;
use teaseldrum::core::AccountName;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::fleet::BackendKey;
use teaseldrum::core::fleet::HeldBytes;
use teaseldrum::core::fleet::HoldDecision;
use teaseldrum::core::fleet::HoldPurpose;
use teaseldrum::core::fleet::Holder;
use teaseldrum::core::fleet::ReaderProgress;
use teaseldrum::core::fleet::ServerBytes;

const MB: usize = 1_000_000;

/// Returns a connection of an account. Accounts share no connections.
fn holder(account: &str, port: u16) -> Holder {
    let host = account
        .bytes()
        .fold(0_u32, |host, byte| host.wrapping_mul(31) + u32::from(byte));
    Holder {
        account: (!account.is_empty()).then(|| AccountName::from(account)),
        connection: Some(SocketAddr::from((host.to_be_bytes(), port))),
        server: None,
    }
}

/// Returns a connection of an account for a response of the server `number`.
fn response_holder(account: &str, port: u16, number: u8) -> Holder {
    Holder {
        server: Some(SocketAddr::from(([10, 0, 0, number], 8_000))),
        ..holder(account, port)
    }
}

/// Reserves in steps of `bytes` on ever new connections until it is refused or has to
/// wait. Returns what is held then.
fn fill(held: &mut HeldBytes, account: &str, bytes: usize, purpose: HoldPurpose) -> usize {
    let mut own = 0;
    for port in 1..=u16::MAX {
        if held.reserve(&holder(account, port), bytes, purpose) != HoldDecision::Held {
            break;
        }
        own += bytes;
    }
    own
}

/// Guards against one account that takes the memory of the others: bodies of one account
/// on any number of connections leave room for a body and a response of another.
#[rstest]
#[case::one_account(1)]
#[case::several_accounts(6)]
fn reserve_leaves_room_for_other_accounts(#[case] hogs: usize) {
    let mut held = HeldBytes::with_shares(80 * MB);
    for hog in 0..hogs {
        fill(
            &mut held,
            &format!("hog-{hog}"),
            MB / 4,
            HoldPurpose::NewBody,
        );
    }
    let other = holder("other", 1);
    let body = held.reserve(&other, MB, HoldPurpose::NewBody);
    assert_eq!(body, HoldDecision::Held);
    let response = held.reserve(&other, MB, HoldPurpose::RunningCall);
    assert_eq!(response, HoldDecision::Held);
}

/// Guards against send buffers of slow readers that take the memory of running calls, or
/// those of one account that take the buffers of the others.
#[rstest]
#[case::one_account(1)]
#[case::several_accounts(6)]
fn reserve_send_buffers_leave_room_for_calls(#[case] hogs: usize) {
    let mut held = HeldBytes::with_shares(80 * MB);
    let mut own = 0;
    for hog in 0..hogs {
        let hog = format!("hog-{hog}");
        own += fill(&mut held, &hog, MB / 8, HoldPurpose::SendBuffer);
    }
    assert!(own <= 40 * MB, "{own} bytes of send buffers");
    for (account, port) in [("other", 1), ("hog-0", 1)] {
        let own = holder(account, port);
        for purpose in [HoldPurpose::RunningCall, HoldPurpose::NewBody] {
            let decision = held.reserve(&own, MB, purpose);
            assert_eq!(decision, HoldDecision::Held, "{account} {purpose:?}");
        }
    }
    let other = held.reserve(&holder("other", 2), MB, HoldPurpose::SendBuffer);
    assert_eq!(other, HoldDecision::Held);
}

/// Guards against running calls that fail because new bodies took the whole budget.
#[test]
fn reserve_new_bodies_leave_room_for_running_calls() {
    let mut held = HeldBytes::with_shares(80 * MB);
    for account in 0..200 {
        fill(
            &mut held,
            &account.to_string(),
            MB / 4,
            HoldPurpose::NewBody,
        );
    }
    assert!(held.total() <= 60 * MB);
    let running = held.reserve(&holder("0", 1), MB / 100, HoldPurpose::RunningCall);
    assert_eq!(running, HoldDecision::Held);
}

/// Guards against servers whose responses keep new calls out, of the accounts that they
/// are for and of others.
#[rstest]
#[case::one_account(1)]
#[case::many_accounts(40)]
fn reserve_responses_leave_room_for_new_bodies(#[case] hogs: u16) {
    let mut held = HeldBytes::with_shares(80 * MB);
    for hog in 0..hogs {
        let account = format!("hog-{hog}");
        fill(&mut held, &account, MB / 4, HoldPurpose::RunningCall);
    }
    assert!(held.total() <= 60 * MB);
    for account in ["hog-0", "other"] {
        let body = held.reserve(&holder(account, 9_000), MB, HoldPurpose::NewBody);
        assert_eq!(body, HoldDecision::Held, "{account}");
    }
}

/// Guards against a server whose responses to many accounts keep those of other servers
/// waiting.
#[test]
fn reserve_responses_of_one_server_leave_room_for_others() {
    let mut held = HeldBytes::with_shares(80 * MB);
    for port in 1..1_000 {
        let own = response_holder(&format!("account-{}", port % 40), port, 1);
        held.reserve(&own, MB / 4, HoldPurpose::RunningCall);
    }
    assert!(held.total() <= 27 * MB);
    let more = response_holder("account-0", 9_000, 1);
    let more = held.reserve(&more, MB, HoldPurpose::RunningCall);
    assert_eq!(more, HoldDecision::Wait);
    let other = response_holder("account-0", 9_001, 2);
    let other = held.reserve(&other, MB, HoldPurpose::RunningCall);
    assert_eq!(other, HoldDecision::Held);
}

/// Guards against accounts that read slowly and keep the responses of the same server to
/// another account waiting: what has arrived whole counts toward its account alone.
#[test]
fn reserve_responses_to_slow_readers_leave_room_at_their_server() {
    let mut held = HeldBytes::with_shares(54 * MB);
    for port in 1..=200 {
        let account = ["slow-0", "slow-1"][usize::from(port) % 2];
        let mut own = response_holder(account, port, 1);
        if held.reserve(&own, MB, HoldPurpose::RunningCall) == HoldDecision::Held {
            held.end_receipt(&mut own, MB);
        }
    }
    for port in 1..=5 {
        let own = response_holder("reads-at-once", port, 1);
        let decision = held.reserve(&own, MB, HoldPurpose::RunningCall);
        assert_eq!(decision, HoldDecision::Held, "{port}");
    }
    assert!(held.total() > 18 * MB, "{} bytes", held.total());
}

/// Guards against several accounts that read slowly and take all that responses may have.
#[rstest]
#[case::one_account(1)]
#[case::several_accounts(6)]
fn reserve_responses_of_slow_accounts_leave_room_for_others(#[case] hogs: usize) {
    let mut held = HeldBytes::with_shares(80 * MB);
    for hog in 0..hogs {
        let account = format!("hog-{hog}");
        fill(&mut held, &account, MB / 4, HoldPurpose::RunningCall);
    }
    let response = held.reserve(&holder("other", 1), MB, HoldPurpose::RunningCall);
    assert_eq!(response, HoldDecision::Held);
}

/// Guards against one account whose unfinished responses keep those of the same server to
/// others waiting.
#[test]
fn reserve_unfinished_responses_of_account_leave_room_at_their_server() {
    let mut held = HeldBytes::with_shares(80 * MB);
    for port in 1..=200 {
        let own = response_holder("hog", port, 1);
        held.reserve(&own, MB / 4, HoldPurpose::RunningCall);
    }
    let other = response_holder("other", 1, 1);
    let response = held.reserve(&other, MB, HoldPurpose::RunningCall);
    assert_eq!(response, HoldDecision::Held);
}

/// Guards against a response that is allowed in calm and waits for ever.
#[test]
fn reserve_largest_response_alone() {
    let mut held = HeldBytes::with_shares(80 * MB);
    let own = response_holder("a", 1, 1);
    let more = held.reserve(&own, 20 * MB + 1, HoldPurpose::RunningCall);
    assert_eq!(more, HoldDecision::Refuse);
    let response = held.reserve(&own, 20 * MB, HoldPurpose::RunningCall);
    assert_eq!(response, HoldDecision::Held);
}

/// Guards against running calls of an account over its share that never end: a small
/// chunk for a connection that holds none is always held within the budget.
#[test]
fn reserve_small_chunk_over_share() {
    let mut held = HeldBytes::with_shares(80 * MB);
    fill(&mut held, "hog", MB, HoldPurpose::RunningCall);
    let waiting = held.reserve(&holder("hog", 9_000), MB, HoldPurpose::RunningCall);
    assert_eq!(waiting, HoldDecision::Wait);
    let chunk = held.reserve(&holder("hog", 9_000), 16 * 1_024, HoldPurpose::RunningCall);
    assert_eq!(chunk, HoldDecision::Held);
}

/// Guards against one connection that takes the share of its whole account, and against
/// waiting for room that there never is.
#[test]
fn reserve_bounds_connection() {
    let mut held = HeldBytes::with_shares(80 * MB);
    let own = holder("a", 1);
    let body = held.reserve(&own, 8 * MB, HoldPurpose::NewBody);
    assert_eq!(body, HoldDecision::Held);
    let response = held.reserve(&own, 8 * MB, HoldPurpose::RunningCall);
    assert_eq!(response, HoldDecision::Held);
    let more = held.reserve(&own, 16 * MB, HoldPurpose::RunningCall);
    assert_eq!(more, HoldDecision::Refuse);
}

/// Guards against a body within the limits that is refused in calm because it exceeds a
/// share, and against such bodies beside others.
#[test]
fn reserve_only_body() {
    let mut held = HeldBytes::with_shares(80 * MB);
    let (own, other) = (holder("a", 1), holder("b", 1));
    assert_eq!(
        held.reserve(&own, 40 * MB, HoldPurpose::NewBody),
        HoldDecision::Held
    );
    assert_eq!(
        held.reserve(&own, 1, HoldPurpose::NewBody),
        HoldDecision::Refuse
    );
    assert_eq!(
        held.reserve(&other, 40 * MB, HoldPurpose::NewBody),
        HoldDecision::Refuse
    );
    assert_eq!(
        held.reserve(&other, MB, HoldPurpose::NewBody),
        HoldDecision::Held
    );
}

/// Guards against shares where the feature is off: then one account may take everything,
/// and what does not fit is refused at once.
#[test]
fn reserve_without_shares() {
    let mut held = HeldBytes::without_shares(10);
    let own = holder("a", 1);
    assert_eq!(
        held.reserve(&own, 10, HoldPurpose::NewBody),
        HoldDecision::Held
    );
    let refused = held.reserve(&own, 1, HoldPurpose::RunningCall);
    assert_eq!(refused, HoldDecision::Refuse);
    held.release(&own, 10, HoldPurpose::NewBody);
    assert_eq!(held.total(), 0);
}

proptest! {
    /// Guards against bytes beyond the budget, and against counts that remain or are lost
    /// in any order of reservations and releases.
    #[test]
    fn reserve_and_release_any_order(
        steps in prop::collection::vec((0_u16..5, 1_u16..9, 1_usize..200_000, any::<[bool; 3]>()), 1..300),
    ) {
        let mut held = HeldBytes::with_shares(MB);
        let mut open: Vec<(Holder, usize, HoldPurpose)> = Vec::new();
        for (account, port, bytes, [is_new, releases, ends_receipt]) in steps {
            if releases && !open.is_empty() {
                let (holder, bytes, purpose) = open.swap_remove(bytes % open.len());
                held.release(&holder, bytes, purpose);
            }
            let mut own = response_holder(&account.to_string(), port, port as u8 % 3);
            let purpose = if is_new { HoldPurpose::NewBody } else { HoldPurpose::RunningCall };
            if held.reserve(&own, bytes, purpose) == HoldDecision::Held {
                if !is_new && ends_receipt {
                    held.end_receipt(&mut own, bytes);
                }
                open.push((own, bytes, purpose));
            }
            let sum: usize = open.iter().map(|(_, bytes, _)| bytes).sum();
            prop_assert_eq!(held.total(), sum);
            prop_assert!(held.total() <= MB);
        }
        for (holder, bytes, purpose) in open.drain(..) {
            held.release(&holder, bytes, purpose);
        }
        prop_assert_eq!(held.total(), 0);
        prop_assert_eq!(held.count_holders(), (0, 0, 0));
    }
}

/// Guards against slow but steady readers that are disconnected, and against readers
/// that stopped and are not.
#[test]
fn reader_progress_slow_and_stopped() {
    let timeout = Duration::from_secs(10);
    let at = |s| MonotonicTime::ZERO + Duration::from_secs(s);
    let mut reader = ReaderProgress::new(timeout);
    assert_eq!(reader.time_left(at(100)), None);
    for s in (100..200).step_by(9) {
        reader.record_blocked(at(s));
        reader.record_blocked(at(s + 8));
        assert!(!reader.has_stopped(at(s + 9)));
        reader.record_progress();
    }
    reader.record_blocked(at(300));
    reader.record_blocked(at(309));
    assert_eq!(reader.time_left(at(309)), Some(Duration::from_secs(1)));
    assert!(reader.has_stopped(at(310)));
}

/// Guards against servers that are sent more than they hold, and against a server that
/// is never sent anything because many processes share it.
#[rstest]
#[case::plain_server(None, 1_000)]
#[case::engine(Some(500), 2_000)]
fn server_bytes_bounded_by_capacity(#[case] tokens: Option<u64>, #[case] capacity: u64) {
    let mut keys = SlotMap::<BackendKey, ()>::with_key();
    let (server, other) = (keys.insert(()), keys.insert(()));
    let mut outstanding = ServerBytes::new(1_000);
    assert!(!outstanding.has_room(server, capacity + 1, tokens, 1));
    assert!(outstanding.has_room(server, capacity, tokens, 50));
    let mut sent = 0;
    while outstanding.has_room(server, 100, tokens, 4) {
        outstanding.begin(server, 100);
        sent += 100;
    }
    assert!(sent * 4 <= capacity && (sent + 100) * 4 > capacity);
    assert!(outstanding.has_room(other, 100, tokens, 4));
    for _ in 0..sent / 100 {
        outstanding.end(server, 100);
    }
    assert_eq!(outstanding.outstanding(server), 0);
}
