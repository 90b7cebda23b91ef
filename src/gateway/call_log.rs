//! Writes the log lines of one call.

use std::fmt::Write;
use std::mem::take;
use std::sync::Arc;

use tokio::time::Instant;

use super::context::GatewayContext;
use super::read_call::Call;
use crate::core::fleet::BackendChoice;

/// Log lines of one call: one for each send, with the reasons for it, and one
/// at the end. The line of a send is written before it, so that it exists even
/// if the process is killed.
#[derive(Debug)]
pub struct CallLog {
    cx: Arc<GatewayContext>,
    id: String,
    /// Fields that describe the call: written with its first line, then empty.
    unlogged_fields: String,
    /// Field with the reasons of failed attempts, such as ` failed=silent,broken`;
    /// empty without any.
    failures: String,
    received_at: Instant,
    attempts: u32,
    first_event_at: Option<Instant>,
    is_ended: bool,
}

impl CallLog {
    /// Creates the log of a call; nothing is written yet.
    pub fn new(cx: &Arc<GatewayContext>, call: &Call) -> Self {
        let unlogged_fields = format!(
            " route={} service={} account={} config={} wait_ms={} objective_ms={}{}",
            call.route.name,
            call.service,
            call.account.as_ref().map_or("-", |a| a.as_str()),
            call.configuration_version,
            call.time_left().as_millis(),
            call.route.latency_objective.as_millis(),
            describe_resumption(call),
        );
        Self {
            cx: Arc::clone(cx),
            id: call.id_text().to_owned(),
            unlogged_fields,
            failures: String::new(),
            received_at: call.received_at,
            attempts: 0,
            first_event_at: None,
            is_ended: false,
        }
    }

    /// Logs a send that is about to be made; `reason` is `first` or why the
    /// previous attempt failed.
    pub fn log_send(&mut self, choice: &BackendChoice, reason: &str) {
        self.attempts += 1;
        log::info!(
            "call: sent id={}{} attempt={} why={reason} server={} build={} v={} load={:.1} age_ms={} predicted_ms={} end_ms={} read={} again={} fetch={}",
            self.id,
            take(&mut self.unlogged_fields),
            self.attempts,
            choice.name,
            choice.build,
            choice.version.map_or(0, |version| version.0),
            choice.load,
            choice.report_age.map_or(-1, |age| age.as_millis() as i64),
            choice.predicted_ttft.as_millis(),
            choice.predicted_end.as_millis(),
            choice.prefill_tokens,
            choice.recomputed_tokens,
            choice.fetch_from.is_some(),
        );
    }

    /// Records why an attempt failed, or why no other one follows, for the last
    /// line.
    pub fn record_failure(&mut self, reason: &str) {
        let separator = if self.failures.is_empty() {
            " failed="
        } else {
            ","
        };
        // Writing to a `String` cannot fail.
        let _ = write!(self.failures, "{separator}{reason}");
    }

    /// Records when the first event was sent to the caller; later events are
    /// ignored.
    pub fn record_first_event(&mut self) {
        if self.first_event_at.is_none() {
            let now = Instant::now();
            self.first_event_at = Some(now);
            let elapsed = now.duration_since(self.received_at);
            self.cx.metrics.observe_first_event(elapsed);
        }
    }

    /// Logs and counts the end of the call; only the first end counts.
    pub fn log_end(&mut self, outcome: &'static str, status: u16) {
        if self.is_ended {
            return;
        }
        self.is_ended = true;
        let elapsed = self.received_at.elapsed();
        self.cx.metrics.count_call(outcome, elapsed);
        let first_ms = self.first_event_at.map_or(-1, |at| {
            at.duration_since(self.received_at).as_millis() as i64
        });
        log::info!(
            "call: ended id={}{}{} attempts={} outcome={outcome} status={status} first_ms={first_ms} ms={}",
            self.id,
            take(&mut self.unlogged_fields),
            self.failures,
            self.attempts,
            elapsed.as_millis(),
        );
    }
}

impl Drop for CallLog {
    /// Ends the log of a call that was dropped since its caller disconnected.
    fn drop(&mut self) {
        self.log_end("caller-gone", 499);
    }
}

/// Returns the log fields of a call that takes a stream up; empty for others.
fn describe_resumption(call: &Call) -> String {
    call.head.resumption.as_ref().map_or_else(String::new, |r| {
        let stream = r.first_call_id.as_ref().map_or(&b"-"[..], |id| &id[..]);
        format!(
            " takes_up={} last_event={}",
            String::from_utf8_lossy(stream),
            String::from_utf8_lossy(&r.last_event_id),
        )
    })
}
