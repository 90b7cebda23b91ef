//! Prompt parts that crash servers, over random histories of entries and engines
//! that also crash, lose connections and are cut off for other reasons.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::ServerName;
use teaseldrum::core::fleet::PartId;
use teaseldrum::core::fleet::PromptPart;
use teaseldrum::core::fleet::Quarantine;
use teaseldrum::core::fleet::QuarantineNews;
use teaseldrum::core::fleet::RunKey;

const ENTRIES: usize = 4;
const ENGINES: usize = 12;
const STEP: Duration = Duration::from_millis(20);
const STEPS_PER_S: u64 = 50;

/// Steps of a sound call, and of a faulty one until its engine crashes.
const CALL_STEPS: u64 = 5;
const CRASH_STEPS: u64 = 2;

/// Steps until a crashed engine is back as another run.
const RESTART_STEPS: u64 = 2 * STEPS_PER_S;

/// Steps between exchanges of two entries.
const EXCHANGE_STEPS: u64 = 4;

/// Crashes after which, and time after these from which, no entry in touch may
/// send more than [`MAX_LATE_CALLS`].
const COUNTED_CRASHES: usize = 5;
const CONTACT_STEPS: u64 = 3 * STEPS_PER_S;
const MAX_LATE_CALLS: usize = 3;

const FAULTY: &str = "faulty";
const SOUND_SUBJECTS: usize = 12;

fn parts(names: &[&str]) -> Vec<PromptPart> {
    let part = |name: &&str| PromptPart {
        id: PartId::from_name(name),
        tokens: 500,
    };
    names.iter().map(part).collect()
}

fn run_key(engine: usize, run: u64) -> RunKey {
    RunKey::new(&ServerName::from(format!("i-{engine}").as_str()), Some(run))
}

/// Faults that are not the faulty part's.
#[derive(Debug, Clone, Copy)]
struct Faults {
    /// Engines that crash, a second.
    engine_crashes: f64,
    /// Crashes of all engines at one moment, a second.
    mass_crashes: f64,
    /// Engines whose connections are reset, a second.
    resets: f64,
    /// Entries that are killed, a second.
    entry_kills: f64,
    /// Entries that cannot exchange for two seconds, a second.
    entry_cuts: f64,
}

const NO_FAULTS: Faults = Faults {
    engine_crashes: 0.0,
    mass_crashes: 0.0,
    resets: 0.0,
    entry_kills: 0.0,
    entry_cuts: 0.0,
};

#[derive(Debug)]
struct Call {
    entry: usize,
    engine: usize,
    parts: Vec<PromptPart>,
    is_faulty: bool,
    is_resent: bool,
    sent_at: u64,
}

#[derive(Debug)]
struct Engine {
    run: u64,
    down_until: u64,
}

#[derive(Debug, Default)]
struct Entry {
    quarantine: Quarantine,
    cut_until: u64,
    touched_at: u64,
}

/// Decides whether an entry sends a call.
type MaySend = fn(&Quarantine, &[PromptPart], MonotonicTime) -> bool;

fn may_send(quarantine: &Quarantine, parts: &[PromptPart], now: MonotonicTime) -> bool {
    quarantine.find_time_left(parts, now).is_none()
}

struct Fleet {
    rng: StdRng,
    step: u64,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    calls: Vec<Call>,
    may_send: MaySend,
    faulty_crashes: Vec<u64>,
    late_faulty_calls: usize,
    refused_sound_calls: usize,
}

impl Fleet {
    fn new(seed: u64, may_send: MaySend) -> Self {
        let engine = |_| Engine {
            run: 1,
            down_until: 0,
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            step: 0,
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            engines: (0..ENGINES).map(engine).collect(),
            calls: Vec::new(),
            may_send,
            faulty_crashes: Vec::new(),
            late_faulty_calls: 0,
            refused_sound_calls: 0,
        }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + STEP * u32::try_from(self.step).expect("short history")
    }

    fn chance(&mut self, per_s: f64) -> bool {
        self.rng.random::<f64>() < per_s / STEPS_PER_S as f64
    }

    fn pick_engine(&mut self, except: Option<usize>) -> Option<usize> {
        let up: Vec<usize> = (0..ENGINES)
            .filter(|index| self.engines[*index].down_until <= self.step)
            .filter(|index| Some(*index) != except)
            .collect();
        let index = self.rng.random_range(0..up.len().max(1));
        up.get(index).copied()
    }

    fn send(&mut self, mut call: Call, except: Option<usize>) {
        let (step, now) = (self.step, self.now());
        let entry = &self.entries[call.entry];
        if !(self.may_send)(&entry.quarantine, &call.parts, now) {
            self.refused_sound_calls += usize::from(!call.is_faulty);
            return;
        }
        let is_in_touch = step >= entry.touched_at + CONTACT_STEPS || entry.touched_at == 0;
        let is_late = self
            .faulty_crashes
            .get(COUNTED_CRASHES - 1)
            .is_some_and(|at| step > at + CONTACT_STEPS);
        let Some(engine) = self.pick_engine(except) else {
            return;
        };
        self.late_faulty_calls += usize::from(call.is_faulty && is_late && is_in_touch);
        call.engine = engine;
        call.sent_at = step;
        self.calls.push(call);
    }

    /// Breaks the calls of an engine; with `is_crash` it also goes down.
    fn break_engine(&mut self, engine: usize, is_crash: bool) {
        let (step, now) = (self.step, self.now());
        let key = run_key(engine, self.engines[engine].run);
        if is_crash {
            self.engines[engine].run += 1;
            self.engines[engine].down_until = step + RESTART_STEPS;
        }
        let calls = std::mem::take(&mut self.calls);
        let (broken, rest) = calls.into_iter().partition(|call| call.engine == engine);
        self.calls = rest;
        for call in broken {
            let quarantine = &mut self.entries[call.entry].quarantine;
            quarantine.record_break(key, &call.parts, now);
            if !call.is_resent {
                let again = Call {
                    is_resent: true,
                    ..call
                };
                self.send(again, Some(engine));
            }
        }
    }

    fn end_calls(&mut self) {
        let (step, now) = (self.step, self.now());
        let crashing: Vec<usize> = self
            .calls
            .iter()
            .filter(|call| call.is_faulty && step >= call.sent_at + CRASH_STEPS)
            .map(|call| call.engine)
            .collect();
        for engine in crashing {
            if self.engines[engine].down_until <= step {
                self.faulty_crashes.push(step);
                self.break_engine(engine, true);
            }
        }
        let calls = std::mem::take(&mut self.calls);
        let (ended, running): (Vec<Call>, Vec<Call>) = calls
            .into_iter()
            .partition(|call| step >= call.sent_at + CALL_STEPS);
        self.calls = running;
        for call in ended {
            let key = run_key(call.engine, self.engines[call.engine].run);
            let quarantine = &mut self.entries[call.entry].quarantine;
            quarantine.record_answer(key, now);
            quarantine.record_completion(&call.parts, now);
        }
    }

    fn start_calls(&mut self, faulty_per_s: f64, sound_per_s: f64) {
        if self.chance(faulty_per_s) {
            let entry = self.rng.random_range(0..ENTRIES);
            let call = new_call(entry, parts(&["system", FAULTY]), true);
            self.send(call, None);
        }
        let subject = self.rng.random_range(0..SOUND_SUBJECTS);
        if self.chance(sound_per_s) {
            let entry = self.rng.random_range(0..ENTRIES);
            let subject = format!("subject-{subject}");
            let call = new_call(entry, parts(&["system", &subject]), false);
            self.send(call, None);
        }
    }

    fn inject(&mut self, faults: Faults) {
        let engine = self.rng.random_range(0..ENGINES);
        if self.chance(faults.engine_crashes) && self.engines[engine].down_until <= self.step {
            self.break_engine(engine, true);
        }
        if self.chance(faults.mass_crashes) {
            (0..ENGINES).for_each(|engine| self.break_engine(engine, true));
        }
        if self.chance(faults.resets) {
            self.break_engine(engine, false);
        }
        let entry = self.rng.random_range(0..ENTRIES);
        if self.chance(faults.entry_kills) {
            self.entries[entry] = Entry {
                touched_at: self.step,
                ..Entry::default()
            };
            self.calls.retain(|call| call.entry != entry);
        }
        if self.chance(faults.entry_cuts) {
            let until = self.step + 2 * STEPS_PER_S;
            self.entries[entry].cut_until = until;
            self.entries[entry].touched_at = until;
        }
    }

    fn exchange(&mut self) {
        let (step, now) = (self.step, self.now());
        let period = STEP * (EXCHANGE_STEPS as u32) * 4;
        let news: HashMap<usize, QuarantineNews> = (0..ENTRIES)
            .filter(|index| self.entries[*index].cut_until <= step)
            .map(|index| {
                (
                    index,
                    self.entries[index].quarantine.build_news(period, now),
                )
            })
            .collect();
        for (from, news) in &news {
            for to in (0..ENTRIES).filter(|to| to != from) {
                if self.entries[to].cut_until <= step {
                    self.entries[to].quarantine.apply_news(news.clone(), now);
                }
            }
        }
    }

    fn play(&mut self, seconds: u64, faulty_per_s: f64, sound_per_s: f64, faults: Faults) {
        for _ in 0..seconds * STEPS_PER_S {
            self.step += 1;
            self.inject(faults);
            self.end_calls();
            self.start_calls(faulty_per_s, sound_per_s);
            let now = self.now();
            for entry in &mut self.entries {
                entry.quarantine.evaluate(now);
            }
            if self.step.is_multiple_of(EXCHANGE_STEPS) {
                self.exchange();
            }
        }
    }
}

fn new_call(entry: usize, parts: Vec<PromptPart>, is_faulty: bool) -> Call {
    Call {
        entry,
        engine: 0,
        parts,
        is_faulty,
        is_resent: false,
        sent_at: 0,
    }
}

fn histories(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(26),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(histories(60))]

    /// Calls with the faulty part stop reaching engines in time, while engines and
    /// entries also fail for other reasons; sound calls are not refused.
    #[test]
    fn evaluate_random_histories(
        seed in any::<u64>(),
        faulty_per_s in 0.5..12.0_f64,
        engine_crashes in 0.0..0.5_f64,
        mass_crashes in 0.0..0.1_f64,
        resets in 0.0..1.0_f64,
        entry_kills in 0.0..0.1_f64,
        entry_cuts in 0.0..0.2_f64,
    ) {
        let faults = Faults { engine_crashes, mass_crashes, resets, entry_kills, entry_cuts };
        let mut fleet = Fleet::new(seed, may_send);
        fleet.play(40, faulty_per_s, 40.0, faults);
        prop_assert!(fleet.late_faulty_calls <= MAX_LATE_CALLS, "{}", fleet.late_faulty_calls);
        prop_assert_eq!(fleet.refused_sound_calls, 0);
    }
}

/// The check above fails for entries that send everything.
#[test]
fn evaluate_send_everything_is_rejected() {
    let mut fleet = Fleet::new(1, |_, _, _| true);
    fleet.play(20, 8.0, 40.0, NO_FAULTS);
    assert!(fleet.late_faulty_calls > MAX_LATE_CALLS);
}

/// Engines that all crash at one moment, again and again, make no part faulty, also
/// where few calls have the part.
#[rstest]
#[case::busy(40.0)]
#[case::quiet(4.0)]
fn evaluate_mass_crashes_no_part(#[case] sound_per_s: f64) {
    let faults = Faults {
        mass_crashes: 0.2,
        ..NO_FAULTS
    };
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, may_send);
        fleet.play(60, 0.0, sound_per_s, faults);
        assert_eq!(fleet.refused_sound_calls, 0, "seed {seed}");
    }
}

/// A part that was quarantined wrongly is released by a call that ends whole.
#[test]
fn record_completion_quarantined_part_is_released() {
    let mut quarantine = Quarantine::default();
    let suspects = parts(&["subject"]);
    let at = |ms| MonotonicTime::ZERO + Duration::from_millis(ms);
    for run in 1..=5 {
        quarantine.record_break(run_key(0, run), &suspects, at(600 * run));
    }
    assert_eq!(quarantine.evaluate(at(4_000)).len(), 1);
    assert!(quarantine.find_time_left(&suspects, at(4_001)).is_some());
    let news = quarantine.build_news(Duration::from_secs(1), at(4_100));
    let released = quarantine.record_completion(&suspects, at(4_200));
    assert_eq!(released, [suspects[0].id]);
    // The earlier news of a peer do not bring it back.
    quarantine.apply_news(news, at(4_100));
    assert_eq!(quarantine.find_time_left(&suspects, at(4_300)), None);
}

/// A part that crashes a server again after its quarantine is quarantined at once,
/// and for longer.
#[test]
fn evaluate_after_quarantine_first_crash_suffices() {
    let mut quarantine = Quarantine::default();
    let faulty = parts(&["system", FAULTY]);
    let at = |s| MonotonicTime::ZERO + Duration::from_secs(s);
    for run in 1..=5 {
        quarantine.record_break(run_key(0, run), &faulty, at(run));
    }
    quarantine.evaluate(at(6));
    let first = quarantine
        .find_time_left(&faulty, at(6))
        .expect("quarantined");
    let ended = at(6) + first;
    assert_eq!(quarantine.find_time_left(&faulty, ended), None);
    quarantine.record_break(run_key(0, 6), &faulty, ended);
    quarantine.evaluate(ended + Duration::from_secs(1));
    let second = quarantine.find_time_left(&faulty, ended + Duration::from_secs(1));
    assert!(second.is_some_and(|second| second > first));
}
