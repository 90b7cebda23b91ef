//! Reports connections to servers that broke under a call.

use std::time::Duration;

use tokio::time::Instant;

use super::context::GatewayContext;
use super::read_call::Call;
use crate::core::MonotonicTime;
use crate::core::fleet::BackendChoice;
use crate::core::fleet::CrashSuspect;
use crate::core::fleet::PartId;
use crate::core::fleet::Prompt;

/// Longest time after the first event in which a call may still crash the server
/// that has begun to answer it.
const MAX_TIME_TO_CRASH: Duration = Duration::from_millis(500);

/// Logs that the server's connection broke under a call, with the digest of the call
/// and the parts that it shares with others, and records them as suspects: the call or
/// a part may crash every server that begins to answer it.
/// `first_event_at` is when the first event of its stream arrived, if one did.
pub fn report_break(
    cx: &GatewayContext,
    call: &Call,
    choice: &BackendChoice,
    sent_at: MonotonicTime,
    first_event_at: Option<Instant>,
) {
    let prompt = call.head.prompt.as_ref();
    let shared = prompt.map_or(&[][..], Prompt::shared_parts);
    let shared: Vec<PartId> = shared.iter().map(|part| part.id).collect();
    let parts: Vec<String> = shared.iter().map(|id| format!("{:x}", id.0)).collect();
    log::info!(
        "call: broke id={} call={} server={} ms_since_first={} parts={}",
        call.id_text(),
        call.digest(),
        choice.name,
        first_event_at.map_or(-1, |at| at.elapsed().as_millis() as i64),
        parts.join(",")
    );
    let was_beginning = first_event_at.is_none_or(|at| at.elapsed() < MAX_TIME_TO_CRASH);
    if !was_beginning {
        return;
    }
    let now = cx.now();
    let suspects = CrashSuspect::list(
        call.digest(),
        &shared,
        now.since(sent_at),
        first_event_at.is_some(),
    );
    let is_new = cx
        .lock()
        .quarantine
        .record_break(choice.run, &suspects, now);
    if is_new {
        cx.announce_news();
    }
}
