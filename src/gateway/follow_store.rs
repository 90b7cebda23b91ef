//! Follows configuration, wanted weights and members in the store.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::context::GatewayContext;
use crate::core::fleet::MemberChange;
use crate::ports::Area;
use crate::ports::PortError;
use crate::ports::SourceChange;
use crate::ports::SourceUpdate;

/// Longest wait of one watch; each costs a call. A watch whose connection has
/// gone silent is found by pings and by peers that know more.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two pings: with the time for an answer well below the bound
/// on calls to a server that leaves.
const PING_INTERVAL: Duration = Duration::from_millis(700);

/// Pauses after failures: the first is short, since a lost connection says
/// little about the store.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Pause after a change of members before the next is asked for, so that many
/// changes cost few calls; far below the time to honour a leaving server.
const MEMBERS_BATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Follows one area for as long as the gateway runs.
pub async fn follow_area(cx: Arc<GatewayContext>, area: Area) {
    let mut revision = None;
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut is_unreachable = false;
    let mut resync = cx.resync_counts[area.index()].subscribe();
    loop {
        let result = match revision {
            None => cx.ports.source.read_all(area).await,
            Some(after_revision) => {
                resync.borrow_and_update();
                let watching = cx.ports.source.watch(area, after_revision, WATCH_TIMEOUT);
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
                cx.lock().directory.record_store_answer(cx.now());
                revision = Some(update.revision);
                let has_changes = !update.changes.is_empty();
                apply_update(&cx, area, update, is_full_read);
                if has_changes && area == Area::Members {
                    sleep(MEMBERS_BATCH_INTERVAL).await;
                }
            }
            Err(PortError::HistoryCompacted) => {
                log::info!("store: history lost area={area:?}; reading all");
                revision = None;
            }
            Err(e) => {
                if !is_unreachable {
                    log::warn!("store: lost area={area:?} reason=\"{e}\"");
                }
                is_unreachable = true;
                cx.lock().directory.record_store_failure();
                sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

fn apply_update(cx: &GatewayContext, area: Area, update: SourceUpdate, is_full_read: bool) {
    let now = cx.now();
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
                // A version that was there at the start was named at an
                // unknown time.
                let learned_at = (!is_full_read).then_some(now);
                if state.dispatcher.observe_target_version(&target, learned_at) {
                    log::info!(
                        "weights: wanted model={} version={} revision={} is_new={}",
                        target.model,
                        target.version,
                        target.revision,
                        !is_full_read
                    );
                }
            }
            SourceChange::MemberUpdated(member) if is_full_read => members.push(member),
            SourceChange::MemberUpdated(member) => {
                let change = state.directory.apply(MemberChange::Listed(member), now);
                state.apply_member_changes(change);
            }
            SourceChange::MemberRemoved(name) => {
                let change = state.directory.apply(MemberChange::Removed(name), now);
                state.apply_member_changes(change);
            }
            SourceChange::MalformedMember(name, problem) => {
                log::warn!("store: malformed server={name} problem=\"{problem}\"");
                let change = state.directory.apply(MemberChange::Removed(name), now);
                state.apply_member_changes(change);
            }
            SourceChange::MalformedRecord(key, problem) => {
                log::warn!("store: malformed key={key} problem=\"{problem}\"");
            }
        }
    }
    if is_full_read && area == Area::Members {
        let changes = state.directory.replace(members, now);
        state.apply_member_changes(changes);
        state.has_members = true;
    }
}

/// Asks the source for cheap answers for as long as the gateway runs. After
/// one that does not come, watches are given up: a connection on which an
/// answer was lost may stay open and bring nothing more.
pub async fn ping_store(cx: Arc<GatewayContext>) {
    loop {
        sleep(PING_INTERVAL).await;
        match cx.ports.source.ping().await {
            Ok(()) => cx.lock().directory.record_store_answer(cx.now()),
            Err(e) => {
                log::info!("store: ping unanswered reason=\"{e}\"");
                cx.lock().directory.record_store_failure();
                Area::ALL
                    .into_iter()
                    .for_each(|area| cx.request_resync(area));
            }
        }
    }
}
