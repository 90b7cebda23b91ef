//! Follows which prompt parts the engine holds.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::context::SidecarContext;
use crate::core::fleet::CachedPartChange;

/// Longest wait of one read; reads that wait for less than 200 ms are dear.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Least time between two reads, so that many events cost few news.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(120);

/// Follows the engine's parts for as long as the sidecar runs.
pub async fn follow_kv_cache(cx: Arc<SidecarContext>) {
    let mut epoch = 0;
    let mut next_sequence = 0;
    loop {
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
    // Told with the next report: one message in place of two.
    state.has_unpublished_changes = true;
}
