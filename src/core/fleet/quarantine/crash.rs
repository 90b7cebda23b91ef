//! Evidence of one crashed run of a server.

use std::collections::HashMap;
use std::time::Duration;

use super::BrokenRun;
use super::CrashSuspect;
use super::Suspect;
use super::suspect_run::SuspectRun;
use crate::core::MonotonicTime;
use crate::core::fleet::RunKey;

/// Time after a break without an answer of the run from which it has crashed.
pub(super) const CONFIRM_TIME: Duration = Duration::from_millis(300);

/// Time after a break in which answers of the same run may still come from
/// buffers.
const BUFFERED_ANSWERS: Duration = Duration::from_millis(50);

/// Longest delay of a message with a crash, by which the crash seems to be later than it
/// was: its age is counted from when the message was built.
const MAX_NEWS_DELAY: Duration = Duration::from_millis(500);

/// Maximum difference of two times of a crash that confirm each other.
const SAME_TIME: Duration = Duration::from_millis(50);

/// Run of a server whose connections broke, with the suspects that were at it.
#[derive(Debug)]
pub(super) struct Crash {
    /// When the first connection broke.
    pub at: MonotonicTime,
    /// What the calls at the server had in common with others, and the calls.
    pub suspects: HashMap<Suspect, SuspectRun>,
    /// Whether a connection of this process broke.
    pub is_own: bool,
    /// Whether a time was recorded.
    is_told: bool,
    /// Whether the time was seen here or told twice: a message that arrives late gives
    /// another time than the next one.
    pub is_timed: bool,
    /// When the run was found to be alive.
    pub alive_at: Option<MonotonicTime>,
    /// Whether it was evaluated, confirmed and with all its suspects.
    pub is_evaluated: bool,
}

impl Crash {
    pub fn new(at: MonotonicTime) -> Self {
        Self {
            at,
            suspects: HashMap::new(),
            is_own: false,
            is_told: false,
            is_timed: false,
            alive_at: None,
            is_evaluated: false,
        }
    }

    /// Records a break at `at`, which this process saw or was told.
    pub fn record_time(&mut self, at: MonotonicTime, is_own: bool) {
        let is_same = at.since(self.at) <= SAME_TIME && self.at.since(at) <= SAME_TIME;
        self.is_timed |= is_own || (self.is_told && is_same);
        self.is_told = true;
        self.is_own |= is_own;
        self.at = self.at.min(at);
    }

    /// Returns the earliest time that `at`, of a call at the run or of the crash, may stand
    /// for.
    pub fn earliest(&self, at: MonotonicTime) -> MonotonicTime {
        let at = at.min(self.at);
        if self.is_timed {
            at
        } else {
            at.saturating_sub(MAX_NEWS_DELAY)
        }
    }

    /// Adds a suspect of a break at `broke_at`. Returns whether it is new.
    pub fn add(&mut self, suspect: &CrashSuspect, broke_at: MonotonicTime) -> bool {
        let sent_at = broke_at.saturating_sub(suspect.ran);
        let mut is_new = false;
        let run = self.suspects.entry(suspect.suspect).or_insert_with(|| {
            is_new = true;
            SuspectRun {
                depth: suspect.depth,
                sent_at,
                call: suspect.call,
                was_answered: suspect.was_answered,
            }
        });
        self.is_evaluated &= !is_new;
        run.sent_at = run.sent_at.min(sent_at);
        run.was_answered &= suspect.was_answered;
        is_new
    }

    /// Records that the run has answered: if that is no answer from a buffer, it has
    /// not crashed.
    pub fn record_answer(&mut self, at: MonotonicTime) {
        if at.since(self.at) >= BUFFERED_ANSWERS {
            self.alive_at.get_or_insert(at);
        }
    }

    /// Returns whether a break at `at` is another one: the run has answered since the
    /// first.
    pub fn is_over(&self, at: MonotonicTime) -> bool {
        self.alive_at.is_some_and(|alive_at| alive_at < at)
    }

    /// Returns whether the run has not answered for long enough to have crashed.
    pub fn is_confirmed(&self, now: MonotonicTime) -> bool {
        self.alive_at.is_none() && now.since(self.at) >= CONFIRM_TIME
    }

    /// Returns it as processes tell each other.
    pub fn to_broken_run(&self, run: RunKey, now: MonotonicTime) -> BrokenRun {
        let suspects = self.suspects.iter();
        BrokenRun {
            run,
            age: now.since(self.at),
            suspects: suspects
                .map(|(suspect, at_run)| CrashSuspect {
                    suspect: *suspect,
                    depth: at_run.depth,
                    ran: self.at.since(at_run.sent_at),
                    call: at_run.call,
                    was_answered: at_run.was_answered,
                })
                .collect(),
        }
    }
}
