//! Follows configuration, target weights versions and members in the store.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::context::GatewayContext;
use super::follow_members::FailedReaders;
use super::follow_members::follow_peer_members;
use super::follow_members::is_member_reader;
use super::lead_rollouts::observe_rollout_order;
use crate::core::MonotonicTime;
use crate::core::fleet::MemberChange;
use crate::ports::Area;
use crate::ports::PortError;
use crate::ports::SourceChange;
use crate::ports::SourceUpdate;

/// Longest wait of one watch; each watch costs a request. A watch on a dead
/// connection is detected by pings and by peers that have newer records.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Wait of the first watch of the operator's records after a failure, whose answer shows
/// that nothing was missed.
const RECHECK_WAIT: Duration = Duration::from_millis(1);

/// Minimum interval between pings. Together with the timeout of a ping, it is
/// well below the time limit for calls to a server that leaves.
const PING_INTERVAL: Duration = Duration::from_millis(700);

/// Maximum number of pings per second of all entries together. In a large
/// fleet each entry pings less often, and learns from its peers that its own
/// watch has missed records.
const MAX_FLEET_PINGS_PER_S: u32 = 30;

/// Delay after the first failure; short, since a lost connection says little
/// about the state of the store.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay after repeated failures; the delay doubles with each one.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Delay after a change of members before the next watch, so that many changes
/// need few requests. It is far below the time allowed for reacting to a
/// leaving server.
const MEMBERS_BATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Reads one area and then watches it, for as long as the gateway runs. In a
/// large fleet, most entries learn the members from peers after the first read.
pub async fn follow_area(cx: Arc<GatewayContext>, area: Area) {
    let mut revision = None;
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut is_unreachable = false;
    let mut resync = cx.resync_counts[area.index()].subscribe();
    let mut failed_readers = FailedReaders::default();
    loop {
        if area == Area::Members
            && cx.lock().has_members
            && follow_peer_members(&cx, &mut failed_readers).await
        {
            // What happened meanwhile is not known from the store.
            revision = None;
            continue;
        }
        let asked_at = cx.now();
        let result = match revision {
            None => cx.ports.source.read_all(area).await,
            Some(after_revision) => {
                resync.borrow_and_update();
                let wait = if is_unreachable && area == Area::Operator {
                    RECHECK_WAIT
                } else {
                    WATCH_TIMEOUT
                };
                let watching = cx.ports.source.watch(area, after_revision, wait);
                tokio::select! {
                    result = watching => result,
                    _ = resync.changed() => {
                        log::info!("store: watch given up area={area:?} revision={after_revision}");
                        revision = None;
                        continue;
                    }
                }
            }
        };
        match result {
            Ok(update) => {
                if is_unreachable {
                    log::info!("store: regained area={area:?} revision={}", update.revision);
                    is_unreachable = false;
                }
                retry_delay = MIN_RETRY_DELAY;
                let is_full_read = revision.is_none();
                if is_full_read {
                    cx.start_inquiry.wait().await;
                }
                cx.lock().record_store_answer(cx.now());
                revision = Some(update.revision);
                let has_changes = !update.changes.is_empty();
                apply_update(&cx, area, update, is_full_read.then_some(asked_at));
                if has_changes && area == Area::Members {
                    sleep(MEMBERS_BATCH_INTERVAL).await;
                }
            }
            Err(PortError::HistoryCompacted) => {
                log::info!("store: history lost area={area:?}; reading all");
                revision = None;
            }
            Err(PortError::StoreRestored) => {
                log::warn!("store: restored from an older copy area={area:?}; reading all");
                revision = None;
                cx.lock().record_restore(cx.now());
            }
            Err(e) => {
                if !is_unreachable {
                    log::warn!("store: lost area={area:?} reason=\"{e}\"");
                }
                is_unreachable = true;
                record_store_failure(&cx, area);
                sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

fn record_store_failure(cx: &GatewayContext, area: Area) {
    let mut state = cx.lock();
    state.directory.record_store_failure();
    if area == Area::Operator {
        state.record_operator_records_lost();
    }
}

/// Applies what was read or watched; `asked_at` is when a read of the whole area began.
fn apply_update(
    cx: &GatewayContext,
    area: Area,
    update: SourceUpdate,
    asked_at: Option<MonotonicTime>,
) {
    let now = cx.now();
    let is_full_read = asked_at.is_some();
    let mut state = cx.lock();
    let progress = &mut state.progress[area.index()];
    progress.newest_revision = progress.newest_revision.max(update.newest_revision);
    progress.complete_revision = progress.complete_revision.max(update.revision);
    progress.behind_since = None;
    let mut members = Vec::new();
    for change in update.changes {
        match change {
            SourceChange::Configuration(configuration, raw) => {
                let version = configuration.version;
                if state.apply_configuration(configuration, raw, now) {
                    log::info!(
                        "config: in force version={version} revision={} source=store",
                        update.revision
                    );
                }
            }
            SourceChange::TargetVersion(target) => {
                state.learn_targets([&target], "store", now);
            }
            SourceChange::RolloutOrder(order) => {
                observe_rollout_order(cx, &mut state, order, !is_full_read, now);
            }
            SourceChange::MemberUpdated { member, write } => {
                if !state.directory.accept_record(&member, write) {
                    log::info!(
                        "members: ignored server={} reason=\"the record is older than its leaving\"",
                        member.name
                    );
                    continue;
                }
                if is_full_read {
                    members.push(member);
                    continue;
                }
                let change = state.directory.apply(MemberChange::Listed(member), now);
                state.apply_member_changes(change, now);
            }
            SourceChange::MemberRemoved(name) => {
                let change = state.directory.apply(MemberChange::Removed(name), now);
                state.apply_member_changes(change, now);
            }
            SourceChange::MalformedMember(name, problem) => {
                log::warn!("store: malformed server={name} problem=\"{problem}\"");
                let change = state.directory.apply(MemberChange::Removed(name), now);
                state.apply_member_changes(change, now);
            }
            SourceChange::MalformedRecord(key, problem) => {
                log::warn!("store: malformed key={key} problem=\"{problem}\"");
                if cx.ports.source.is_rollout_order(&key) {
                    cx.metrics.count_rejected_rollout("unreadable");
                }
            }
        }
    }
    if area == Area::Operator {
        state.record_operator_records_read(asked_at.unwrap_or(now), now);
    }
    if is_full_read && area == Area::Members {
        let changes = state.directory.replace(members, now);
        state.apply_member_changes(changes, now);
        state.has_members = true;
        state.streams.builds.start(now);
    }
}

/// Returns the interval at which each entry may act so that all of them together
/// act `fleet_rate` times a second.
fn pace_over_entries(cx: &GatewayContext, fleet_rate: u32) -> Duration {
    let entry_count = u32::try_from(cx.lock().quota.count_entries()).unwrap_or(u32::MAX);
    Duration::from_secs(1) * entry_count / fleet_rate
}

/// Pings the source for as long as the gateway runs. After a ping without a
/// response, all watches are cancelled: a connection on which a response was
/// lost may stay open and deliver nothing more.
pub async fn ping_store(cx: Arc<GatewayContext>) {
    loop {
        let interval = if is_member_reader(&cx) {
            PING_INTERVAL
        } else {
            PING_INTERVAL.max(pace_over_entries(&cx, MAX_FLEET_PINGS_PER_S))
        };
        sleep(interval).await;
        let sent_at = cx.now();
        match cx.ports.source.ping().await {
            Ok(()) => cx.lock().record_ping_answer(sent_at, cx.now()),
            Err(e) => {
                log::info!("store: ping failed reason=\"{e}\"");
                if e == PortError::StoreRestored {
                    cx.lock().record_restore(cx.now());
                }
                for area in Area::ALL {
                    record_store_failure(&cx, area);
                    cx.request_resync(area);
                }
            }
        }
    }
}
