//! Model of entries that hold calls for engines which prefill one prompt at a time, and
//! of callers that return once. Times are in milliseconds.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slotmap::SlotMap;
use teaseldrum::core::AccountName;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::fleet::AdmissionDecision;
use teaseldrum::core::fleet::AdmissionQueue;
use teaseldrum::core::fleet::AdmissionTicket;
use teaseldrum::core::fleet::BackendKey;
use teaseldrum::core::fleet::Candidates;
use teaseldrum::core::fleet::OfferedCall;
use teaseldrum::core::fleet::StartEstimate;

/// Step of the model, age at which reports are replaced, and intervals of exchanges and
/// of looks at waiting calls.
const STEP: u64 = 2;
const REPORT_INTERVAL: u64 = 100;
const EXCHANGE_INTERVAL: u64 = 76;
const LOOK_INTERVAL: u64 = 10;

/// Time after which entries send nothing to a silent engine.
const SILENCE_NOTICED: u64 = 700;

/// Kind of call, with the load of all entries together.
#[derive(Debug, Clone)]
pub struct Kind {
    pub priority: u8,
    pub per_s: f64,
    pub work: u64,
    pub tokens: u64,
    pub objective: u64,
    pub deadline: u64,
}

/// A time in which one account, or all, send more calls of a kind.
#[derive(Debug, Clone)]
pub struct Burst {
    pub kind: usize,
    pub account: Option<usize>,
    pub factor: f64,
    pub span: Range<u64>,
}

/// What happens to a fleet.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub entries: usize,
    pub engines: usize,
    pub accounts: usize,
    pub kinds: Vec<Kind>,
    pub bursts: Vec<Burst>,
    /// Engines from the first on that are silent, and when.
    pub silent: (usize, Range<u64>),
    /// Entry that ends at a time; its calls go to the others.
    pub entry_ends: Option<(usize, u64)>,
    pub end: u64,
}

/// What became of a call, its return included.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub kind: usize,
    pub account: usize,
    pub arrived: u64,
    /// Whether it was refused first.
    pub returned: bool,
    /// Time from the arrival of the last try to its first token; `None` if refused.
    pub first: Option<u64>,
    /// Wait predicted when it was sent, and the wait it met.
    pub waits: (u64, u64),
    /// When it was sent.
    pub sent: u64,
    pub is_lost: bool,
}

#[derive(Debug, Clone)]
struct Call {
    kind: usize,
    account: usize,
    arrived: u64,
    received: u64,
    deadline: u64,
    entry: usize,
    identity: u64,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    free_at: u64,
    reported_at: u64,
    reported_wait: u64,
    silent_since: Option<u64>,
}

struct Entry {
    queue: AdmissionQueue,
    waiting: HashMap<AdmissionTicket, Call>,
    /// Work sent to each engine, and when.
    sent: HashMap<BackendKey, Vec<(u64, u64)>>,
    is_gone: bool,
}

/// Fleet that a scenario is played on.
pub struct Model {
    scenario: Scenario,
    rng: StdRng,
    keys: Vec<BackendKey>,
    engines: HashMap<BackendKey, Engine>,
    entries: Vec<Entry>,
    returns: BTreeMap<u64, Vec<Call>>,
    observations: BTreeMap<u64, Vec<(usize, u64, u64)>>,
    outcomes: Vec<Outcome>,
}

pub fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_micros(ms * 1_000)
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Model {
    pub fn play(scenario: Scenario) -> Vec<Outcome> {
        let mut slots: SlotMap<BackendKey, ()> = SlotMap::with_key();
        let keys: Vec<_> = (0..scenario.engines).map(|_| slots.insert(())).collect();
        let entries = (0..scenario.entries).map(|number| Entry {
            queue: AdmissionQueue::new(&format!("entry-{number}")),
            waiting: HashMap::new(),
            sent: HashMap::new(),
            is_gone: false,
        });
        let mut model = Self {
            rng: StdRng::seed_from_u64(scenario.seed),
            engines: keys.iter().map(|key| (*key, Engine::default())).collect(),
            entries: entries.collect(),
            keys,
            returns: BTreeMap::new(),
            observations: BTreeMap::new(),
            outcomes: Vec::new(),
            scenario,
        };
        let mut now = 0;
        while now < model.scenario.end {
            model.step(now);
            now += STEP;
        }
        model.outcomes
    }

    fn step(&mut self, now: u64) {
        self.update_engines(now);
        if let Some((entry, ends_at)) = self.scenario.entry_ends
            && ends_at == now
        {
            self.entries[entry].is_gone = true;
        }
        while let Some(due) = self.observations.first_entry()
            && *due.key() <= now
        {
            for (entry, predicted, observed) in due.remove() {
                let queue = &mut self.entries[entry].queue;
                queue.observe_start("s", ms(predicted), ms(observed), at(now));
            }
        }
        if now.is_multiple_of(EXCHANGE_INTERVAL) {
            self.exchange(now);
        }
        if now.is_multiple_of(LOOK_INTERVAL) {
            (0..self.entries.len()).for_each(|entry| self.look(entry, now));
        }
        self.let_calls_arrive(now);
    }

    fn update_engines(&mut self, now: u64) {
        let (count, span) = self.scenario.silent.clone();
        for (number, key) in self.keys.iter().enumerate() {
            let engine = self.engines.get_mut(key).expect("engine");
            if number < count && span.contains(&now) {
                engine.silent_since.get_or_insert(now);
            } else if engine.silent_since.take().is_some() {
                engine.free_at = now;
            }
            let is_due = (now + number as u64 * 14) % REPORT_INTERVAL < STEP;
            if is_due && engine.silent_since.is_none() {
                engine.reported_at = now;
                engine.reported_wait = engine.free_at.saturating_sub(now);
            }
        }
    }

    fn exchange(&mut self, now: u64) {
        let demands: Vec<_> = self
            .entries
            .iter()
            .map(|entry| entry.queue.build_demand(at(now)))
            .collect();
        for receiver in 0..self.entries.len() {
            for (sender, demand) in demands.iter().enumerate() {
                if sender != receiver && !self.entries[sender].is_gone {
                    let queue = &mut self.entries[receiver].queue;
                    queue.record_demand(&format!("entry-{sender}"), demand.clone(), at(now));
                }
            }
        }
    }

    fn let_calls_arrive(&mut self, now: u64) {
        for kind in 0..self.scenario.kinds.len() {
            for account in 0..self.scenario.accounts {
                let bursts = self.scenario.bursts.iter().filter(|burst| {
                    burst.kind == kind
                        && burst.account.is_none_or(|only| only == account)
                        && burst.span.contains(&now)
                });
                let factor: f64 = bursts.map(|burst| burst.factor).product();
                let per_s = self.scenario.kinds[kind].per_s * factor;
                let chance = per_s / self.scenario.accounts as f64 * STEP as f64 / 1_000.0;
                let count = chance as u64 + u64::from(self.rng.random::<f64>() < chance.fract());
                for _ in 0..count {
                    let call = Call {
                        kind,
                        account,
                        arrived: now,
                        received: now,
                        deadline: now + self.scenario.kinds[kind].deadline,
                        entry: self.draw_entry(),
                        identity: self.rng.random(),
                    };
                    self.offer(call, now);
                }
            }
        }
        while let Some(due) = self.returns.first_entry()
            && *due.key() <= now
        {
            for mut call in due.remove() {
                call.received = now;
                if self.entries[call.entry].is_gone {
                    call.entry = self.draw_entry();
                }
                self.offer(call, now);
            }
        }
    }

    fn draw_entry(&mut self) -> usize {
        loop {
            let entry = self.rng.random_range(0..self.entries.len());
            if !self.entries[entry].is_gone {
                return entry;
            }
        }
    }

    fn offer(&mut self, call: Call, now: u64) {
        let kind = &self.scenario.kinds[call.kind];
        let offered = OfferedCall {
            account: Some(AccountName::from(format!("a{}", call.account).as_str())),
            weight: OfferedCall::MEAN_WEIGHT,
            priority: kind.priority,
            tokens: kind.tokens,
            objective: ms(kind.objective),
            received_at: at(call.received),
            deadline: at(call.deadline),
            identity: call.identity,
            is_resend: false,
        };
        let decision = self.decide(&call, now, |queue, candidates| {
            queue.offer("s", offered, candidates, at(now))
        });
        self.apply(call, decision, now);
    }

    fn look(&mut self, entry: usize, now: u64) {
        if self.entries[entry].is_gone {
            return;
        }
        let queue = &mut self.entries[entry].queue;
        let entry_count = self.scenario.entries;
        queue.expire(entry_count, ms(EXCHANGE_INTERVAL), at(now));
        let front: Vec<_> = queue.list_front(at(now));
        let front: Vec<AdmissionTicket> = front.into_iter().map(|(_, ticket)| ticket).collect();
        for ticket in front {
            let Some(call) = self.entries[entry].waiting.remove(&ticket) else {
                continue;
            };
            let decision = self.decide(&call, now, |queue, candidates| {
                queue.look("s", ticket, candidates, at(now))
            });
            self.apply(call, decision, now);
        }
    }

    /// Asks an entry's queue, with predictions from the last reports and from what the
    /// entry has sent since.
    fn decide(
        &mut self,
        call: &Call,
        now: u64,
        ask: impl FnOnce(&mut AdmissionQueue, &mut Candidates<'_>) -> AdmissionDecision,
    ) -> AdmissionDecision {
        let work = self.scenario.kinds[call.kind].work;
        let entry = &mut self.entries[call.entry];
        let estimates: Vec<StartEstimate> = self
            .keys
            .iter()
            .filter_map(|key| estimate(&self.engines[key], *key, entry.sent.get(key), work, now))
            .collect();
        let mut choose = |avoid: &[BackendKey]| {
            let open = estimates.iter().filter(|e| !avoid.contains(&e.server));
            open.min_by_key(|estimate| estimate.wait).copied()
        };
        let mut candidates = Candidates {
            servers: &self.keys,
            choose: &mut choose,
        };
        ask(&mut entry.queue, &mut candidates)
    }

    fn apply(&mut self, call: Call, decision: AdmissionDecision, now: u64) {
        match decision {
            AdmissionDecision::Start { estimate, .. } => self.send(call, &estimate, now),
            AdmissionDecision::Wait(ticket) => {
                self.entries[call.entry].waiting.insert(ticket, call);
            }
            AdmissionDecision::Refuse(refusal) => {
                if call.received == call.arrived {
                    let third = call.deadline.saturating_sub(now) / 3;
                    let after = (refusal.after.as_millis() as u64).min(third).max(STEP);
                    self.returns.entry(now + after).or_default().push(call);
                } else {
                    self.record(&call, None, (0, 0), now);
                }
            }
        }
    }

    fn send(&mut self, call: Call, estimate: &StartEstimate, now: u64) {
        let work = self.scenario.kinds[call.kind].work;
        let sent = self.entries[call.entry].sent.entry(estimate.server);
        sent.or_default().push((now, work));
        let engine = self.engines.get_mut(&estimate.server).expect("engine");
        let predicted = estimate.wait.as_millis() as u64;
        if engine.silent_since.is_some() {
            self.record(&call, None, (predicted, 0), now);
            self.outcomes.last_mut().expect("recorded").is_lost = true;
            return;
        }
        let begins_at = engine.free_at.max(now);
        engine.free_at = begins_at + work;
        let first = begins_at + work;
        let observation = (call.entry, predicted + work, first - now);
        self.observations
            .entry(first)
            .or_default()
            .push(observation);
        self.record(
            &call,
            Some(first - call.received),
            (predicted, begins_at - now),
            now,
        );
    }

    fn record(&mut self, call: &Call, first: Option<u64>, waits: (u64, u64), now: u64) {
        self.outcomes.push(Outcome {
            kind: call.kind,
            account: call.account,
            arrived: call.arrived,
            returned: call.received != call.arrived,
            first,
            waits,
            sent: now,
            is_lost: false,
        });
    }
}

fn estimate(
    engine: &Engine,
    key: BackendKey,
    sent: Option<&Vec<(u64, u64)>>,
    work: u64,
    now: u64,
) -> Option<StartEstimate> {
    let is_noticed = |since: u64| now >= since + SILENCE_NOTICED;
    if engine.silent_since.is_some_and(is_noticed) {
        return None;
    }
    let age = now - engine.reported_at;
    let unreported = sent.map_or(0, |sent| {
        let later = sent
            .iter()
            .rev()
            .take_while(|(at, _)| *at >= engine.reported_at);
        later.map(|(_, work)| work).sum()
    });
    Some(StartEstimate {
        server: key,
        wait: ms((engine.reported_wait + unreported).saturating_sub(age)),
        work: ms(work),
        report_age: Some(ms(age)),
        is_plain: false,
        has_agent: true,
    })
}
