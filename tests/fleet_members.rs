//! A large fleet in which a few entries read the list of backend servers from
//! the store and the others learn it from them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use teaseldrum::core::MonotonicTime;
use teaseldrum::core::ServerName;
use teaseldrum::core::fleet::Build;
use teaseldrum::core::fleet::Directory;
use teaseldrum::core::fleet::MAX_READING_ENTRIES;
use teaseldrum::core::fleet::Member;
use teaseldrum::core::fleet::MemberChange;
use teaseldrum::core::fleet::MemberLog;
use teaseldrum::core::fleet::MemberSource;
use teaseldrum::core::fleet::MemberState;
use teaseldrum::core::fleet::choose_member_source;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

fn server(number: u8, state: MemberState) -> Member {
    Member {
        name: ServerName::from(format!("i-{number}").as_str()),
        service: "drafting".into(),
        address: SocketAddr::from(([10, 0, 0, number], 8_000)),
        zone: "a".into(),
        slots: 16,
        state,
        models: Vec::new(),
        started_at_ms: Some(1),
        build: Build::from("v1"),
    }
}

fn listed(number: u8) -> MemberChange {
    MemberChange::Listed(server(number, MemberState::Ready))
}

fn removed(number: u8) -> MemberChange {
    MemberChange::Removed(server(number, MemberState::Ready).name)
}

fn names(directory: &Directory) -> BTreeSet<String> {
    let members = directory.list().into_iter();
    members.map(|member| member.name.to_string()).collect()
}

fn entry_names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("front-{number}")).collect()
}

/// Returns the source of each entry, all of which know each other.
fn choose_sources(entries: &[String]) -> BTreeMap<&str, MemberSource> {
    let choose = |own: &String| {
        let peers: Vec<String> = entries
            .iter()
            .filter(|name| *name != own)
            .cloned()
            .collect();
        choose_member_source(own, &peers)
    };
    entries
        .iter()
        .map(|own| (own.as_str(), choose(own)))
        .collect()
}

/// A small fleet reads the store everywhere.
#[test]
fn choose_source_small_fleet_reads_store() {
    let entries = entry_names(MAX_READING_ENTRIES);
    let sources = choose_sources(&entries);
    assert!(
        sources
            .values()
            .all(|source| *source == MemberSource::Store)
    );
}

/// Of 103 entries six read the store; all others name exactly these six, and no
/// reader is preferred by more than twice the mean.
#[test]
fn choose_source_large_fleet_spreads_over_few_readers() {
    let entries = entry_names(103);
    let sources = choose_sources(&entries);
    let is_reader = |name: &&str| sources[name] == MemberSource::Store;
    let readers: BTreeSet<&str> = sources.keys().copied().filter(is_reader).collect();
    assert_eq!(readers.len(), 6);
    let mut followers: BTreeMap<&str, usize> = BTreeMap::new();
    for source in sources.values() {
        let MemberSource::Peers(peers) = source else {
            continue;
        };
        let named: BTreeSet<&str> = peers.iter().map(String::as_str).collect();
        assert_eq!(named, readers);
        *followers.entry(peers[0].as_str()).or_default() += 1;
    }
    assert!(
        followers.values().all(|count| *count <= 32),
        "{followers:?}"
    );
}

/// The loss of readers makes others readers; those that remain stay readers.
#[test]
fn choose_source_readers_lost_keeps_others() {
    let entries = entry_names(103);
    let sources = choose_sources(&entries);
    let is_reader = |name: &&String| sources[name.as_str()] == MemberSource::Store;
    let readers: Vec<&String> = entries.iter().filter(is_reader).collect();
    let remaining: Vec<String> = entries
        .iter()
        .filter(|name| !readers[..3].contains(name))
        .cloned()
        .collect();
    let after = choose_sources(&remaining);
    let readers_after = after
        .values()
        .filter(|source| **source == MemberSource::Store);
    assert_eq!(readers_after.count(), 6);
    for reader in &readers[3..] {
        assert_eq!(after[reader.as_str()], MemberSource::Store);
    }
}

/// A follower that applies the log's changes, or the full list after it has
/// fallen behind, holds the list of the reader.
#[test]
fn log_followed_equals_reader() {
    let mut reader = Directory::default();
    let mut log = MemberLog::default();
    let mut follower = Directory::default();
    let mut known = 0;
    for step in 0..4_000_u64 {
        let number = (step * 7 % 50) as u8;
        let change = if step % 3 == 0 {
            removed(number)
        } else {
            listed(number)
        };
        if let Some(change) = reader.apply(change, at(step)) {
            log.push(change);
        }
        // Polls often at first, and then once after more changes than are kept.
        let is_poll = if step < 1_000 {
            step % 5 == 0
        } else {
            step == 3_999
        };
        if !is_poll {
            continue;
        }
        match log.changes_since(known) {
            Some(changes) => {
                for change in changes {
                    follower.adopt(change, at(step));
                }
            }
            None => {
                follower.adopt_all(reader.list(), at(step));
            }
        }
        known = log.next_number();
        assert_eq!(names(&follower), names(&reader), "step {step}");
    }
}

/// A reader defers removals while the store fails. A follower that cannot reach
/// the store itself still removes a server at once when the reader does, since
/// the reader has waited long enough.
#[test]
fn adopt_removal_store_failing_not_deferred_again() {
    let mut follower = Directory::default();
    follower.adopt(listed(1), at(0));
    follower.record_store_failure();
    assert_eq!(follower.apply(removed(1), at(10)), None);
    assert_eq!(follower.adopt(removed(1), at(20)), Some(removed(1)));
    assert!(follower.is_empty());
    assert!(follower.apply_deferred_removals(at(9_000)).is_empty());
}
