//! Finds prompt parts that crash every server which begins to answer them, and
//! keeps calls with them away from servers.
//!
//! Each crash has suspects: the shared parts of the calls that the server was
//! beginning to answer. The faulty part is among the suspects of every crash that
//! it causes, and no call with it is ever answered to the end. Parts that share a
//! prompt or a server with it are cleared by the first call that is.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::BrokenRun;
use super::CompletedPart;
use super::PartId;
use super::PromptPart;
use super::QuarantineNews;
use super::QuarantinedPart;
use super::RunKey;
use crate::core::MonotonicTime;

/// Crashes, at different moments, from which a part is quarantined if calls without
/// it are answered meanwhile. One fewer is likely to hit a sound part whose call was
/// resent once.
const MIN_CRASHES: usize = 3;

/// The same if no such calls are answered: servers may fail for another reason.
const MIN_CRASHES_WITHOUT_CONTRAST: usize = 5;

/// Answers to calls without a part, since its first crash, that show servers to
/// work otherwise.
const MIN_CONTRAST: usize = 3;

/// Maximum number of recent answers kept for that.
const MAX_ANSWERED_CALLS: usize = 64;

/// Time within which crashes count as one: servers that fail together were not
/// crashed by calls, one by one.
const SAME_MOMENT: Duration = Duration::from_millis(100);

/// Time after the first break of a run from which further ones come from calls
/// that were sent later.
const LATE_BREAK: Duration = Duration::from_millis(250);

/// Time after a break in which answers of the same run may still come from
/// buffers.
const BUFFERED_ANSWERS: Duration = Duration::from_millis(50);

/// Time after a break without an answer of the run from which it has crashed.
const CONFIRM_TIME: Duration = Duration::from_millis(300);

/// Time for which crashes and completions are kept as evidence.
const EVIDENCE_MAX_AGE: Duration = Duration::from_secs(60);

/// Maximum number of crashes kept; the oldest are dropped beyond that.
const MAX_CRASHES: usize = 256;

/// Maximum number of broken runs in one message.
const MAX_TOLD_RUNS: usize = 32;

/// Length of the first quarantine of a part; it doubles with each further one.
const FIRST_PERIOD: Duration = Duration::from_secs(600);

/// Longest quarantine. A part that comes back after it is quarantined again after
/// one crash.
const LONGEST_PERIOD: Duration = Duration::from_secs(4 * 3_600);

/// Time after the end of a quarantine for which it is remembered.
const PERIOD_MEMORY: Duration = Duration::from_secs(24 * 3_600);

/// Evidence of crashed servers, and the quarantined parts.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: HashMap<RunKey, Crash>,
    /// Last time at which a call with a suspected or quarantined part was answered
    /// to the end, and whether this process saw it.
    completed: HashMap<PartId, Completion>,
    /// Latest quarantine of each part, also if it has ended.
    periods: HashMap<PartId, Period>,
    /// Latest calls that this process saw answered to the end, with their parts.
    answered: VecDeque<(MonotonicTime, Vec<PartId>)>,
}

#[derive(Debug)]
struct Crash {
    at: MonotonicTime,
    /// Suspected parts with their index in the prompt.
    suspects: HashMap<PartId, u8>,
    /// Whether a connection of this process broke.
    is_own: bool,
    /// When the run was found to be alive.
    alive_at: Option<MonotonicTime>,
}

#[derive(Debug, Clone, Copy)]
struct Completion {
    at: MonotonicTime,
    is_own: bool,
}

/// Quarantine of a part: its start, and its number among those of the part.
#[derive(Debug, Clone, Copy)]
struct Period {
    since: MonotonicTime,
    occurrences: u32,
}

impl Period {
    fn length(self) -> Duration {
        let doublings = self.occurrences.saturating_sub(1).min(16);
        (FIRST_PERIOD * (1 << doublings)).min(LONGEST_PERIOD)
    }

    fn time_left(self, now: MonotonicTime) -> Option<Duration> {
        let left = self.length().saturating_sub(now.since(self.since));
        (!left.is_zero()).then_some(left)
    }
}

impl Quarantine {
    /// Returns whether there is evidence to look at.
    pub fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Returns the number of quarantined parts.
    pub fn count_parts(&self, now: MonotonicTime) -> usize {
        let periods = self.periods.values();
        periods.filter(|s| s.time_left(now).is_some()).count()
    }

    /// Returns the remaining quarantine of a prompt's parts; `None` if none of them
    /// is quarantined.
    pub fn find_time_left(&self, parts: &[PromptPart], now: MonotonicTime) -> Option<Duration> {
        if self.periods.is_empty() {
            return None;
        }
        parts
            .iter()
            .filter_map(|part| self.periods.get(&part.id)?.time_left(now))
            .max()
    }

    /// Records that the connection to a run broke under a call that it was
    /// beginning to answer. `parts` are the parts that the call shares. Calls that
    /// were sent to the run after it had crashed are no suspects.
    pub fn record_break(&mut self, run: RunKey, parts: &[PromptPart], now: MonotonicTime) {
        let first_break = self.crashes.get(&run).map(|crash| crash.at);
        if first_break.is_some_and(|at| now.since(at) >= LATE_BREAK) {
            return;
        }
        let indexes = 0_u8..=u8::MAX;
        let suspects = parts.iter().map(|part| part.id).zip(indexes);
        self.add_suspects(run, suspects, now, true);
    }

    fn add_suspects(
        &mut self,
        run: RunKey,
        suspects: impl Iterator<Item = (PartId, u8)>,
        at: MonotonicTime,
        is_own: bool,
    ) {
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&run) {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            if let Some((&oldest, _)) = oldest {
                self.crashes.remove(&oldest);
            }
        }
        let crash = self.crashes.entry(run).or_insert_with(|| Crash {
            at,
            suspects: HashMap::new(),
            is_own,
            alive_at: None,
        });
        crash.at = crash.at.min(at);
        crash.is_own |= is_own;
        crash.suspects.extend(suspects);
    }

    /// Records that a run has answered a call. If a connection to it broke before,
    /// it has not crashed.
    pub fn record_answer(&mut self, run: RunKey, now: MonotonicTime) {
        if let Some(crash) = self.crashes.get_mut(&run)
            && now.since(crash.at) >= BUFFERED_ANSWERS
        {
            crash.alive_at.get_or_insert(now);
        }
    }

    /// Records that a call was answered to the end, which clears its parts. Returns
    /// those that are no longer quarantined.
    pub fn record_completion(&mut self, parts: &[PromptPart], now: MonotonicTime) -> Vec<PartId> {
        if self.crashes.is_empty() && self.periods.is_empty() {
            return Vec::new();
        }
        if self.answered.len() >= MAX_ANSWERED_CALLS {
            self.answered.pop_front();
        }
        let ids = parts.iter().map(|part| part.id).collect();
        self.answered.push_back((now, ids));
        parts
            .iter()
            .filter(|part| self.clear(part.id, now, true))
            .map(|part| part.id)
            .collect()
    }

    /// Records a completion of a part that is suspected or quarantined. Returns
    /// whether it was quarantined.
    fn clear(&mut self, part: PartId, at: MonotonicTime, is_own: bool) -> bool {
        let suspected_at = self
            .crashes
            .values()
            .filter(|crash| crash.suspects.contains_key(&part))
            .map(|crash| crash.at)
            .max();
        let is_wrong = self
            .periods
            .get(&part)
            .is_some_and(|period| period.since < at);
        let last = self.completed.get(&part).map(|completion| completion.at);
        let is_suspected = suspected_at.is_some_and(|suspected| Some(suspected) > last);
        if is_wrong || (is_suspected && last.is_none_or(|last| last < at)) {
            self.completed.insert(part, Completion { at, is_own });
        }
        if is_wrong {
            self.periods.remove(&part);
        }
        is_wrong
    }

    /// Quarantines the parts behind crashes, as far as the evidence shows them, and
    /// returns them with the number of crashes. To be called at short intervals
    /// while there are crashes.
    ///
    /// The part that explains most crashes comes first; those are then explained
    /// and count against no other part. Of two parts that explain as many, the one
    /// further into the prompt is taken: fewer calls have it.
    pub fn evaluate(&mut self, now: MonotonicTime) -> Vec<(PartId, usize)> {
        self.expire(now);
        let mut unexplained: Vec<&Crash> = self
            .crashes
            .values()
            .filter(|crash| crash.alive_at.is_none() && now.since(crash.at) >= CONFIRM_TIME)
            .filter(|crash| !self.has_quarantined_suspect(crash, now))
            .collect();
        unexplained.sort_by_key(|crash| crash.at);
        let mut found = Vec::new();
        while let Some((part, crashes)) = self.find_best_explanation(&unexplained) {
            unexplained.retain(|crash| !crash.suspects.contains_key(&part));
            found.push((part, crashes));
        }
        for (part, _) in &found {
            let period = self.periods.entry(*part).or_insert(Period {
                since: now,
                occurrences: 0,
            });
            period.since = now;
            period.occurrences += 1;
        }
        found
    }

    fn has_quarantined_suspect(&self, crash: &Crash, now: MonotonicTime) -> bool {
        crash.suspects.keys().any(|part| {
            let period = self.periods.get(part);
            period.is_some_and(|period| period.time_left(now).is_some())
        })
    }

    fn find_best_explanation(&self, crashes: &[&Crash]) -> Option<(PartId, usize)> {
        let suspects: HashSet<(PartId, u8)> = crashes
            .iter()
            .flat_map(|crash| crash.suspects.iter().map(|(part, index)| (*part, *index)))
            .collect();
        suspects
            .into_iter()
            .map(|(part, index)| (self.list_moments(part, crashes), index, part))
            .filter(|(moments, _, part)| moments.len() >= self.min_crashes(*part, moments))
            .max_by_key(|(moments, index, part)| (moments.len(), *index, part.0))
            .map(|(moments, _, part)| (part, moments.len()))
    }

    /// Returns the number of crashes from which a part is quarantined; `moments` are
    /// those that it explains.
    fn min_crashes(&self, part: PartId, moments: &[MonotonicTime]) -> usize {
        let Some(&first) = moments.first() else {
            return MIN_CRASHES_WITHOUT_CONTRAST;
        };
        let answered = self.answered.iter();
        let contrast = answered.filter(|(at, parts)| *at >= first && !parts.contains(&part));
        if self.periods.contains_key(&part) {
            1
        } else if contrast.count() >= MIN_CONTRAST {
            MIN_CRASHES
        } else {
            MIN_CRASHES_WITHOUT_CONTRAST
        }
    }

    /// Returns the moments of the crashes that a part explains: those since a call
    /// with it was last answered to the end. `crashes` are ordered by time.
    fn list_moments(&self, part: PartId, crashes: &[&Crash]) -> Vec<MonotonicTime> {
        let cleared_at = self.completed.get(&part).map(|completion| completion.at);
        let mut moments: Vec<MonotonicTime> = Vec::new();
        for crash in crashes {
            let is_later = moments
                .last()
                .is_none_or(|last| crash.at.since(*last) >= SAME_MOMENT);
            if crash.suspects.contains_key(&part) && Some(crash.at) > cleared_at && is_later {
                moments.push(crash.at);
            }
        }
        moments
    }

    fn expire(&mut self, now: MonotonicTime) {
        self.crashes
            .retain(|_, crash| now.since(crash.at) < EVIDENCE_MAX_AGE);
        self.completed
            .retain(|_, completion| now.since(completion.at) < EVIDENCE_MAX_AGE);
        self.periods
            .retain(|_, s| now.since(s.since) < s.length() + PERIOD_MEMORY);
        self.answered
            .retain(|(at, _)| now.since(*at) < EVIDENCE_MAX_AGE);
    }

    /// Builds a message for another process: quarantined parts always, and what
    /// this process has seen within `period`, since messages may be lost.
    pub fn build_news(&self, period: Duration, now: MonotonicTime) -> QuarantineNews {
        let is_recent = |at: MonotonicTime| now.since(at) < period;
        let crashes = self.crashes.iter().filter(|(_, crash)| crash.is_own);
        QuarantineNews {
            broken: crashes
                .filter(|(_, crash)| is_recent(crash.at))
                .take(MAX_TOLD_RUNS)
                .map(|(run, crash)| BrokenRun {
                    run: *run,
                    age: now.since(crash.at),
                    parts: crash.suspects.iter().map(|(p, i)| (*p, *i)).collect(),
                })
                .collect(),
            alive: self
                .crashes
                .iter()
                .filter(|(_, crash)| crash.alive_at.is_some_and(is_recent))
                .map(|(run, _)| *run)
                .collect(),
            completed: self
                .completed
                .iter()
                .filter(|(_, completion)| completion.is_own && is_recent(completion.at))
                .map(|(part, completion)| CompletedPart {
                    part: *part,
                    age: now.since(completion.at),
                })
                .collect(),
            quarantined: self
                .periods
                .iter()
                .filter(|(_, period)| period.time_left(now).is_some())
                .map(|(part, period)| QuarantinedPart {
                    part: *part,
                    age: now.since(period.since),
                    occurrences: period.occurrences,
                })
                .collect(),
        }
    }

    /// Applies a message of another process. Returns the parts that are quarantined
    /// by it, and those that no longer are.
    pub fn apply_news(
        &mut self,
        news: QuarantineNews,
        now: MonotonicTime,
    ) -> (Vec<PartId>, Vec<PartId>) {
        for broken in news.broken {
            let at = time_ago(now, broken.age);
            self.add_suspects(broken.run, broken.parts.into_iter(), at, false);
        }
        for run in news.alive {
            if let Some(crash) = self.crashes.get_mut(&run) {
                crash.alive_at.get_or_insert(now);
            }
        }
        let released = news
            .completed
            .into_iter()
            .filter(|completed| self.clear(completed.part, time_ago(now, completed.age), false))
            .map(|completed| completed.part)
            .collect();
        let quarantined = news
            .quarantined
            .into_iter()
            .filter(|learned| self.learn_quarantine(*learned, now))
            .map(|learned| learned.part)
            .collect();
        (quarantined, released)
    }

    fn learn_quarantine(&mut self, learned: QuarantinedPart, now: MonotonicTime) -> bool {
        let since = time_ago(now, learned.age);
        let cleared_at = self.completed.get(&learned.part).map(|c| c.at);
        if Some(since) <= cleared_at {
            return false;
        }
        let known = self.periods.get(&learned.part);
        let was_quarantined = known.is_some_and(|known| known.time_left(now).is_some());
        if known.is_none_or(|known| known.occurrences < learned.occurrences) {
            let period = Period {
                since,
                occurrences: learned.occurrences,
            };
            self.periods.insert(learned.part, period);
        }
        !was_quarantined
    }
}

fn time_ago(now: MonotonicTime, age: Duration) -> MonotonicTime {
    let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    MonotonicTime::from_micros(now.as_micros().saturating_sub(age))
}
