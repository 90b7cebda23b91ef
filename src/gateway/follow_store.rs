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
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Time between two pings: with the time for an answer well below the bound
/// on calls to a server that leaves.
const PING_INTERVAL: Duration = Duration::from_millis(700);

/// Pauses after failures: the first is short, since a lost connection says
/// little about the store.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Pause after a change of members before the next is asked for, so that many
/// changes cost few calls; far below the time to honour a leaving server.
const MEMBERS_PAUSE: Duration = Duration::from_millis(500);

/// Follows one area for as long as the gateway runs.
pub async fn follow_store(cx: Arc<GatewayContext>, area: Area) {
    let mut revision = None;
    let mut pause = FIRST_PAUSE;
    let mut is_lost = false;
    let mut anew = cx.read_anew[area.index()].subscribe();
    loop {
        let result = match revision {
            None => cx.ports.source.read_all(area).await,
            Some(from) => {
                anew.borrow_and_update();
                let watching = cx.ports.source.watch(area, from, WATCH_WAIT);
                tokio::select! {
                    result = watching => result,
                    _ = anew.changed() => {
                        log::info!("store: watch given up area={area:?} revision={from}");
                        revision = None;
                        continue;
                    }
                }
            }
        };
        match result {
            Ok(news) => {
                if is_lost {
                    log::info!("store: regained area={area:?} revision={}", news.revision);
                    is_lost = false;
                }
                pause = FIRST_PAUSE;
                let is_whole = revision.is_none();
                cx.lock().directory.note_store_answer(cx.now());
                revision = Some(news.revision);
                let has_changes = !news.changes.is_empty();
                take_news(&cx, area, news, is_whole);
                if has_changes && area == Area::Members {
                    sleep(MEMBERS_PAUSE).await;
                }
            }
            Err(PortError::HistoryCompacted) => {
                log::info!("store: history lost area={area:?}; reading all");
                revision = None;
            }
            Err(e) => {
                if !is_lost {
                    log::warn!("store: lost area={area:?} reason=\"{e}\"");
                }
                is_lost = true;
                cx.lock().directory.note_store_failure();
                sleep(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

fn take_news(cx: &GatewayContext, area: Area, news: SourceUpdate, is_whole: bool) {
    let now = cx.now();
    let mut state = cx.lock();
    let progress = &mut state.progress[area.index()];
    progress.newest = progress.newest.max(news.newest_revision);
    progress.complete = progress.complete.max(news.revision);
    progress.behind_since = None;
    let mut listed = Vec::new();
    for change in news.changes {
        match change {
            SourceChange::Configuration(configuration, raw) => {
                let version = configuration.version;
                if state.configure(configuration, raw, now) {
                    log::info!(
                        "config: in force version={version} revision={} source=store",
                        news.revision
                    );
                }
            }
            SourceChange::TargetVersion(wanted) => {
                // A version that was there at the start was named at an
                // unknown time.
                let learned_at = (!is_whole).then_some(now);
                if state.dispatcher.want_version(&wanted, learned_at) {
                    log::info!(
                        "weights: wanted model={} version={} revision={} is_new={}",
                        wanted.model,
                        wanted.version,
                        wanted.revision,
                        !is_whole
                    );
                }
            }
            SourceChange::MemberUpdated(member) if is_whole => listed.push(member),
            SourceChange::MemberUpdated(member) => {
                let change = state.directory.apply(MemberChange::Listed(member), now);
                state.apply_members(change);
            }
            SourceChange::MemberRemoved(name) => {
                let change = state.directory.apply(MemberChange::Gone(name), now);
                state.apply_members(change);
            }
            SourceChange::MalformedMember(name, problem) => {
                log::warn!("store: malformed server={name} problem=\"{problem}\"");
                let change = state.directory.apply(MemberChange::Gone(name), now);
                state.apply_members(change);
            }
            SourceChange::MalformedRecord(key, problem) => {
                log::warn!("store: malformed key={key} problem=\"{problem}\"");
            }
        }
    }
    if is_whole && area == Area::Members {
        let changes = state.directory.replace(listed, now);
        state.apply_members(changes);
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
            Ok(()) => cx.lock().directory.note_store_answer(cx.now()),
            Err(e) => {
                log::info!("store: ping unanswered reason=\"{e}\"");
                cx.lock().directory.note_store_failure();
                Area::ALL
                    .into_iter()
                    .for_each(|area| cx.ask_read_anew(area));
            }
        }
    }
}
