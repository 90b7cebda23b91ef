//! The log lines of one call.

use std::fmt::Write;
use std::mem::take;
use std::sync::Arc;

use tokio::time::Instant;

use super::context::GatewayContext;
use super::read_call::Call;
use crate::core::fleet::BackendChoice;

/// What is logged of one call: a line for each send, written before it with
/// what decided it, so that a process that is killed leaves it behind; and a
/// line when the call ends.
#[derive(Debug)]
pub struct CallLog {
    cx: Arc<GatewayContext>,
    id: String,
    /// What is known of the call, until a line has said it.
    unlogged_fields: String,
    failures: String,
    received_at: Instant,
    attempts: u32,
    first_event_at: Option<Instant>,
    is_ended: bool,
}

impl CallLog {
    /// Begins the lines of a call.
    pub fn new(cx: &Arc<GatewayContext>, call: &Call) -> Self {
        let unlogged_fields = format!(
            " route={} service={} account={} config={} wait_ms={} objective_ms={}",
            call.route.name,
            call.service,
            call.account.as_ref().map_or("-", |a| a.as_str()),
            call.configuration_version,
            call.time_left().as_millis(),
            call.route.latency_objective.as_millis(),
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

    /// Logs a send that is about to be made, and why.
    pub fn log_send(&mut self, choice: &BackendChoice, reason: &str) {
        self.attempts += 1;
        log::info!(
            "call: sent id={}{} attempt={} why={reason} server={} v={} load={:.1} age_ms={} predicted_ms={} read={} again={} fetch={}",
            self.id,
            take(&mut self.unlogged_fields),
            self.attempts,
            choice.name,
            choice.version.map_or(0, |version| version.0),
            choice.load,
            choice.report_age.map_or(-1, |age| age.as_millis() as i64),
            choice.predicted_ttft.as_millis(),
            choice.prefill_tokens,
            choice.recomputed_tokens,
            choice.fetch_from.is_some(),
        );
    }

    /// Notes how an attempt failed, or why none follows.
    pub fn record_failure(&mut self, reason: &str) {
        let separator = if self.failures.is_empty() {
            " failed="
        } else {
            ","
        };
        // Writing to a string cannot fail.
        let _ = write!(self.failures, "{separator}{reason}");
    }

    /// Notes that the first event has gone to the caller.
    pub fn record_first_event(&mut self) {
        if self.first_event_at.is_none() {
            let now = Instant::now();
            self.first_event_at = Some(now);
            let since = now.duration_since(self.received_at);
            self.cx.metrics.count_first_event(since);
        }
    }

    /// Logs the call's end, once.
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
