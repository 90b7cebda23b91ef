//! Writes the log lines of one call.

use std::fmt::Write;
use std::mem::take;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;

use super::context::GatewayContext;
use super::read_call::Call;
use crate::core::ServerName;
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
    caller: Option<SocketAddr>,
    received_at: Instant,
    read_at: Instant,
    deadline: Instant,
    attempts: u32,
    /// Sends, of which several may be at work at the same time.
    sent: Vec<SentAttempt>,
    /// Bytes of events that are not complete, and so not passed on yet.
    held_bytes: usize,
    first_event_at: Option<Instant>,
    /// Why the call last stayed at a silent server; empty if it did not.
    kept_why: &'static str,
    is_ended: bool,
}

/// Send of a call, and what its server did since.
#[derive(Debug)]
struct SentAttempt {
    server: ServerName,
    sent_at: Instant,
    last_act: &'static str,
    acted_at: Instant,
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
            caller: call.holder.connection,
            received_at: call.received_at,
            read_at: call.read_at,
            deadline: call.deadline,
            attempts: 0,
            sent: Vec::new(),
            held_bytes: 0,
            first_event_at: None,
            kept_why: "",
            is_ended: false,
        }
    }

    /// Logs a send that is about to be made; `reason` is `first` or why the
    /// previous attempt failed.
    pub fn log_send(&mut self, choice: &BackendChoice, reason: &str) {
        self.attempts += 1;
        let now = Instant::now();
        self.sent.push(SentAttempt {
            server: choice.name.clone(),
            sent_at: now,
            last_act: "none",
            acted_at: now,
        });
        log::info!(
            "call: sent id={}{} attempt={} why={reason} server={} build={} v={} load={:.1} age_ms={} predicted_ms={} end_ms={} read={} again={} fetch={} from={}",
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
            choice
                .fetch_from
                .map_or("none".into(), |address| address.to_string()),
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

    /// Logs that the call stays at a silent server, since it can go on at no other one now;
    /// once for each reason.
    pub fn log_kept(&mut self, server: &ServerName, why: &'static str) {
        if self.kept_why == why {
            return;
        }
        self.kept_why = why;
        log::info!(
            "call: kept id={} server={server} why={why} left_ms={}",
            self.id,
            self.left_ms(),
        );
    }

    /// Records that a server has sent something, of which `held_bytes` are not passed on yet.
    pub fn record_server_act(&mut self, server: &ServerName, act: &'static str, held_bytes: usize) {
        self.held_bytes = held_bytes;
        let mut sent = self.sent.iter_mut();
        if let Some(sent) = sent.find(|sent| sent.server == *server) {
            sent.last_act = act;
            sent.acted_at = Instant::now();
        }
    }

    /// Records how many bytes of the server are not passed on yet.
    pub fn record_held(&mut self, held_bytes: usize) {
        self.held_bytes = held_bytes;
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
            "call: ended id={}{}{} attempts={} outcome={outcome} status={status} first_ms={first_ms} ms={} left_ms={}",
            self.id,
            take(&mut self.unlogged_fields),
            self.failures,
            self.attempts,
            elapsed.as_millis(),
            self.left_ms(),
        );
    }

    /// Returns the milliseconds until the deadline of the call.
    fn left_ms(&self) -> u128 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        left.as_millis()
    }

    /// Logs what is known of a call that the end of a drain cuts: of its sends, the one whose
    /// server acted last. Its times count from when the stop may have been requested.
    fn log_cut(&self) {
        let drain = &self.cx.drain;
        let sent = self.sent.iter().max_by_key(|sent| sent.acted_at);
        log::warn!(
            "call: cut id={} caller={} head_ms={} body_ms={} sent_ms={} server={} server_did={} did_ms={} held_bytes={}",
            self.id,
            self.caller
                .map_or_else(|| "-".into(), |caller| caller.to_string()),
            drain.offset_ms(self.received_at),
            drain.offset_ms(self.read_at),
            sent.map_or_else(|| "-".into(), |s| drain.offset_ms(s.sent_at).to_string()),
            sent.map_or("-", |s| s.server.as_str()),
            sent.map_or("-", |s| s.last_act),
            sent.map_or_else(|| "-".into(), |s| drain.offset_ms(s.acted_at).to_string()),
            self.held_bytes,
        );
    }
}

impl Drop for CallLog {
    /// Ends the log of a call that was dropped since its caller disconnected, or that the
    /// end of a drain cuts.
    fn drop(&mut self) {
        if self.is_ended || !self.cx.drain.is_over() {
            self.log_end("caller-gone", 499);
            return;
        }
        self.log_cut();
        self.log_end("cut-by-stop", 499);
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
