//! Connections that a process closes when it has too many.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use rstest::rstest;
use teaseldrum::core::ConnectionUse;
use teaseldrum::core::ConnectionView;
use teaseldrum::core::choose_least_useful;

fn view(key: u32, host: u8, usage: ConnectionUse, used_for_ms: u64) -> ConnectionView<u32> {
    ConnectionView {
        key,
        host: IpAddr::V4(Ipv4Addr::new(10, 0, 0, host)),
        usage,
        used_for: Duration::from_millis(used_for_ms),
    }
}

/// A crowd that holds connections: those without a request are closed first, whatever the
/// others wait for.
#[rstest]
#[case::idle_first(ConnectionUse::Idle, ConnectionUse::Head)]
#[case::head_before_body(ConnectionUse::Head, ConnectionUse::Body)]
#[case::body_before_blocked(ConnectionUse::Body, ConnectionUse::Blocked)]
#[case::blocked_before_working(ConnectionUse::Blocked, ConnectionUse::Working)]
fn choose_least_useful_by_use(#[case] first: ConnectionUse, #[case] later: ConnectionUse) {
    let connections = [view(1, 1, later, 60_000), view(2, 2, first, 5_000)];
    assert_eq!(choose_least_useful(&connections), Some(2));
}

/// One host with many connections: it loses its own before others lose theirs.
#[test]
fn choose_least_useful_by_host() {
    let mut connections = vec![view(0, 1, ConnectionUse::Idle, 60_000)];
    connections.extend((1..4).map(|key| view(key, 2, ConnectionUse::Idle, 1_000 * u64::from(key))));
    assert_eq!(choose_least_useful(&connections), Some(3));
}

/// Connections whose calls are at work, and those that are too new to be judged, are kept.
#[test]
fn choose_least_useful_none() {
    let connections = [
        view(1, 1, ConnectionUse::Working, 600_000),
        view(2, 2, ConnectionUse::Idle, 9),
        view(3, 3, ConnectionUse::Head, 49),
        view(4, 4, ConnectionUse::Body, 99),
        view(5, 5, ConnectionUse::Blocked, 199),
    ];
    assert_eq!(choose_least_useful(&connections), None);
}

/// A crowd that connects again at once: the connections of hosts with more than their
/// share are closed sooner, so that others need not wait behind them.
#[rstest]
#[case::many(9, 50, Some(8))]
#[case::many_just_begun(9, 49, None)]
#[case::few(1, 499, None)]
#[case::few_later(1, 500, Some(0))]
fn choose_least_useful_over_share(
    #[case] of_host: u32,
    #[case] used_for_ms: u64,
    #[case] chosen: Option<u32>,
) {
    let crowd = (0..of_host).map(|key| view(key, 1, ConnectionUse::Head, used_for_ms));
    let others = (20..24).map(|key| view(key, key as u8, ConnectionUse::Working, 60_000));
    let more = (30..40).map(|key| view(key, key as u8 % 4 + 20, ConnectionUse::Working, 60_000));
    let connections: Vec<_> = crowd.chain(others).chain(more).collect();
    assert_eq!(choose_least_useful(&connections), chosen);
}
