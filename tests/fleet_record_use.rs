//! Which of several records at one address name servers that are used.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::ServerName;
use teaseldrum::core::fleet::Build;
use teaseldrum::core::fleet::Dispatcher;
use teaseldrum::core::fleet::Member;
use teaseldrum::core::fleet::MemberState;
use teaseldrum::core::fleet::RecordUse;

const SERVICES: [&str; 2] = ["booking", "drafting"];

/// Longer than a server is ever left out after another one has answered at its address.
const LATER_MS: u64 = 17_000;

/// Longer than it is left out the first time.
const FIRST_PERIOD_MS: u64 = 2_100;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8_000))
}

fn record(name: &str, service: &str, number: u8, started_at_ms: Option<u64>) -> Member {
    Member {
        name: ServerName::from(name),
        service: service.into(),
        address: address(number),
        zone: "a".into(),
        slots: 6,
        state: MemberState::Ready,
        models: Vec::new(),
        started_at_ms,
        build: Build::from("v1"),
    }
}

fn server(number: u8) -> Member {
    record(&format!("i-{number}"), "booking", number, Some(5))
}

fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a");
    dispatcher.set_services(SERVICES);
    dispatcher
}

fn is_used(dispatcher: &Dispatcher, name: &str) -> bool {
    dispatcher.find_backend(&ServerName::from(name)).is_some()
}

/// Guards against sound servers that get no calls because another writer lists their
/// addresses with a later start: under a service that the configuration does not name,
/// or with fields that say nothing of the order of starts.
#[rstest]
#[case::unknown_service(record("odd", "inventory", 1, Some(9)))]
#[case::no_service(record("odd", "", 1, Some(u64::MAX)))]
#[case::no_start(record("odd", "booking", 1, None))]
fn upsert_member_record_that_names_no_server_supersedes_none(
    #[case] odd: Member,
    #[values(false, true)] is_first: bool,
) {
    let mut dispatcher = dispatcher();
    let records = if is_first {
        [odd, server(1)]
    } else {
        [server(1), odd]
    };
    for record in records {
        dispatcher.upsert_member(record);
    }
    assert!(is_used(&dispatcher, "i-1"));
    dispatcher.remove_member(&ServerName::from("odd"));
    assert!(is_used(&dispatcher, "i-1"));
}

/// Guards against a record without a start that is taken for the earliest one.
#[test]
fn upsert_member_server_without_start_is_not_superseded() {
    let mut dispatcher = dispatcher();
    dispatcher.upsert_member(record("i-1", "booking", 1, None));
    dispatcher.upsert_member(record("i-2", "booking", 1, Some(9)));
    assert!(is_used(&dispatcher, "i-1"));
}

/// Guards against agents that are followed, and engines that are ordered, by the name of
/// a record of another writer.
#[test]
fn list_backends_unknown_service_is_left_out() {
    let mut dispatcher = dispatcher();
    dispatcher.upsert_member(server(1));
    dispatcher.upsert_member(record("odd", "inventory", 1, Some(9)));
    let names = dispatcher.list_backends().map(|view| &view.member.name);
    assert_eq!(names.collect::<Vec<_>>(), [&ServerName::from("i-1")]);
    assert!(!is_used(&dispatcher, "odd"));
}

/// Guards against a server that stays out of service after the record that superseded it
/// has been removed, moved, or written again with an unknown service.
#[rstest]
#[case::removed(None)]
#[case::moved(Some(record("i-2", "drafting", 2, Some(9))))]
#[case::other_service(Some(record("i-2", "inventory", 1, Some(9))))]
#[case::earlier_start(Some(record("i-2", "drafting", 1, Some(1))))]
fn upsert_member_superseding_record_ends_earlier_is_used(#[case] change: Option<Member>) {
    let mut dispatcher = dispatcher();
    dispatcher.upsert_member(server(1));
    let later = record("i-2", "drafting", 1, Some(9));
    for _ in 0..2 {
        dispatcher.upsert_member(later.clone());
        assert!(!is_used(&dispatcher, "i-1"));
        match &change {
            None => dispatcher.remove_member(&later.name),
            Some(record) => {
                dispatcher.upsert_member(record.clone());
            }
        }
        assert!(is_used(&dispatcher, "i-1"));
    }
}

/// Guards against a decision that outlives the configuration that it was made under.
#[test]
fn set_services_changed_decides_anew() {
    let mut dispatcher = Dispatcher::new("a");
    dispatcher.upsert_member(server(1));
    dispatcher.upsert_member(record("i-2", "inventory", 1, Some(9)));
    // Before the first configuration, no service is unknown.
    assert!(!is_used(&dispatcher, "i-1"));
    dispatcher.set_services(SERVICES);
    assert!(is_used(&dispatcher, "i-1"));
    dispatcher.set_services(["booking", "inventory"]);
    assert!(!is_used(&dispatcher, "i-1") && is_used(&dispatcher, "i-2"));
    dispatcher.set_services(SERVICES);
    assert!(is_used(&dispatcher, "i-1") && !is_used(&dispatcher, "i-2"));
}

/// Guards against a server that gets no calls for good because another one has answered
/// once at its address.
#[test]
fn mark_replaced_server_is_tried_again() {
    let mut dispatcher = dispatcher();
    let key = dispatcher.upsert_member(server(1));
    for round in 0..3 {
        let now = LATER_MS * round;
        dispatcher.mark_replaced(key, at(now));
        let changes = dispatcher.refresh_record_uses(at(now + 1));
        assert!(matches!(changes[..], [(_, RecordUse::Replaced { .. })]));
        assert!(!is_used(&dispatcher, "i-1"));
        let changes = dispatcher.refresh_record_uses(at(now + LATER_MS));
        assert!(matches!(changes[..], [(_, RecordUse::Used)]));
        assert!(is_used(&dispatcher, "i-1"));
    }
    dispatcher.mark_replaced(key, at(LATER_MS * 3));
    dispatcher.upsert_member(Member {
        zone: "b".into(),
        ..server(1)
    });
    assert!(is_used(&dispatcher, "i-1"));
}

/// Guards against a server that is gone, whose address others have, and that is tried so
/// often that it uses up the retries of its service: 24 entries may send it few calls.
#[test]
fn mark_replaced_server_is_tried_less_often_each_time() {
    let mut dispatcher = dispatcher();
    let key = dispatcher.upsert_member(server(1));
    let mut tries = 0;
    for ms in (0..60_000).step_by(100) {
        dispatcher.refresh_record_uses(at(ms));
        if is_used(&dispatcher, "i-1") {
            tries += 1;
            dispatcher.mark_replaced(key, at(ms));
        }
    }
    assert_eq!(tries, 6);
    let moved = Member {
        started_at_ms: Some(6),
        ..server(1)
    };
    let key = dispatcher.upsert_member(moved);
    dispatcher.mark_replaced(key, at(60_000));
    dispatcher.refresh_record_uses(at(60_000 + FIRST_PERIOD_MS));
    assert!(is_used(&dispatcher, "i-1"));
}

/// Guards against a record that keeps a sound server out of service although calls to it
/// were answered by that server.
#[test]
fn mark_replaced_record_supersedes_none_until_it_changes() {
    let mut dispatcher = dispatcher();
    dispatcher.upsert_member(server(1));
    let later = record("i-2", "drafting", 1, Some(9));
    let key = dispatcher.upsert_member(later.clone());
    dispatcher.mark_replaced(key, at(0));
    assert!(is_used(&dispatcher, "i-1"));
    dispatcher.refresh_record_uses(at(LATER_MS));
    assert!(is_used(&dispatcher, "i-1"));
    dispatcher.upsert_member(Member {
        started_at_ms: Some(10),
        ..later
    });
    assert!(!is_used(&dispatcher, "i-1"));
}

#[derive(Debug, Clone)]
enum Step {
    Write(Member),
    Remove(String),
    Name(Vec<&'static str>),
    Refute(String),
    Wait(u64),
}

fn odd_name() -> impl Strategy<Value = String> {
    (0..4_u8).prop_map(|number| format!("odd-{number}"))
}

fn step() -> impl Strategy<Value = Step> {
    let service = prop::sample::select(vec!["booking", "drafting", "inventory"]);
    let start = prop::option::of(1..10_u64);
    let written = (odd_name(), service, 1..4_u8, start)
        .prop_map(|(name, service, number, start)| record(&name, service, number, start));
    let services = prop::sample::subsequence(vec!["booking", "drafting", "inventory"], 0..=3);
    let any_name = prop_oneof![
        odd_name(),
        (1..4_u8).prop_map(|number| format!("i-{number}"))
    ];
    prop_oneof![
        4 => written.prop_map(Step::Write),
        2 => odd_name().prop_map(Step::Remove),
        1 => services.prop_map(Step::Name),
        2 => any_name.prop_map(Step::Refute),
        1 => (0..LATER_MS).prop_map(Step::Wait),
    ]
}

proptest! {
    /// Guards against any series of records, configurations and answers after which a
    /// server stays out of service although nothing speaks against it any more.
    #[test]
    fn record_use_after_any_history_depends_on_present_only(
        steps in prop::collection::vec(step(), 0..40),
    ) {
        let mut dispatcher = dispatcher();
        let mut now = 0;
        let mut keys = HashMap::new();
        for number in 1..4 {
            let server = server(number);
            keys.insert(server.name.to_string(), dispatcher.upsert_member(server));
        }
        for step in steps {
            match step {
                Step::Write(member) => {
                    keys.insert(member.name.to_string(), dispatcher.upsert_member(member));
                }
                Step::Remove(name) => dispatcher.remove_member(&ServerName::from(name.as_str())),
                Step::Name(services) => dispatcher.set_services(services),
                Step::Refute(name) => {
                    if let Some(key) = keys.get(&name) {
                        dispatcher.mark_replaced(*key, at(now));
                    }
                }
                Step::Wait(ms) => now += ms,
            }
            dispatcher.refresh_record_uses(at(now));
        }
        for number in 0..4 {
            dispatcher.remove_member(&ServerName::from(format!("odd-{number}").as_str()));
        }
        dispatcher.set_services(SERVICES);
        dispatcher.refresh_record_uses(at(now + LATER_MS));
        for number in 1..4 {
            let name = format!("i-{number}");
            prop_assert!(is_used(&dispatcher, &name), "{name}");
        }
    }
}
