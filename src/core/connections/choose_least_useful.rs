//! Which connection is closed in favour of a new one.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::IpAddr;

use super::ConnectionView;

/// Factor by which the times are shorter after which connections may be closed of a host
/// that has more than its share of them.
const OVER_SHARE_DIVISOR: u32 = 10;

/// Returns the connection to be closed in favour of a new one: the least useful, among
/// those the one whose host has most connections, and among those the oldest. Connections
/// are spared for a while, shorter if their host has more than its share. Returns `None`
/// if all are needed.
pub fn choose_least_useful<K: Copy>(connections: &[ConnectionView<K>]) -> Option<K> {
    let mut by_host: HashMap<IpAddr, usize> = HashMap::new();
    for connection in connections {
        *by_host.entry(connection.host).or_default() += 1;
    }
    let of_host = |host: IpAddr| by_host.get(&host).copied().unwrap_or(0);
    // The new connection may be the first of another host.
    let share = connections.len() / (by_host.len() + 1);
    let may_close = |c: &&ConnectionView<K>| {
        let divisor = if of_host(c.host) > share {
            OVER_SHARE_DIVISOR
        } else {
            1
        };
        let spared_for = c.usage.spared_for();
        spared_for.is_some_and(|spared_for| c.used_for >= spared_for / divisor)
    };
    let rank = |c: &&ConnectionView<K>| (Reverse(c.usage), of_host(c.host), c.used_for);
    let chosen = connections.iter().filter(may_close).max_by_key(rank);
    chosen.map(|connection| connection.key)
}
