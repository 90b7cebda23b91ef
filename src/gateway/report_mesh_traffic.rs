//! Reports the control messages of this gateway by kind, role and zone of the other
//! process.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::sleep;

use super::context::GatewayContext;
use crate::mesh::list_message_counts;
use crate::metrics::MeshLabels;

/// Interval between log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Number of the largest kinds that a log line lists.
const MAX_LOGGED_KINDS: usize = 8;

/// What was already reported of one host, kind and direction.
type ReportedKey = (Option<IpAddr>, &'static str, bool);

/// Numbers of messages and bytes that were already added to the metrics, so that a host
/// whose role becomes known later does not let a counter fall.
#[derive(Debug, Default)]
pub struct ReportedTraffic(Mutex<HashMap<ReportedKey, (u64, u64)>>);

/// Adds the messages since the last call to the metrics.
pub fn update_mesh_metrics(cx: &GatewayContext) {
    let hosts = classify_hosts(cx);
    let mut reported = cx
        .reported_traffic
        .0
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    for count in list_message_counts() {
        let key = (count.host, count.kind, count.is_sent);
        let before = reported
            .insert(key, (count.messages, count.bytes))
            .unwrap_or_default();
        if count.messages == before.0 {
            continue;
        }
        let host = count.host.and_then(|host| hosts.get(&host));
        let (peer, zone) = host.copied().unwrap_or(("unknown", "unknown"));
        let labels = MeshLabels {
            message: count.kind,
            peer,
            zone,
            direction: if count.is_sent { "sent" } else { "received" },
        };
        let messages = count.messages.saturating_sub(before.0);
        let bytes = count.bytes.saturating_sub(before.1);
        cx.metrics.mesh.add(labels, messages, bytes);
        let mut since_log = cx
            .logged_traffic
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *since_log.entry(labels).or_default() += bytes;
    }
}

/// Role and zone of each host that is known.
fn classify_hosts(cx: &GatewayContext) -> HashMap<IpAddr, (&'static str, &'static str)> {
    let compare = |zone: &str| {
        if zone == cx.settings.zone {
            "own"
        } else {
            "other"
        }
    };
    let state = cx.lock();
    let mut hosts: HashMap<IpAddr, (&'static str, &'static str)> = state
        .dispatcher
        .list_backends()
        .map(|view| {
            let zone = compare(&view.member.zone);
            (view.member.address.ip(), ("agent", zone))
        })
        .collect();
    drop(state);
    for entry in cx.known_entries.list(cx.now()) {
        let zone = cx.zone_relaying.find_zone(&entry.name);
        let zone = zone.map_or("unknown", |zone| compare(&zone));
        hosts.insert(entry.address.ip(), ("entry", zone));
    }
    hosts
}

/// Logs every minute which kinds of messages had the most bytes.
pub async fn report_mesh_traffic(cx: Arc<GatewayContext>) {
    loop {
        sleep(LOG_INTERVAL).await;
        update_mesh_metrics(&cx);
        let counted: BTreeMap<MeshLabels, u64> = std::mem::take(
            &mut *cx
                .logged_traffic
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
        let total: u64 = counted.values().sum();
        let crossing = counted.iter().filter(|(labels, _)| labels.zone == "other");
        let other_zone: u64 = crossing.map(|(_, bytes)| bytes).sum();
        let mut largest: Vec<_> = counted.iter().collect();
        largest.sort_unstable_by_key(|(_, bytes)| std::cmp::Reverse(**bytes));
        let kinds: Vec<String> = largest
            .iter()
            .take(MAX_LOGGED_KINDS)
            .map(|(labels, bytes)| {
                let MeshLabels {
                    message,
                    peer,
                    zone,
                    direction,
                } = labels;
                format!("{message}/{peer}/{zone}/{direction}:{bytes}")
            })
            .collect();
        log::info!(
            "mesh: traffic of a minute bytes={total} other_zone={other_zone} largest={}",
            kinds.join(",")
        );
    }
}
