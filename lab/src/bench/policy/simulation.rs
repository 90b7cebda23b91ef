//! A run of the bench in virtual time.

use std::collections::BinaryHeap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use teaseldrum::core::LoadReport;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::prefix_index::CacheEventBatch;

use super::admission::Admission;
use super::agent_model::AgentModel;
use super::chooser::Chooser;
use super::chooser::LoadNews;
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
use crate::engine::EngineModel;
use crate::engine::EngineRequest;
use crate::engine::StepOutcome;

const REPORT_EVERY: Duration = Duration::from_millis(250);
const REPORT_LAG: Duration = Duration::from_millis(150);
const DETECT_LOSS: Duration = Duration::from_millis(100);
const RESTART_TIME: Duration = Duration::from_secs(4);
const EVENT_LAG: Duration = Duration::from_millis(100);
const EVENT_LOSS: f64 = 0.05;
const REPORT_LOSS: f64 = 0.5;
const MAX_ATTEMPTS: usize = 4;
const ZONES: usize = 3;

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
    /// None where requests wait in the engine.
    agent: Option<AgentModel>,
    outcomes: Vec<StepOutcome>,
    load: LoadReport,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    request: usize,
    entry: usize,
    entry_incarnation: u64,
    server: usize,
}

impl<'a> Simulation<'a> {
    fn new(scenario: Scenario, sizes: &'a Sizes, trace: &'a [TracedRequest]) -> Self {
        let entries = (0..sizes.entries).map(|entry| EntryModel {
            chooser: Chooser::new(scenario.policy, sizes, entry),
            incarnation: 0,
            is_lost: false,
        });
        let servers = (0..sizes.servers).map(|_| ServerModel {
            engine: make_engine(sizes),
            incarnation: 1,
            is_up: true,
            is_stepping: false,
            agent: make_agent(scenario.policy),
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
            Event::CacheEvents(server, batch) => self.apply_events(server, &batch),
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
        let Some(server) = chosen else {
            return self.measures.refuse_in_rate(request);
        };
        let attempt = Attempt {
            request: number,
            entry,
            entry_incarnation: model.incarnation,
            server,
        };
        self.tried[number].push(server);
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
        match &mut server.agent {
            None => server.engine.push(make_work(number, request)),
            Some(agent) => agent.push(number, request),
        }
        let news = self.news_of(attempt.server);
        self.schedule(answered, Event::Learn(Some(attempt.entry), news));
        self.feed(attempt.server);
    }

    /// Gives waiting requests to the engine and starts it if it is idle.
    fn feed(&mut self, number: usize) {
        let server = &mut self.servers[number];
        while let Some(attempt) = server.agent.as_mut().and_then(AgentModel::pop) {
            let request = &self.trace[self.attempts[attempt].request];
            server.engine.push(make_work(attempt, request));
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
        self.tell_changes(number);
        self.feed(number);
    }

    fn tell_changes(&mut self, number: usize) {
        let server = &mut self.servers[number];
        let changes = server.engine.cache_mut().take_changes();
        let Some(agent) = server.agent.as_mut().filter(|_| !changes.is_empty()) else {
            return;
        };
        let is_lossy = self.scenario.fault == Fault::EventLoss;
        let loss = if is_lossy { EVENT_LOSS } else { 0.0 };
        let batch = agent.write_events(server.incarnation, changes, loss, &mut self.rng);
        self.schedule(self.now + EVENT_LAG, Event::CacheEvents(number, batch));
    }

    fn note_outcome(&mut self, server: usize, outcome: StepOutcome) {
        match outcome {
            StepOutcome::PrefillStarted(attempt, cached) => {
                let request = &self.trace[self.attempts[attempt].request];
                self.measures.begin_prompt(request, cached);
            }
            StepOutcome::FirstToken(number) => {
                if let Some(agent) = &mut self.servers[server].agent {
                    agent.note_first_token();
                }
                let attempt = self.attempts[number];
                let request = &self.trace[attempt.request];
                let at = self.now + self.distance(&attempt);
                let millis = at.since(request.at).as_millis() as u64;
                self.measures.first_token(request, millis);
            }
            StepOutcome::Token(_) => {}
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
        if let Some(agent) = &server.agent {
            agent.add_load(&mut load);
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
                queued_prompt_tokens: engine.count_uncomputed_tokens(),
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

    fn apply_events(&mut self, server: usize, batch: &CacheEventBatch) {
        if let Some(agent) = &mut self.servers[server].agent {
            agent.apply(batch);
        }
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
        server.engine.cache_mut().take_changes();
        server.incarnation += 1;
        if let Some(agent) = &mut server.agent {
            lost.extend(agent.restart(server.incarnation));
        }
        server.is_up = false;
        server.is_stepping = false;
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

fn make_agent(policy: PolicyName) -> Option<AgentModel> {
    (policy == PolicyName::Teaseldrum).then(AgentModel::new)
}

fn make_engine(sizes: &Sizes) -> EngineModel {
    let mut engine = EngineModel::new(sizes.cache_blocks);
    engine.cache_mut().record_changes();
    engine
}

fn make_work(attempt: usize, request: &TracedRequest) -> EngineRequest {
    EngineRequest {
        attempt,
        blocks: request.blocks.clone(),
        prompt_tokens: request.tokens(),
        output_tokens: request.output_tokens,
        priority: 0,
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
