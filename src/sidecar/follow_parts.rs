//! Follows which prompt parts the engine holds.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::context::SidecarContext;
use crate::core::fleet::HeldChange;

/// Longest wait of one read; reads that wait for less than 200 ms are dear.
const READ_WAIT: Duration = Duration::from_millis(1_000);

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Least time between two reads, so that many events cost few news.
const READ_PAUSE: Duration = Duration::from_millis(120);

/// Follows the engine's parts for as long as the sidecar runs.
pub async fn follow_parts(cx: Arc<SidecarContext>) {
    let mut epoch = 0;
    let mut next = 0;
    loop {
        let engine = cx.settings.engine;
        match cx
            .ports
            .kv_cache
            .read_changes(engine, next, READ_WAIT)
            .await
        {
            Ok(page) => {
                if page.epoch != epoch && next > 0 {
                    log::info!("parts: engine restarted epoch={}", page.epoch);
                    cx.lock().parts.clear();
                    (epoch, next) = (page.epoch, 0);
                    cx.publish();
                    continue;
                }
                if page.has_gap {
                    log::info!("parts: events lost since={next}");
                }
                (epoch, next) = (page.epoch, page.next_sequence);
                let has_changes = !page.changes.is_empty();
                if has_changes {
                    apply(&cx, page.changes);
                }
                sleep(READ_PAUSE).await;
            }
            Err(e) => {
                log::debug!("parts: not read reason=\"{e}\"");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn apply(cx: &SidecarContext, changes: Vec<HeldChange>) {
    let mut state = cx.lock();
    for change in changes {
        state.parts.apply(change);
    }
    // Told with the next report: one message in place of two.
    state.has_new_parts = true;
}
