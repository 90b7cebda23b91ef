//! Backend servers during outages of the store.

use std::net::SocketAddr;
use std::time::Duration;

use teaseldrum::core::MonotonicTime;
use teaseldrum::core::ServerName;
use teaseldrum::core::fleet::Build;
use teaseldrum::core::fleet::Directory;
use teaseldrum::core::fleet::Member;
use teaseldrum::core::fleet::MemberChange;
use teaseldrum::core::fleet::MemberState;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

fn member(name: &str) -> Member {
    Member {
        name: ServerName::from(name),
        service: "booking".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        zone: "a".into(),
        slots: 6,
        state: MemberState::Ready,
        models: Vec::new(),
        started_at_ms: None,
        build: Build::from("v1"),
    }
}

fn removed(name: &str) -> MemberChange {
    MemberChange::Removed(ServerName::from(name))
}

#[test]
fn apply_removal_while_store_is_available_takes_effect_immediately() {
    let mut directory = Directory::default();
    directory.apply(MemberChange::Listed(member("a")), at(0));
    assert_eq!(directory.apply(removed("a"), at(10)), Some(removed("a")));
}

#[test]
fn apply_removal_during_store_outage_is_deferred() {
    let mut directory = Directory::default();
    directory.apply(MemberChange::Listed(member("a")), at(0));
    directory.apply(MemberChange::Listed(member("b")), at(0));
    directory.record_store_failure();
    assert_eq!(directory.apply(removed("a"), at(1_500)), None);
    assert_eq!(directory.apply(removed("b"), at(1_500)), None);
    for ms in (1_500..60_000).step_by(500) {
        assert_eq!(
            directory.apply_deferred_removals(at(ms)),
            Vec::new(),
            "at {ms} ms"
        );
    }
    directory.record_store_answer(at(60_000));
    directory.apply(MemberChange::Listed(member("a")), at(61_000));
    assert_eq!(directory.apply_deferred_removals(at(61_900)), Vec::new());
    assert_eq!(
        directory.apply_deferred_removals(at(62_100)),
        vec![removed("b")]
    );
    assert_eq!(directory.len(), 1);
}

/// Seed 955226293657 of store-away-and-kills: a server that left 2.6 s after
/// the store's recovery was treated as expired and kept receiving calls for too
/// long.
#[test]
fn apply_removal_after_grace_period_takes_effect_immediately() {
    let mut directory = Directory::default();
    directory.apply(MemberChange::Listed(member("a")), at(0));
    directory.record_store_failure();
    directory.record_store_answer(at(13_400));
    assert_eq!(
        directory.apply(removed("a"), at(16_000)),
        Some(removed("a"))
    );
}

#[test]
fn replace_returns_only_differences() {
    let mut directory = Directory::default();
    directory.replace(vec![member("a"), member("b")], at(0));
    let changes = directory.replace(vec![member("a"), member("c")], at(10));
    assert_eq!(
        changes,
        vec![MemberChange::Listed(member("c")), removed("b")]
    );
}
