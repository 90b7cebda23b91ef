//! Tasks on the control thread that drive the rate limiter: ticks, rule and
//! host changes, and messages to other entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use super::EntryContext;
use super::shared_limiter::QueuedMessage;
use super::shared_limiter::TICK_INTERVAL;
use super::slot_lease::run_slot_lease;
use crate::core::limit::LiveEntry;
use crate::core::limit::NodeId;
use crate::core::limit::Origin;
use crate::peer::ControlThread;
use crate::registry::Host;
use crate::registry::HostRole;
use crate::registry::HostState;

const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const HOSTS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Applies the current rules and hosts to the limiter, and spawns the tasks
/// that drive it. `queue` holds the messages to send to other entries.
pub fn spawn_limiter_tasks(
    cx: &Arc<EntryContext>,
    control: &ControlThread,
    queue: mpsc::UnboundedReceiver<QueuedMessage>,
) {
    cx.limiter.apply_rules(&cx.rules.load_full());
    apply_live_entries(cx, &cx.hosts.hosts());
    control.spawn(run_limiter_ticks(Arc::clone(cx)));
    control.spawn(apply_rule_changes(Arc::clone(cx)));
    control.spawn(apply_host_changes(Arc::clone(cx)));
    control.spawn(send_messages(Arc::clone(cx), queue));
    control.spawn(run_slot_lease(Arc::clone(cx)));
}

async fn run_limiter_ticks(cx: Arc<EntryContext>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        cx.limiter.update(|limiter, now| limiter.tick(now));
    }
}

async fn apply_rule_changes(cx: Arc<EntryContext>) {
    let mut revisions = cx.rules.subscribe();
    while revisions.changed().await.is_ok() {
        cx.limiter.apply_rules(&cx.rules.load_full());
    }
}

async fn apply_host_changes(cx: Arc<EntryContext>) {
    let mut applied = cx.hosts.hosts();
    loop {
        sleep(HOSTS_CHECK_INTERVAL).await;
        let hosts = cx.hosts.hosts();
        if hosts != applied {
            apply_live_entries(&cx, &hosts);
            applied = hosts;
        }
    }
}

fn apply_live_entries(cx: &EntryContext, hosts: &[Host]) {
    let entries = hosts
        .iter()
        .filter(|host| host.role == HostRole::Entry && host.state == HostState::Live);
    let zones: BTreeMap<&str, u16> = number_zones(hosts, &cx.settings.zone);
    let others: Vec<(LiveEntry, SocketAddr)> = entries
        .filter(|host| host.name != cx.settings.name)
        .filter_map(|host| {
            let peer = LiveEntry {
                node: NodeId::from_name(&host.name),
                zone: zones.get(host.zone.as_str()).copied().unwrap_or(0),
            };
            Some((peer, host.peers?))
        })
        .collect();
    let own_zone = zones.get(cx.settings.zone.as_str()).copied().unwrap_or(0);
    cx.limiter.set_live_entries(own_zone, &others);
}

/// Numbers the availability zones of all hosts in the order of their names. The
/// numbers are valid only within this process.
fn number_zones<'a>(hosts: &'a [Host], own_zone: &'a str) -> BTreeMap<&'a str, u16> {
    let names = hosts
        .iter()
        .map(|host| host.zone.as_str())
        .chain([own_zone]);
    let names: std::collections::BTreeSet<&str> = names.collect();
    names.into_iter().zip(0..).collect()
}

async fn send_messages(cx: Arc<EntryContext>, mut queue: mpsc::UnboundedReceiver<QueuedMessage>) {
    while let Some(queued) = queue.recv().await {
        tokio::spawn(send_message(Arc::clone(&cx), queued));
    }
}

async fn send_message(cx: Arc<EntryContext>, queued: QueuedMessage) {
    let origin = cx.limiter.origin();
    let message = &queued.message;
    let call = cx
        .peers
        .call(queued.address, CALL_TIMEOUT, |client, context| {
            let message = message.clone();
            async move { client.exchange_shares(context, origin, message).await }
        });
    match call.await {
        Ok(reply) => {
            let from = Origin {
                node: queued.node,
                incarnation: reply.incarnation,
            };
            cx.limiter.receive_reply(from, reply.messages);
        }
        Err(e) => {
            log::debug!("entry: Limiter call to {} failed: {e}.", queued.address);
            let node = queued.node;
            cx.limiter
                .update(|limiter, now| limiter.mark_unreachable(node, now));
        }
    }
}
