//! A run of the bench in virtual time.

use std::collections::BinaryHeap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use teaseldrum::core::LoadReport;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::fair_queue::FairQueue;
use teaseldrum::core::fair_queue::WaitingCost;

use super::admission::Admission;
use super::chooser::Chooser;
use super::chooser::LoadNews;
use super::engine_model::EngineModel;
use super::engine_model::EngineWork;
use super::engine_model::StepOutcome;
use super::event::Event;
use super::event::TimedEvent;
use super::fault::Fault;
use super::measures::Measures;
use super::policy_name::PolicyName;
use super::trace::TracedRequest;
use super::trace::draw_trace;
use super::trace::fault_span;
use super::workload::Sizes;
use super::workload::Workload;

const REPORT_EVERY: Duration = Duration::from_millis(250);
const REPORT_LAG: Duration = Duration::from_millis(150);
const DETECT_LOSS: Duration = Duration::from_millis(100);
const RESTART_TIME: Duration = Duration::from_secs(4);
const REPORT_LOSS: f64 = 0.5;
const MAX_ATTEMPTS: usize = 4;
const ZONES: usize = 3;
const MAX_WAITING: usize = 10_000;

/// Prompts that an agent lets its engine hold before their first token.
const MAX_PREFILLS: usize = 2;

/// What is run.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// The workload.
    pub workload: Workload,
    /// The policy.
    pub policy: PolicyName,
    /// The fault.
    pub fault: Fault,
    /// Seed of everything drawn at random.
    pub seed: u64,
}

/// Runs a scenario and returns its figures.
pub fn run_scenario(scenario: Scenario) -> Value {
    run_sizes(scenario, &scenario.workload.sizes())
}

fn run_sizes(scenario: Scenario, sizes: &Sizes) -> Value {
    let trace = draw_trace(sizes, scenario.fault, scenario.seed);
    Simulation::new(scenario, sizes, &trace).run()
}

struct Simulation<'a> {
    scenario: Scenario,
    sizes: &'a Sizes,
    trace: &'a [TracedRequest],
    rng: StdRng,
    now: MonotonicTime,
    next_number: u64,
    events: BinaryHeap<TimedEvent>,
    entries: Vec<EntryModel>,
    servers: Vec<ServerModel>,
    attempts: Vec<Attempt>,
    tried: Vec<Vec<usize>>,
    admission: Admission,
    measures: Measures,
}

struct EntryModel {
    chooser: Chooser,
    incarnation: u64,
    is_lost: bool,
}

struct ServerModel {
    engine: EngineModel,
    incarnation: u64,
    is_up: bool,
    is_stepping: bool,
    prefills: usize,
    queue: AgentQueue,
    outcomes: Vec<StepOutcome>,
    load: LoadReport,
}

/// Where requests wait at an agent.
enum AgentQueue {
    /// They wait in the engine.
    None,
    /// They wait for their account's turn.
    Fair(FairQueue<usize, usize>),
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    request: usize,
    entry: usize,
    entry_incarnation: u64,
    server: usize,
    uncached_tokens: u32,
}

impl<'a> Simulation<'a> {
    fn new(scenario: Scenario, sizes: &'a Sizes, trace: &'a [TracedRequest]) -> Self {
        let entries = (0..sizes.entries).map(|entry| EntryModel {
            chooser: Chooser::new(scenario.policy, sizes, entry),
            incarnation: 0,
            is_lost: false,
        });
        let servers = (0..sizes.servers).map(|_| ServerModel {
            engine: EngineModel::new(sizes.cache_blocks),
            incarnation: 1,
            is_up: true,
            is_stepping: false,
            prefills: 0,
            queue: AgentQueue::new(scenario.policy),
            outcomes: Vec::new(),
            load: LoadReport::default(),
        });
        let mut simulation = Self {
            scenario,
            sizes,
            trace,
            rng: StdRng::seed_from_u64(scenario.seed ^ 0x5eed),
            now: MonotonicTime::ZERO,
            next_number: 0,
            events: BinaryHeap::new(),
            entries: entries.collect(),
            servers: servers.collect(),
            attempts: Vec::new(),
            tried: vec![Vec::new(); trace.len()],
            admission: Admission::new(sizes),
            measures: Measures::new(sizes.account_shares.len(), sizes.warm_up),
        };
        simulation.schedule_start();
        simulation
    }

    fn schedule_start(&mut self) {
        for (number, request) in self.trace.iter().enumerate() {
            self.schedule(request.at, Event::Arrive(number));
        }
        for server in 0..self.sizes.servers {
            let offset = REPORT_EVERY * server as u32 / self.sizes.servers as u32;
            self.schedule(MonotonicTime::ZERO + offset, Event::Report(server));
        }
        self.schedule_fault();
    }

    fn schedule_fault(&mut self) {
        let span = fault_span(self.sizes);
        let later = |seconds| span.start + Duration::from_secs(seconds);
        match self.scenario.fault {
            Fault::EngineCrash => {
                for number in 0..4 {
                    let server = (number * 5 + 1) % self.sizes.servers;
                    let crash = Event::Crash(server, Some(RESTART_TIME));
                    self.schedule(later(number as u64 * 8), crash);
                }
            }
            Fault::EntryRestarts => {
                for entry in 0..self.sizes.entries {
                    self.schedule(span.start, Event::RestartEntry(entry));
                    self.schedule(later(20 + 5 * entry as u64), Event::RestartEntry(entry));
                }
            }
            Fault::ZoneLoss => {
                for server in (0..self.sizes.servers).filter(|server| server % ZONES == 2) {
                    self.schedule(span.start, Event::Crash(server, None));
                }
                for entry in (0..self.sizes.entries).filter(|entry| entry % ZONES == 2) {
                    self.schedule(span.start, Event::LoseEntry(entry));
                }
            }
            Fault::None | Fault::EventLoss | Fault::HotShift | Fault::NoisyAccount => {}
        }
    }

    fn schedule(&mut self, at: MonotonicTime, event: Event) {
        self.next_number += 1;
        self.events.push(TimedEvent {
            at,
            number: self.next_number,
            event,
        });
    }

    fn run(mut self) -> Value {
        while let Some(next) = self.events.pop() {
            self.now = next.at;
            self.handle(next.event);
        }
        self.measures.to_json()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Reach(attempt) => self.reach(attempt),
            Event::StepEnds(server, incarnation) => self.end_step(server, incarnation),
            Event::Report(server) => self.report(server),
            Event::EngineLoad(news) => self.note_engine_load(news),
            Event::Learn(entry, news) => self.learn(entry, &news),
            Event::Lost(attempt) => self.lose(attempt),
            Event::Ended(attempt) => self.end(attempt),
            Event::Crash(server, restart) => self.crash(server, restart),
            Event::Return(server) => self.servers[server].is_up = true,
            Event::RestartEntry(entry) => self.restart_entry(entry),
            Event::LoseEntry(entry) => self.entries[entry].is_lost = true,
        }
    }

    fn arrive(&mut self, number: usize) {
        let request = &self.trace[number];
        if self.tried[number].is_empty() {
            let tokens = request.tokens() + request.output_tokens;
            if !self.admission.admit(request.account, tokens, self.now) {
                return self.measures.refuse_over_rate(request);
            }
            self.measures.offer(request);
        }
        let live: Vec<usize> = (0..self.entries.len())
            .filter(|&entry| !self.entries[entry].is_lost)
            .collect();
        let entry = live[request.entry_draw % live.len()];
        let model = &mut self.entries[entry];
        let chosen = model.chooser.begin(request, &self.tried[number], self.now);
        let Some(chosen) = chosen else {
            return self.measures.refuse_in_rate(request);
        };
        let attempt = Attempt {
            request: number,
            entry,
            entry_incarnation: model.incarnation,
            server: chosen.server,
            uncached_tokens: chosen.uncached_tokens,
        };
        self.tried[number].push(chosen.server);
        self.attempts.push(attempt);
        let at = self.now + self.distance(&attempt);
        self.schedule(at, Event::Reach(self.attempts.len() - 1));
    }

    fn distance(&self, attempt: &Attempt) -> Duration {
        if attempt.entry % ZONES == attempt.server % ZONES {
            self.sizes.same_zone
        } else {
            self.sizes.other_zone
        }
    }

    fn reach(&mut self, number: usize) {
        let attempt = self.attempts[number];
        let request = &self.trace[attempt.request];
        let answered = self.now + self.distance(&attempt);
        let server = &mut self.servers[attempt.server];
        if !server.is_up {
            return self.schedule(answered, Event::Lost(number));
        }
        let cost = WaitingCost {
            tokens: u64::from(attempt.uncached_tokens) + u64::from(request.output_tokens),
            weight: 1,
            priority: 0,
        };
        match &mut server.queue {
            AgentQueue::None => server.engine.push(make_work(number, request)),
            AgentQueue::Fair(queue) => {
                // The queue has room for all requests of a run.
                let _ = queue.push(&request.account, cost, number);
            }
        }
        let news = self.news_of(attempt.server);
        self.schedule(answered, Event::Learn(Some(attempt.entry), news));
        self.feed(attempt.server);
    }

    /// Gives waiting requests to the engine and starts it if it is idle.
    fn feed(&mut self, number: usize) {
        let server = &mut self.servers[number];
        if let AgentQueue::Fair(queue) = &mut server.queue {
            while server.prefills < MAX_PREFILLS {
                let Some(attempt) = queue.pop() else {
                    break;
                };
                let request = &self.trace[self.attempts[attempt].request];
                server.engine.push(make_work(attempt, request));
                server.prefills += 1;
            }
        }
        if server.is_stepping || !server.is_up || server.engine.is_idle() {
            return;
        }
        server.is_stepping = true;
        let span = server.engine.step(&mut server.outcomes);
        let incarnation = server.incarnation;
        let at = self.now + span;
        self.schedule(at, Event::StepEnds(number, incarnation));
    }

    fn end_step(&mut self, number: usize, incarnation: u64) {
        let server = &mut self.servers[number];
        if server.incarnation != incarnation {
            return;
        }
        server.is_stepping = false;
        for outcome in std::mem::take(&mut server.outcomes) {
            self.note_outcome(number, outcome);
        }
        self.feed(number);
    }

    fn note_outcome(&mut self, server: usize, outcome: StepOutcome) {
        match outcome {
            StepOutcome::Began(attempt, cached) => {
                let request = &self.trace[self.attempts[attempt].request];
                self.measures.begin_prompt(request, cached);
            }
            StepOutcome::FirstToken(number) => {
                let prefills = &mut self.servers[server].prefills;
                *prefills = prefills.saturating_sub(1);
                let attempt = self.attempts[number];
                let request = &self.trace[attempt.request];
                let at = self.now + self.distance(&attempt);
                let millis = at.since(request.at).as_millis() as u64;
                self.measures.first_token(request, millis);
            }
            StepOutcome::Ended(number) => {
                let at = self.now + self.distance(&self.attempts[number]);
                self.schedule(at, Event::Ended(number));
            }
        }
    }

    /// The load that the agent knows: that of its engine, late, and its queue.
    fn news_of(&self, number: usize) -> LoadNews {
        let server = &self.servers[number];
        let mut load = server.load;
        if let AgentQueue::Fair(queue) = &server.queue {
            load.queued += queue.len() as u32;
            let waiting = queue.iter().map(|&attempt| &self.attempts[attempt]);
            load.queued_prompt_tokens += waiting
                .map(|attempt| u64::from(attempt.uncached_tokens))
                .sum::<u64>();
        }
        LoadNews {
            server: number,
            engine: server.incarnation,
            load,
        }
    }

    fn report(&mut self, number: usize) {
        let end = MonotonicTime::ZERO + self.sizes.duration;
        if self.now < end {
            self.schedule(self.now + REPORT_EVERY, Event::Report(number));
        }
        if !self.servers[number].is_up {
            return;
        }
        let engine = &self.servers[number].engine;
        let (running, queued) = engine.count_requests();
        let news = LoadNews {
            server: number,
            engine: self.servers[number].incarnation,
            load: LoadReport {
                running: running as u32,
                queued: queued as u32,
                queued_prompt_tokens: engine.count_queued_tokens(),
            },
        };
        self.schedule(self.now + REPORT_LAG, Event::EngineLoad(news));
    }

    fn note_engine_load(&mut self, news: LoadNews) {
        let server = &mut self.servers[news.server];
        if server.incarnation != news.engine {
            return;
        }
        server.load = news.load;
        let is_lossy = self.scenario.fault == Fault::EventLoss;
        if is_lossy && self.rng.random_bool(REPORT_LOSS) {
            return;
        }
        let news = self.news_of(news.server);
        self.schedule(self.now, Event::Learn(None, news));
    }

    fn learn(&mut self, entry: Option<usize>, news: &LoadNews) {
        let all = 0..self.entries.len();
        for number in all.filter(|&number| entry.is_none_or(|entry| entry == number)) {
            self.entries[number].chooser.learn(news, self.now);
        }
    }

    fn lose(&mut self, number: usize) {
        let attempt = self.attempts[number];
        let request = &self.trace[attempt.request];
        let entry = &mut self.entries[attempt.entry];
        if entry.incarnation == attempt.entry_incarnation {
            entry.chooser.fail(attempt.server, request, self.now);
        }
        if self.tried[attempt.request].len() >= MAX_ATTEMPTS {
            return self.measures.fail();
        }
        self.arrive(attempt.request);
    }

    fn end(&mut self, number: usize) {
        let attempt = self.attempts[number];
        let entry = &mut self.entries[attempt.entry];
        if entry.incarnation == attempt.entry_incarnation {
            entry.chooser.end(attempt.server);
        }
    }

    fn crash(&mut self, number: usize, restart: Option<Duration>) {
        let server = &mut self.servers[number];
        let mut lost = server.engine.crash();
        if let AgentQueue::Fair(queue) = &mut server.queue {
            lost.extend(queue.drain());
        }
        server.incarnation += 1;
        server.is_up = false;
        server.is_stepping = false;
        server.prefills = 0;
        server.outcomes.clear();
        server.load = LoadReport::default();
        for attempt in lost {
            self.schedule(self.now + DETECT_LOSS, Event::Lost(attempt));
        }
        if let Some(restart) = restart {
            self.schedule(self.now + restart, Event::Return(number));
        }
    }

    fn restart_entry(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        entry.incarnation += 1;
        entry.chooser = Chooser::new(self.scenario.policy, self.sizes, number);
    }
}

impl AgentQueue {
    fn new(policy: PolicyName) -> Self {
        match policy {
            PolicyName::Teaseldrum => Self::Fair(FairQueue::new(MAX_WAITING)),
            _ => Self::None,
        }
    }
}

fn make_work(attempt: usize, request: &TracedRequest) -> EngineWork {
    EngineWork {
        attempt,
        blocks: request.blocks.clone(),
        tokens: request.tokens(),
        output_tokens: request.output_tokens,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run_short(policy: PolicyName, fault: Fault) -> Value {
        let scenario = Scenario {
            workload: Workload::Sabarmati,
            policy,
            fault,
            seed: 3,
        };
        let sizes = Sizes {
            servers: 6,
            requests_per_second: 20.0,
            documents: 40,
            warm_up: Duration::from_secs(5),
            duration: Duration::from_secs(15),
            ..scenario.workload.sizes()
        };
        run_sizes(scenario, &sizes)
    }

    #[test]
    fn run_sizes_same_seed_same_figures() {
        let first = run_short(PolicyName::Teaseldrum, Fault::EventLoss);
        assert_eq!(first, run_short(PolicyName::Teaseldrum, Fault::EventLoss));
    }

    #[test]
    fn run_sizes_hits_more_than_round_robin() {
        let hit = |policy| run_short(policy, Fault::None)["prefix_hit_rate"].as_f64();
        assert!(hit(PolicyName::Teaseldrum) > hit(PolicyName::RoundRobin));
    }

    #[test]
    fn run_sizes_zone_loss_fails_no_request() {
        let figures = run_short(PolicyName::Teaseldrum, Fault::ZoneLoss);
        assert_eq!(figures["refused_in_rate"], 0);
        assert_eq!(figures["failed"], 0);
    }
}
