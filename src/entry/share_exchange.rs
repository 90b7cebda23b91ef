//! Tasks on the control thread that drive the limiter.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use super::EntryContext;
use super::shares::Posted;
use super::shares::TICK;
use super::slot_keeper::keep_slots;
use crate::core::limit::LiveEntry;
use crate::core::limit::NodeId;
use crate::core::limit::Origin;
use crate::peer::ControlThread;
use crate::registry::Host;
use crate::registry::HostRole;
use crate::registry::HostState;

const CALL_LIMIT: Duration = Duration::from_millis(800);
const ROSTER_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the tasks that drive the limiter.
pub fn spawn_share_tasks(
    cx: &Arc<EntryContext>,
    control: &ControlThread,
    queue: mpsc::UnboundedReceiver<Posted>,
) {
    cx.shares.set_rules(&cx.rules.load_full());
    set_entries(cx, &cx.hosts.hosts());
    control.spawn(run_ticks(Arc::clone(cx)));
    control.spawn(follow_rules(Arc::clone(cx)));
    control.spawn(follow_hosts(Arc::clone(cx)));
    control.spawn(send_messages(Arc::clone(cx), queue));
    control.spawn(keep_slots(Arc::clone(cx)));
}

async fn run_ticks(cx: Arc<EntryContext>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        cx.shares.change(|limiter, now| limiter.tick(now));
    }
}

async fn follow_rules(cx: Arc<EntryContext>) {
    let mut revisions = cx.rules.subscribe();
    while revisions.changed().await.is_ok() {
        cx.shares.set_rules(&cx.rules.load_full());
    }
}

async fn follow_hosts(cx: Arc<EntryContext>) {
    let mut known = cx.hosts.hosts();
    loop {
        sleep(ROSTER_INTERVAL).await;
        let hosts = cx.hosts.hosts();
        if hosts != known {
            set_entries(&cx, &hosts);
            known = hosts;
        }
    }
}

fn set_entries(cx: &EntryContext, hosts: &[Host]) {
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
    let own = zones.get(cx.settings.zone.as_str()).copied().unwrap_or(0);
    cx.shares.set_entries(own, &others);
}

/// Numbers availability zones; the numbers mean something only here.
fn number_zones<'a>(hosts: &'a [Host], own: &'a str) -> BTreeMap<&'a str, u16> {
    let names = hosts.iter().map(|host| host.zone.as_str()).chain([own]);
    let names: std::collections::BTreeSet<&str> = names.collect();
    names.into_iter().zip(0..).collect()
}

async fn send_messages(cx: Arc<EntryContext>, mut queue: mpsc::UnboundedReceiver<Posted>) {
    while let Some(posted) = queue.recv().await {
        tokio::spawn(send_message(Arc::clone(&cx), posted));
    }
}

async fn send_message(cx: Arc<EntryContext>, posted: Posted) {
    let from = cx.shares.origin();
    let message = &posted.message;
    let call = cx
        .peers
        .call(posted.address, CALL_LIMIT, |client, context| {
            let message = message.clone();
            async move { client.exchange_shares(context, from, message).await }
        });
    match call.await {
        Ok(reply) => {
            let from = Origin {
                node: posted.node,
                incarnation: reply.incarnation,
            };
            cx.shares.receive_reply(from, reply.messages);
        }
        Err(e) => {
            log::debug!("entry: Shares not exchanged with {}: {e}.", posted.address);
            let node = posted.node;
            cx.shares
                .change(|limiter, now| limiter.mark_unreachable(node, now));
        }
    }
}
