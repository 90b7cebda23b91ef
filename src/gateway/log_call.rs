//! The log line of one call.

use std::fmt::Write;
use std::sync::Arc;

use tokio::time::Instant;

use super::context::GatewayContext;
use super::read_call::Call;
use crate::core::fleet::Choice;

/// What is logged of one call when it ends: one line, with what decided it.
#[derive(Debug)]
pub struct CallLog {
    cx: Arc<GatewayContext>,
    line: String,
    received: Instant,
    attempts: u32,
    first_event: Option<Instant>,
    is_ended: bool,
}

impl CallLog {
    /// Begins the line of a call.
    pub fn new(cx: &Arc<GatewayContext>, call: &Call) -> Self {
        let line = format!(
            "id={} route={} service={} account={} config={} wait_ms={}",
            call.id_text(),
            call.route.name,
            call.service,
            call.account.as_ref().map_or("-", |a| a.as_str()),
            call.configuration,
            call.time_left().as_millis(),
        );
        Self {
            cx: Arc::clone(cx),
            line,
            received: call.received,
            attempts: 0,
            first_event: None,
            is_ended: false,
        }
    }

    /// Notes an attempt and why it is made.
    pub fn note_attempt(&mut self, choice: &Choice, reason: &str) {
        self.attempts += 1;
        // Writing to a string cannot fail.
        let _ = write!(
            self.line,
            " [{reason} server={} v={} load={:.1} age_ms={} predicted_ms={} read={} again={} fetch={}]",
            choice.name,
            choice.version.map_or(0, |version| version.0),
            choice.load,
            choice.report_age.map_or(-1, |age| age.as_millis() as i64),
            choice.predicted.as_millis(),
            choice.prefill_tokens,
            choice.read_again,
            choice.fetch_from.is_some(),
        );
    }

    /// Notes how an attempt failed.
    pub fn note_failure(&mut self, reason: &str) {
        self.line.push_str(" -> ");
        self.line.push_str(reason);
    }

    /// Notes that the first event has gone to the caller.
    pub fn note_first_event(&mut self) {
        if self.first_event.is_none() {
            let now = Instant::now();
            self.first_event = Some(now);
            let since = now.duration_since(self.received);
            self.cx.metrics.count_first_event(since);
        }
    }

    /// Writes the line, once.
    pub fn end(&mut self, outcome: &'static str, status: u16) {
        if self.is_ended {
            return;
        }
        self.is_ended = true;
        let passed = self.received.elapsed();
        self.cx.metrics.count_call(outcome, passed);
        let first = self
            .first_event
            .map_or(-1, |at| at.duration_since(self.received).as_millis() as i64);
        log::info!(
            "call: {} attempts={} outcome={outcome} status={status} first_ms={first} ms={}",
            self.line,
            self.attempts,
            passed.as_millis(),
        );
    }
}
