//! When the known target versions of weights were last the newest.

use std::time::Duration;

use teaseldrum::core::MonotonicTime;
use teaseldrum::core::fleet::TargetsConfirmed;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

/// Guards against a process that takes what it hears first for the newest: peers and
/// stores that answer may be behind, or may not have been asked for the records.
#[test]
fn at_before_first_read_is_unknown() {
    let mut confirmed = TargetsConfirmed::default();
    confirmed.record_peer(at(1));
    confirmed.record_ping(at(2));
    assert_eq!(confirmed.at(), None);
    confirmed.record_read(at(3));
    assert_eq!(confirmed.at(), Some(at(3)));
}

/// Guards against a list of the store that was long on its way and passes for the present:
/// a newer version may have been named since it was read.
#[test]
fn record_full_read_confirms_when_it_was_asked_for() {
    let mut confirmed = TargetsConfirmed::default();
    confirmed.record_full_read(at(1), at(900));
    assert_eq!(confirmed.at(), Some(at(1)));
    confirmed.record_peer(at(1_000));
    confirmed.record_full_read(at(950), at(1_100));
    assert_eq!(confirmed.at(), Some(at(1_000)));
}

/// Guards against a store that answers again before the changes that were missed have
/// been read.
#[test]
fn record_ping_after_loss_confirms_nothing() {
    let mut confirmed = TargetsConfirmed::default();
    confirmed.record_read(at(1));
    confirmed.record_ping(at(2));
    assert_eq!(confirmed.at(), Some(at(2)));
    confirmed.record_lost();
    confirmed.record_ping(at(3));
    assert_eq!(confirmed.at(), Some(at(2)));
    confirmed.record_read(at(4));
    confirmed.record_ping(at(5));
    assert_eq!(confirmed.at(), Some(at(5)));
}

#[test]
fn record_peer_while_store_is_lost_confirms() {
    let mut confirmed = TargetsConfirmed::default();
    confirmed.record_read(at(1));
    confirmed.record_lost();
    confirmed.record_peer(at(2));
    assert_eq!(confirmed.at(), Some(at(2)));
}

/// Guards against news that came while this process stood still, and passes for new when
/// it is read: a newer version may have been named since. Review case 11.
#[test]
fn record_after_standstill_confirms_nothing_until_news_is_read() {
    let mut confirmed = TargetsConfirmed::default();
    for ms in [1, 100, 200] {
        confirmed.record_run(at(ms));
        confirmed.record_read(at(ms));
    }
    confirmed.record_run(at(3_100));
    confirmed.record_peer(at(3_100));
    confirmed.record_read(at(3_101));
    assert_eq!(confirmed.at(), Some(at(200)));
    for ms in [3_200, 3_300, 3_400] {
        confirmed.record_run(at(ms));
    }
    confirmed.record_peer(at(3_400));
    assert_eq!(confirmed.at(), Some(at(3_400)));
}

/// Guards against an answer to an old ping that takes back what was learned since.
#[test]
fn record_ping_sent_before_last_news_changes_nothing() {
    let mut confirmed = TargetsConfirmed::default();
    confirmed.record_read(at(10));
    confirmed.record_ping(at(5));
    assert_eq!(confirmed.at(), Some(at(10)));
}
