//! Tracks which prompt parts the engine holds.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::context::SidecarContext;
use crate::core::fleet::CachedPartChange;

/// Longest wait of one read; reads that wait for less than 200 ms are
/// expensive.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Minimum time between two reads, so that many events need few updates.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(120);

/// Reads the engine's changes for as long as the sidecar runs. After a restart
/// of the engine, it forgets all parts and reads them from the start.
pub async fn follow_kv_cache(cx: Arc<SidecarContext>) {
    let mut epoch = 0;
    let mut next_sequence = 0;
    loop {
        if cx.pause.is_paused() {
            sleep(RETRY_DELAY).await;
            continue;
        }
        let engine = cx.settings.engine;
        match cx
            .ports
            .kv_cache
            .read_changes(engine, next_sequence, LONG_POLL_WAIT)
            .await
        {
            Ok(update) => {
                if update.epoch != epoch && next_sequence > 0 {
                    log::info!("parts: engine restarted epoch={}", update.epoch);
                    cx.lock().cached_parts.clear();
                    (epoch, next_sequence) = (update.epoch, 0);
                    cx.publish();
                    continue;
                }
                if update.has_gap {
                    log::info!("parts: events lost since={next_sequence}");
                }
                (epoch, next_sequence) = (update.epoch, update.next_sequence);
                let has_changes = !update.changes.is_empty();
                if has_changes {
                    apply_changes(&cx, update.changes);
                }
                sleep(MIN_READ_INTERVAL).await;
            }
            Err(e) => {
                log::debug!("parts: not read reason=\"{e}\"");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn apply_changes(cx: &SidecarContext, changes: Vec<CachedPartChange>) {
    let mut state = cx.lock();
    for change in changes {
        state.cached_parts.apply(change);
    }
    // Published with the next engine report, to send one update instead of two.
    state.has_unpublished_changes = true;
}
