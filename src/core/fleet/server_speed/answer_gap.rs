//! Decides whether a server is silent, from its own answers and those of others.

use std::time::Duration;

use crate::core::MonotonicTime;

/// Time without any answer after which a server is silent whatever other servers do,
/// unless its usual gaps are longer. Also used before any response time is known.
const UNPROVEN_SILENCE: Duration = Duration::from_millis(700);

/// Range of the time after which a server counts as silent. The lower end allows for
/// a pause of the entry's own threads, the upper one for long queues.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Multiple of the usual time after which a server counts as silent.
const SILENCE_TIMEOUT_FACTOR: f64 = 2.0;

/// Time in which the longest gap seen loses half of its effect.
const GAP_HALF_LIFE: Duration = Duration::from_secs(5);

/// Maximum gap that counts as usual at once, so that the end of a silence does not hide
/// the next one.
const MAX_FIRST_GAP: Duration = Duration::from_millis(250);

/// Maximum time between two probes of a silent server.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Since when a server owes an answer, and its usual gap between answers.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::core::fleet) struct AnswerGap {
    owes_since: Option<MonotonicTime>,
    last_sent_at: MonotonicTime,
    answered_at: Option<MonotonicTime>,
    /// Until when the calls that had been sent at `owes_since` are predicted to be
    /// answered, and those that have been sent until now.
    due_at: MonotonicTime,
    last_due_at: MonotonicTime,
    usual_gap: Duration,
    usual_gap_at: MonotonicTime,
}

impl AnswerGap {
    /// Records that a call was sent whose answer is predicted after `predicted`.
    pub fn record_send(&mut self, predicted: Duration, now: MonotonicTime) {
        self.last_due_at = self.last_due_at.max(now + predicted);
        if self.owes_since.is_none() {
            self.owes_since = Some(now);
            self.due_at = self.last_due_at;
        }
        self.last_sent_at = now;
    }

    /// Records an answer or an event of one. Other calls may be left.
    pub fn record_answer(&mut self, now: MonotonicTime) {
        if let Some(since) = self.owes_since.replace(now) {
            let usual = self.usual_gap(now);
            let gap = now.since(since).min((usual * 2).max(MAX_FIRST_GAP));
            self.usual_gap = usual.max(gap);
            self.usual_gap_at = now;
        }
        self.due_at = self.last_due_at;
        self.answered_at = Some(now);
    }

    /// Records that no call is left. If the last ones ended without an answer, the
    /// server still owes it.
    pub fn record_idle(&mut self) {
        if self.answered_at.is_some_and(|at| at >= self.last_sent_at) {
            self.owes_since = None;
        }
    }

    /// Returns whether the server owes an answer.
    pub fn owes_answer(&self) -> bool {
        self.owes_since.is_some()
    }

    /// Returns whether the server is silent. `usual` is the time in which a server of
    /// the service usually answers, scaled to the speed of this one; `others_answered_at`
    /// is the latest answer of any server of the service.
    pub fn is_silent(
        &self,
        usual: Option<Duration>,
        others_answered_at: Option<MonotonicTime>,
        now: MonotonicTime,
    ) -> bool {
        let Some(since) = self.owes_since else {
            return false;
        };
        let silence = now.since(since);
        let silence_timeout = self.silence_timeout(usual, now);
        if silence <= silence_timeout {
            return false;
        }
        let is_proven = others_answered_at.is_some_and(|at| at > since + silence_timeout / 2);
        is_proven || silence > silence_timeout.max(UNPROVEN_SILENCE)
    }

    /// Returns whether a silent server may get one call, to see whether it answers
    /// again. The interval grows with the silence.
    pub fn is_probe_due(&self, usual: Option<Duration>, now: MonotonicTime) -> bool {
        let silence = self.owes_since.map_or(Duration::ZERO, |at| now.since(at));
        let interval = (silence / 2).max(self.silence_timeout(usual, now));
        now.since(self.last_sent_at) >= interval.min(MAX_PROBE_INTERVAL)
    }

    fn silence_timeout(&self, usual: Option<Duration>, now: MonotonicTime) -> Duration {
        let since = self.owes_since.unwrap_or(now);

        let predicted = self.due_at.since(since);
        let Some(usual) = usual else {
            let expected = predicted.mul_f64(SILENCE_TIMEOUT_FACTOR);
            return expected.clamp(UNPROVEN_SILENCE, MAX_SILENCE_TIMEOUT);
        };
        let expected = usual.max(self.usual_gap(now)) + predicted;
        expected
            .mul_f64(SILENCE_TIMEOUT_FACTOR)
            .clamp(MIN_SILENCE_TIMEOUT, MAX_SILENCE_TIMEOUT)
    }

    fn usual_gap(&self, now: MonotonicTime) -> Duration {
        let age = now.since(self.usual_gap_at).as_secs_f64();
        self.usual_gap
            .mul_f64(0.5_f64.powf(age / GAP_HALF_LIFE.as_secs_f64()))
    }
}
