//! Finds what crashes every server that begins to answer it, and keeps it away from
//! servers: prompt parts that calls share, and calls themselves.
//!
//! Each crash has suspects: the calls that the server was beginning to answer, and the
//! parts that they share. The culprit is among the suspects of every crash that it
//! causes, and no call with it is ever answered to the end. What shares a prompt or a
//! server with it is cleared by the first call that is.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::AliveRun;
use super::BrokenRun;
use super::CallDigest;
use super::ClearedSuspect;
use super::CrashSuspect;
use super::Culprit;
use super::LearnedNews;
use super::QuarantineNews;
use super::QuarantinedSuspect;
use super::Suspect;
use super::TrialRequest;
use super::answered_call::AnsweredCall;
use super::completion::Completion;
use super::crash::CONFIRM_TIME;
use super::crash::Crash;
use super::quarantine_period::QuarantinePeriod;
use super::suspicion::Suspicion;
use crate::core::MonotonicTime;
use crate::core::fleet::PromptPart;
use crate::core::fleet::RunKey;

/// Crashes, at different moments, from which a suspect is quarantined if calls without
/// it are answered meanwhile. One fewer is likely to hit a sound call that was resent
/// once.
const MIN_CRASHES: usize = 3;

/// The same for a part if no such calls are answered: servers may fail for another
/// reason.
const MIN_CRASHES_WITHOUT_CONTRAST: usize = 5;

/// The same for a call, which is sent less and less after two crashes.
const MIN_CALL_CRASHES_WITHOUT_CONTRAST: usize = 4;

/// Crashes among them that nothing quarantined explains, for a call that was never
/// answered to the end: two calls that crash servers may have been at the same one.
const MIN_UNEXPLAINED_CRASHES: usize = 2;

/// Different calls under which a part has to have crashed servers: if it was always the
/// same call, that is the culprit.
const MIN_CALLS_OF_PART: usize = 3;

/// Answers to calls without a suspect, since its first crash, that show servers to
/// work otherwise.
const MIN_CONTRAST: usize = 3;

/// Maximum number of recent answers kept for that.
const MAX_ANSWERED_CALLS: usize = 256;

/// Time within which crashes count as one: servers that fail together were not
/// crashed by calls, one by one.
const SAME_MOMENT: Duration = Duration::from_millis(100);

/// Time after the first break of a run from which further ones come from calls
/// that were sent later.
const LATE_BREAK: Duration = Duration::from_millis(250);

/// Crashed runs from which a call is sent only now and then.
const MIN_CRASHES_FOR_TRIALS: usize = 2;

/// Longest time after a crash, besides [`CONFIRM_TIME`], for which an entry does not try
/// such a call again. Entries draw different times, so that one tries it first.
const MAX_TRIAL_DELAY: Duration = Duration::from_millis(2_000);

/// Time after a trial for which the same entry starts no other one.
const TRIAL_TIME: Duration = Duration::from_millis(1_000);

/// Time after a first crash in which its call is probably resent by the entry that saw
/// it, so that a service with few servers gets it from no other one.
const RESEND_TIME: Duration = Duration::from_secs(1);

/// Time after further crashes for which a call is not tried while its service has too
/// few servers, or while nothing else is answered.
const NO_TRIAL_TIME: Duration = Duration::from_secs(10);

/// Maximum delay of a trial for which a caller is told to wait while its service has too
/// few servers; they are back within seconds.
const MAX_FEW_SERVERS_DELAY: Duration = Duration::from_secs(1);

/// Time after a crash in which all checks of the evidence are made; later, one an
/// [`IDLE_INTERVAL`] suffices.
const NEWS_TIME: Duration = Duration::from_secs(2);
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which crashes and completions are kept as evidence on parts.
const EVIDENCE_MAX_AGE: Duration = Duration::from_secs(60);

/// The same for calls: one call comes back less often than a part that many calls
/// share.
const CALL_EVIDENCE_MAX_AGE: Duration = Duration::from_secs(600);

/// Maximum number of crashes kept; the oldest are dropped beyond that.
const MAX_CRASHES: usize = 256;

/// Maximum number of suspects of one crash; further ones are ignored.
const MAX_SUSPECTS: usize = 512;

/// Maximum number of broken runs in one message, and of their suspects.
const MAX_TOLD_RUNS: usize = 32;
const MAX_TOLD_SUSPECTS: usize = 1_024;

/// Time before the start of this process of which others may tell; times are kept with
/// this added, as none can be negative.
const HISTORY: Duration = Duration::from_secs(2 * 24 * 3_600);

/// Evidence of crashed servers, and what is quarantined.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: HashMap<RunKey, Crash>,
    /// Calls that are suspects of a crash.
    suspected_calls: HashSet<CallDigest>,
    /// When this process may next send a call that is only tried now and then.
    next_trials: HashMap<CallDigest, MonotonicTime>,
    /// Last time at which a call with a suspect was answered to the end, and whether
    /// this process saw it.
    completed: HashMap<Suspect, Completion>,
    /// Latest quarantine of each suspect, also if it has ended.
    periods: HashMap<Suspect, QuarantinePeriod>,
    /// Latest calls that this process saw answered to the end.
    answered: VecDeque<AnsweredCall>,
    /// When evidence was last added, and when it was last evaluated.
    changed_at: MonotonicTime,
    evaluated_at: MonotonicTime,
    /// Hash of the name of this process.
    seed: u64,
}

impl Quarantine {
    /// Creates the quarantine of the process `name`, without evidence.
    pub fn for_process(name: &str) -> Self {
        Self {
            seed: xxh3_64(name.as_bytes()),
            ..Self::default()
        }
    }

    /// Returns whether there is evidence to look at.
    pub fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Returns whether calls have to be looked at: something is suspected or
    /// quarantined.
    pub fn is_active(&self, now: MonotonicTime) -> bool {
        self.has_crashes() || self.list_quarantined(now).next().is_some()
    }

    /// Returns what is quarantined.
    pub fn list_quarantined(&self, now: MonotonicTime) -> impl Iterator<Item = Suspect> {
        let now = now + HISTORY;
        let periods = self.periods.iter();
        periods
            .filter(move |(_, period)| period.time_left(now).is_some())
            .map(|(suspect, _)| *suspect)
    }

    /// Returns the first of a call's suspects that is quarantined, with the time left:
    /// the call itself, or one of its parts.
    pub fn find_quarantined(
        &self,
        parts: &[PromptPart],
        call: CallDigest,
        now: MonotonicTime,
    ) -> Option<(Suspect, Duration)> {
        if self.periods.is_empty() {
            return None;
        }
        list_suspects(parts, call)
            .filter_map(|suspect| {
                let period = self.periods.get(&suspect)?;
                Some((suspect, period.time_left(now + HISTORY)?))
            })
            .max_by_key(|(_, time_left)| *time_left)
    }

    /// Returns whether a server has crashed with a call at it.
    pub fn is_suspected(&self, call: CallDigest) -> bool {
        self.suspected_calls.contains(&call)
    }

    /// Returns for how long a call under which servers have crashed must not be sent,
    /// if it must not. It is not quarantined yet: it may have been at these servers by
    /// chance. One that was answered to the end before is not delayed.
    pub fn find_trial_delay(&self, req: &TrialRequest, now: MonotonicTime) -> Option<Duration> {
        let now = now + HISTORY;
        if self.completed.contains_key(&Suspect::Call(req.call)) {
            return None;
        }
        let suspicion = self.assess_call(req.call)?;
        let since_crash = now.since(suspicion.last_at);
        let delay = if suspicion.runs < MIN_CRASHES_FOR_TRIALS {
            if req.has_few_servers() && !req.is_resend {
                RESEND_TIME.saturating_sub(since_crash)
            } else {
                Duration::ZERO
            }
        } else {
            let until_trial = self.time_until_trial(req.call, &suspicion, now);
            let no_trial_time = NO_TRIAL_TIME.saturating_sub(since_crash);
            if self.lacks_contrast(req.call, &suspicion) {
                until_trial.max(no_trial_time)
            } else if req.has_few_servers() {
                until_trial.max(no_trial_time.min(MAX_FEW_SERVERS_DELAY))
            } else {
                until_trial
            }
        };
        (!delay.is_zero()).then_some(delay)
    }

    /// Returns the time until this process may try a call, as far as its own trials and the
    /// evidence matter.
    fn time_until_trial(
        &self,
        call: CallDigest,
        suspicion: &Suspicion,
        now: MonotonicTime,
    ) -> Duration {
        // The evaluation, which comes at intervals, may be about to quarantine it.
        if suspicion.moments >= MIN_CRASHES && !suspicion.is_evaluated {
            return CONFIRM_TIME;
        }
        let next_trial = self.next_trials.get(&call).copied();
        next_trial.map_or(Duration::ZERO, |at| at.since(now))
    }

    /// Returns whether a call would be quarantined if other calls had been answered
    /// meanwhile.
    fn lacks_contrast(&self, call: CallDigest, suspicion: &Suspicion) -> bool {
        suspicion.moments >= MIN_CRASHES
            && self.count_contrast(Suspect::Call(call), suspicion.first_at) < MIN_CONTRAST
    }

    /// Records that a call is sent. If servers have crashed under it, this process sends
    /// it to no other one until the outcome is known.
    pub fn record_send(&mut self, call: CallDigest, now: MonotonicTime) {
        let now = now + HISTORY;
        let suspicion = self.assess_call(call);
        if suspicion.is_some_and(|suspicion| suspicion.runs >= MIN_CRASHES_FOR_TRIALS) {
            self.next_trials.insert(call, now + TRIAL_TIME);
        }
    }

    fn assess_call(&self, call: CallDigest) -> Option<Suspicion> {
        if !self.is_suspected(call) {
            return None;
        }
        let suspect = Suspect::Call(call);
        let cleared_at = self.completed.get(&suspect).map(|completion| completion.at);
        let crashes = self.sort_crashes(|crash| {
            let at_run = crash.suspects.get(&suspect);
            crash.alive_at.is_none()
                && Some(crash.at) > cleared_at
                && at_run.is_some_and(|at_run| !at_run.was_answered)
        });
        let (first_at, last_at) = (crashes.first()?.at, crashes.last()?.at);
        Some(Suspicion {
            runs: crashes.len(),
            moments: list_moments(suspect, &crashes).len(),
            first_at,
            last_at,
            is_evaluated: crashes.iter().all(|crash| crash.is_evaluated),
        })
    }

    /// Returns crashes by time, those of the same time in the same order in every process.
    fn sort_crashes(&self, is_listed: impl Fn(&Crash) -> bool) -> Vec<&Crash> {
        let crashes = self.crashes.iter();
        let mut crashes: Vec<_> = crashes.filter(|(_, crash)| is_listed(crash)).collect();
        crashes.sort_by_key(|(run, crash)| (crash.at, run.0));
        crashes.into_iter().map(|(_, crash)| crash).collect()
    }

    /// Records that the connection to a run broke under a call that it was beginning to
    /// answer. Calls that were sent to the run after it had crashed are no suspects.
    /// Returns whether others have to know.
    pub fn record_break(
        &mut self,
        run: RunKey,
        suspects: &[CrashSuspect],
        now: MonotonicTime,
    ) -> bool {
        let now = now + HISTORY;
        let known = self.crashes.get(&run);
        if known.is_some_and(|crash| !crash.is_over(now) && now.since(crash.at) >= LATE_BREAK) {
            return false;
        }
        self.add_suspects(run, suspects, now, true)
    }

    /// Adds suspects of a crash, and returns whether one of them is new.
    fn add_suspects(
        &mut self,
        run: RunKey,
        suspects: &[CrashSuspect],
        broke_at: MonotonicTime,
        is_own: bool,
    ) -> bool {
        self.make_room(run);
        if self.crashes.get(&run).is_some_and(|c| c.is_over(broke_at)) {
            self.crashes.remove(&run);
        }
        let crash = self
            .crashes
            .entry(run)
            .or_insert_with(|| Crash::new(broke_at));
        crash.record_time(broke_at, is_own);
        let room = MAX_SUSPECTS.saturating_sub(crash.suspects.len());
        let new: Vec<Suspect> = suspects
            .iter()
            .take(room)
            .filter(|suspect| crash.add(suspect, broke_at))
            .map(|suspect| suspect.suspect)
            .collect();
        let crashed_at = crash.at;
        if !new.is_empty() {
            self.changed_at = self.changed_at.max(broke_at);
        }
        for suspect in &new {
            self.recall_answer(*suspect);
            if let Suspect::Call(call) = suspect {
                self.suspected_calls.insert(*call);
                let next_trial = crashed_at + self.draw_trial_delay(run, *call);
                let known = self.next_trials.entry(*call).or_insert(next_trial);
                *known = next_trial.max(*known);
            }
        }
        !new.is_empty()
    }

    /// Records the last answer to a call with a new suspect, which may have arrived
    /// before the news of the crash.
    fn recall_answer(&mut self, suspect: Suspect) {
        let mut answered = self.answered.iter().rev();
        let Some(last) = answered.find(|answer| answer.suspects.contains(&suspect)) else {
            return;
        };
        let last = Completion {
            at: last.at,
            is_own: true,
        };
        let known = self.completed.entry(suspect).or_insert(last);
        if known.at < last.at {
            *known = last;
        }
    }

    fn make_room(&mut self, run: RunKey) {
        if self.crashes.len() < MAX_CRASHES || self.crashes.contains_key(&run) {
            return;
        }
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
        if let Some((&oldest, _)) = oldest {
            self.crashes.remove(&oldest);
        }
    }

    fn draw_trial_delay(&self, run: RunKey, call: CallDigest) -> Duration {
        let hash = xxh3_64_with_seed(&(run.0 ^ call.0).to_le_bytes(), self.seed);
        let share = f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX);
        CONFIRM_TIME + MAX_TRIAL_DELAY.mul_f64(share)
    }

    /// Returns whether a run has crashed, as far as is known: a connection to it broke
    /// and it has not answered since.
    pub fn has_crashed(&self, run: RunKey) -> bool {
        let crash = self.crashes.get(&run);
        crash.is_some_and(|crash| crash.alive_at.is_none())
    }

    /// Records that a run has answered a call. If a connection to it broke before,
    /// it has not crashed.
    pub fn record_answer(&mut self, run: RunKey, now: MonotonicTime) {
        if let Some(crash) = self.crashes.get_mut(&run) {
            crash.record_answer(now + HISTORY);
        }
    }

    /// Records that a call was answered to the end, which clears it and its parts.
    /// Returns what is no longer quarantined.
    pub fn record_completion(
        &mut self,
        parts: &[PromptPart],
        call: CallDigest,
        now: MonotonicTime,
    ) -> Vec<Suspect> {
        if self.crashes.is_empty() && self.periods.is_empty() {
            return Vec::new();
        }
        let now = now + HISTORY;
        if self.answered.len() >= MAX_ANSWERED_CALLS {
            self.answered.pop_front();
        }
        self.answered.push_back(AnsweredCall {
            at: now,
            suspects: list_suspects(parts, call).collect(),
        });
        list_suspects(parts, call)
            .filter(|suspect| self.clear(*suspect, now, true))
            .collect()
    }

    /// Records a completion of what is suspected or quarantined. Returns whether it was
    /// quarantined.
    fn clear(&mut self, suspect: Suspect, at: MonotonicTime, is_own: bool) -> bool {
        let suspected_at = self.find_last_crash(suspect);
        let is_wrong = self
            .periods
            .get(&suspect)
            .is_some_and(|period| period.since < at);
        let last = self.completed.get(&suspect).map(|completion| completion.at);
        let is_suspected = suspected_at.is_some_and(|suspected| Some(suspected) > last);
        if is_wrong || (is_suspected && last.is_none_or(|last| last < at)) {
            self.completed.insert(suspect, Completion { at, is_own });
            if let Suspect::Call(call) = suspect {
                self.next_trials.remove(&call);
            }
        }
        if is_wrong {
            self.periods.remove(&suspect);
        }
        is_wrong
    }

    fn find_last_crash(&self, suspect: Suspect) -> Option<MonotonicTime> {
        if let Suspect::Call(call) = suspect
            && !self.suspected_calls.contains(&call)
        {
            return None;
        }
        let crashes = self.crashes.values();
        let crashes = crashes.filter(|crash| crash.suspects.contains_key(&suspect));
        crashes.map(|crash| crash.at).max()
    }

    /// Quarantines what is behind crashes, as far as the evidence shows it, and returns
    /// it. To be called at short intervals while there are crashes.
    ///
    /// What explains most crashes comes first; those are then explained and count
    /// against nothing else. Of two that explain as many, the narrower one is taken:
    /// the call before its parts, and the part further into the prompt.
    pub fn evaluate(&mut self, now: MonotonicTime) -> Vec<Culprit> {
        let now = now + HISTORY;
        let has_news = now.since(self.changed_at) < NEWS_TIME;
        if !has_news && now.since(self.evaluated_at) < IDLE_INTERVAL {
            return Vec::new();
        }
        self.evaluated_at = now;
        self.drop_outdated(now);
        let crashes = self.sort_crashes(|crash| crash.is_confirmed(now));
        let mut culprits: HashSet<Suspect> = self
            .periods
            .iter()
            .filter(|(_, period)| period.time_left(now).is_some())
            .map(|(suspect, _)| *suspect)
            .collect();
        let mut found = Vec::new();
        while let Some(culprit) = self.find_best_explanation(&crashes, &culprits) {
            culprits.insert(culprit.suspect);
            found.push(culprit);
        }
        for crash in self.crashes.values_mut() {
            crash.is_evaluated |= crash.is_confirmed(now);
        }
        for culprit in &found {
            let period = self
                .periods
                .entry(culprit.suspect)
                .or_insert(QuarantinePeriod {
                    since: now,
                    occurrences: 0,
                });
            period.since = now;
            period.occurrences += 1;
        }
        found
    }

    /// Returns the suspect that explains most crashes, if one explains enough. Crashes that
    /// have one of the `culprits` among their suspects are explained already.
    fn find_best_explanation(
        &self,
        crashes: &[&Crash],
        culprits: &HashSet<Suspect>,
    ) -> Option<Culprit> {
        let mut crashes_by_suspect: HashMap<Suspect, Vec<&Crash>> = HashMap::new();
        for crash in crashes {
            for suspect in crash.suspects.keys() {
                crashes_by_suspect.entry(*suspect).or_default().push(crash);
            }
        }
        let is_unexplained = |crash: &&Crash| {
            let mut suspects = crash.suspects.keys();
            !suspects.any(|suspect| culprits.contains(suspect))
        };
        let best = crashes_by_suspect
            .into_iter()
            .filter(|(suspect, crashes)| {
                let is_known = self.periods.contains_key(suspect);
                !culprits.contains(suspect) && (crashes.len() >= MIN_CRASHES || is_known)
            })
            .filter_map(|(suspect, mut crashes)| {
                let cleared_at = self.completed.get(&suspect).map(|c| c.at);
                crashes.retain(|crash| Some(crash.at) > cleared_at);
                let depth = crashes.first()?.suspects.get(&suspect)?.depth;
                let moments = list_moments(suspect, &crashes).len();
                let min_moments = self.min_moments(suspect, &crashes);
                crashes.retain(is_unexplained);
                let unexplained = list_moments(suspect, &crashes);
                let min_unexplained = match suspect {
                    Suspect::Part(_) => min_moments,
                    Suspect::Call(_) if cleared_at.is_some() => min_moments,
                    Suspect::Call(_) => min_moments.min(MIN_UNEXPLAINED_CRASHES),
                };
                (moments >= min_moments && unexplained.len() >= min_unexplained).then(|| {
                    (
                        unexplained.len(),
                        depth,
                        exclusiveness(&unexplained),
                        suspect,
                    )
                })
            })
            .max();
        best.map(|(crashes, _, _, suspect)| Culprit { suspect, crashes })
    }

    /// Returns the number of moments with crashes from which a suspect is quarantined;
    /// `crashes` are those that it explains.
    fn min_moments(&self, suspect: Suspect, crashes: &[&Crash]) -> usize {
        let Some(first) = crashes.first() else {
            return MIN_CRASHES_WITHOUT_CONTRAST;
        };
        if self.periods.contains_key(&suspect) {
            return 1;
        }
        let calls = crashes.iter().filter_map(|c| c.suspects.get(&suspect));
        let calls: HashSet<CallDigest> = calls.map(|at_run| at_run.call).collect();
        let has_contrast = self.count_contrast(suspect, first.at) >= MIN_CONTRAST;
        match suspect {
            Suspect::Part(_) if calls.len() < MIN_CALLS_OF_PART => usize::MAX,
            _ if has_contrast => MIN_CRASHES,
            Suspect::Part(_) => MIN_CRASHES_WITHOUT_CONTRAST,
            Suspect::Call(_) => MIN_CALL_CRASHES_WITHOUT_CONTRAST,
        }
    }

    /// Counts recent answers to calls without a suspect since `first_at`.
    fn count_contrast(&self, suspect: Suspect, first_at: MonotonicTime) -> usize {
        let answered = self.answered.iter();
        answered
            .filter(|answer| answer.at >= first_at && !answer.suspects.contains(&suspect))
            .count()
    }

    /// Drops evidence that is too old; to be called now and then by processes that do
    /// not [`evaluate`](Self::evaluate) it.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.drop_outdated(now + HISTORY);
    }

    fn drop_outdated(&mut self, now: MonotonicTime) {
        let completed = &self.completed;
        self.crashes.retain(|_, crash| {
            let age = now.since(crash.at);
            if age >= EVIDENCE_MAX_AGE && crash.alive_at.is_some() {
                return false;
            }
            if age >= EVIDENCE_MAX_AGE {
                crash.suspects.retain(|suspect, _| {
                    let is_cleared = completed.get(suspect).is_some_and(|c| c.at >= crash.at);
                    matches!(suspect, Suspect::Call(_)) && !is_cleared
                });
            }
            age < CALL_EVIDENCE_MAX_AGE && !crash.suspects.is_empty()
        });
        self.completed.retain(|suspect, completion| {
            let max_age = match suspect {
                Suspect::Part(_) => EVIDENCE_MAX_AGE,
                Suspect::Call(_) => CALL_EVIDENCE_MAX_AGE,
            };
            now.since(completion.at) < max_age
        });
        self.periods.retain(|_, period| !period.is_forgotten(now));
        self.answered
            .retain(|answer| now.since(answer.at) < EVIDENCE_MAX_AGE);
        let suspects = self.crashes.values().flat_map(|c| c.suspects.keys());
        self.suspected_calls = suspects.filter_map(|s| s.as_call()).collect();
        let suspected_calls = &self.suspected_calls;
        self.next_trials
            .retain(|call, _| suspected_calls.contains(call));
    }

    /// Builds a message for another process: what is quarantined always, and what
    /// this process has seen within `period`, since messages may be lost.
    pub fn build_news(&self, period: Duration, now: MonotonicTime) -> QuarantineNews {
        self.build_message(period, |is_own| is_own, now + HISTORY)
    }

    /// Builds a message with all that this process knows, for an entry that starts.
    pub fn build_record(&self, now: MonotonicTime) -> QuarantineNews {
        self.build_message(CALL_EVIDENCE_MAX_AGE, |_| true, now + HISTORY)
    }

    fn build_message(
        &self,
        period: Duration,
        is_told: impl Fn(bool) -> bool,
        now: MonotonicTime,
    ) -> QuarantineNews {
        let is_recent = |at: MonotonicTime| now.since(at) < period;
        let completed = self.completed.iter();
        QuarantineNews {
            broken: self.list_broken_runs(is_recent, &is_told, now),
            alive: self
                .crashes
                .iter()
                .filter_map(|(run, crash)| {
                    let at = crash.alive_at.filter(|at| is_recent(*at))?;
                    let age = now.since(at);
                    Some(AliveRun { run: *run, age })
                })
                .collect(),
            cleared: completed
                .filter(|(_, completion)| is_told(completion.is_own) && is_recent(completion.at))
                .map(|(suspect, completion)| ClearedSuspect {
                    suspect: *suspect,
                    age: now.since(completion.at),
                })
                .collect(),
            quarantined: self
                .periods
                .iter()
                .filter(|(_, period)| period.time_left(now).is_some())
                .map(|(suspect, period)| QuarantinedSuspect {
                    suspect: *suspect,
                    age: now.since(period.since),
                    occurrences: period.occurrences,
                })
                .collect(),
        }
    }

    /// Lists the latest broken runs, as far as a message may hold them.
    fn list_broken_runs(
        &self,
        is_recent: impl Fn(MonotonicTime) -> bool,
        is_told: impl Fn(bool) -> bool,
        now: MonotonicTime,
    ) -> Vec<BrokenRun> {
        let crashes = self.crashes.iter();
        let mut crashes: Vec<(&RunKey, &Crash)> = crashes
            .filter(|(_, crash)| is_told(crash.is_own) && is_recent(crash.at))
            .collect();
        crashes.sort_by_key(|(run, crash)| (std::cmp::Reverse(crash.at), run.0));
        let mut room = MAX_TOLD_SUSPECTS;
        crashes
            .into_iter()
            .take(MAX_TOLD_RUNS)
            .take_while(|(_, crash)| {
                room = room.saturating_sub(crash.suspects.len());
                room > 0
            })
            .map(|(run, crash)| crash.to_broken_run(*run, now))
            .collect()
    }

    /// Applies a message of another process.
    pub fn apply_news(&mut self, news: QuarantineNews, now: MonotonicTime) -> LearnedNews {
        let now = now + HISTORY;
        let mut learned = LearnedNews::default();
        for broken in news.broken {
            let at = now.saturating_sub(broken.age);
            learned.has_evidence |= self.add_suspects(broken.run, &broken.suspects, at, false);
        }
        for alive in news.alive {
            if let Some(crash) = self.crashes.get_mut(&alive.run) {
                crash.record_answer(now.saturating_sub(alive.age));
            }
        }
        for cleared in news.cleared {
            if self.clear(cleared.suspect, now.saturating_sub(cleared.age), false) {
                learned.released.push(cleared.suspect);
            }
        }
        for quarantined in news.quarantined {
            if self.learn_quarantine(quarantined, now) {
                learned.quarantined.push(quarantined.suspect);
            }
        }
        learned
    }

    fn learn_quarantine(&mut self, learned: QuarantinedSuspect, now: MonotonicTime) -> bool {
        let since = now.saturating_sub(learned.age);
        let cleared_at = self.completed.get(&learned.suspect).map(|c| c.at);
        if Some(since) <= cleared_at {
            return false;
        }
        let known = self.periods.get(&learned.suspect);
        let was_quarantined = known.is_some_and(|known| known.time_left(now).is_some());
        if known.is_none_or(|known| known.occurrences < learned.occurrences) {
            let period = QuarantinePeriod {
                since,
                occurrences: learned.occurrences,
            };
            self.periods.insert(learned.suspect, period);
        }
        !was_quarantined
    }
}

/// Lists what a call may be quarantined for: itself, and the parts that it shares.
fn list_suspects(parts: &[PromptPart], call: CallDigest) -> impl Iterator<Item = Suspect> {
    let parts = parts.iter().map(|part| Suspect::Part(part.id));
    parts.chain([Suspect::Call(call)])
}

/// Returns a value that is the higher, the fewer suspects crashes have.
fn exclusiveness(crashes: &[&Crash]) -> u64 {
    let crashes = crashes.iter();
    crashes
        .map(|crash| 1_000_000 / crash.suspects.len() as u64)
        .sum()
}

/// Returns one of the crashes of a suspect for each moment. `crashes` are ordered by time.
/// A call that was sent after one crash has caused the next one at another moment.
fn list_moments<'a>(suspect: Suspect, crashes: &[&'a Crash]) -> Vec<&'a Crash> {
    let is_call = matches!(suspect, Suspect::Call(_));
    let mut moments: Vec<&Crash> = Vec::new();
    for crash in crashes {
        let at_run = crash.suspects.get(&suspect);
        let sent_at = at_run.map(|at_run| crash.earliest(at_run.sent_at));
        let is_later = moments.last().is_none_or(|last| {
            crash.earliest(crash.at).since(last.at) >= SAME_MOMENT
                || (is_call && sent_at > Some(last.at))
        });
        if is_later {
            moments.push(crash);
        }
    }
    moments
}
