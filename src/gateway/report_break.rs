//! Reports connections to servers that broke under a call.

use tokio::time::Instant;

use super::read_call::Call;
use crate::core::fleet::BackendChoice;
use crate::core::fleet::Prompt;

/// Logs that the server's connection broke under a call, with the parts that the
/// call shares with others: a part may crash every server that it is sent to.
/// `first_event_at` is when the first event of its stream arrived, if one did.
pub fn report_break(call: &Call, choice: &BackendChoice, first_event_at: Option<Instant>) {
    let prompt = call.head.prompt.as_ref();
    let shared = prompt.map_or(&[][..], Prompt::shared_parts);
    let parts: Vec<String> = shared
        .iter()
        .map(|part| format!("{:x}", part.id.0))
        .collect();
    log::info!(
        "call: broke id={} server={} ms_since_first={} parts={}",
        call.id_text(),
        choice.name,
        first_event_at.map_or(-1, |at| at.elapsed().as_millis() as i64),
        parts.join(",")
    );
}
