//! Log line of a call that the end of a drain cuts before its body is whole.

use std::str::from_utf8;

use bytes::Bytes;
use tokio::time::Instant;

use super::context::GatewayContext;

/// Call whose body is being read. Dropped in the meantime, it is logged if the end of a
/// drain is the reason.
pub struct UnreadCall<'a> {
    cx: &'a GatewayContext,
    id: &'a Bytes,
    received_at: Instant,
    is_finished: bool,
}

impl<'a> UnreadCall<'a> {
    /// Begins to read the body of the call `id`, whose head arrived at `received_at`.
    pub fn new(cx: &'a GatewayContext, id: &'a Bytes, received_at: Instant) -> Self {
        Self {
            cx,
            id,
            received_at,
            is_finished: false,
        }
    }

    /// Ends the reading, whatever came of it.
    pub fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for UnreadCall<'_> {
    fn drop(&mut self) {
        if !self.is_finished && self.cx.drain.is_over() {
            log::warn!(
                "call: cut id={} head_ms={} body_ms=- sent_ms=-",
                from_utf8(self.id).unwrap_or("not-text"),
                self.cx.drain.offset_ms(self.received_at),
            );
        }
    }
}
