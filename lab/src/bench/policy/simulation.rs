//! Simulates one run of entries, agents and engines in virtual time.

use std::collections::BinaryHeap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use teaseldrum::core::LoadReport;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::prefix_index::CacheEventBatch;

use super::agent_model::AgentModel;
use super::event::Event;
use super::event::TimedEvent;
use super::fault::Fault;
use super::measures::Measures;
use super::policy_name::PolicyName;
use super::rate_limits::RateLimits;
use super::server_selector::LoadUpdate;
use super::server_selector::ServerSelector;
use super::trace::TracedRequest;
use super::trace::fault_window;
use super::trace::generate_trace;
use super::workload::Workload;
use super::workload::WorkloadParameters;
use crate::engine::EngineModel;
use crate::engine::EngineRequest;
use crate::engine::StepOutcome;

/// Time between two samples of an engine's load.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time from a sample until the agent has it and reports it to the entries.
const REPORT_LAG: Duration = Duration::from_millis(150);
/// Time from a crash until the entries learn that their attempts are lost.
const LOSS_DETECTION_TIME: Duration = Duration::from_millis(100);
/// Time from a crash until the engine is back.
const ENGINE_RESTART_TIME: Duration = Duration::from_secs(4);
/// Time from a change of an engine's cache until its agent learns of it.
const CACHE_EVENT_LAG: Duration = Duration::from_millis(100);
/// Probability that a cache event is lost under [`Fault::EventLoss`].
const CACHE_EVENT_LOSS_RATE: f64 = 0.05;
/// Probability that a load report is lost under [`Fault::EventLoss`].
const LOAD_REPORT_LOSS_RATE: f64 = 0.5;
/// Attempts after which a request has failed.
const MAX_ATTEMPTS: usize = 4;
/// Availability zones, over which entries and servers are spread by index.
const ZONES: usize = 3;

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Workload to generate.
    pub workload: Workload,
    /// Policy that selects the servers.
    pub policy: PolicyName,
    /// Fault to inject.
    pub fault: Fault,
    /// Random seed.
    pub seed: u64,
}

/// Runs a scenario and returns its figures as JSON.
pub fn run_scenario(scenario: Scenario) -> Value {
    run_with_parameters(scenario, &scenario.workload.parameters())
}

fn run_with_parameters(scenario: Scenario, parameters: &WorkloadParameters) -> Value {
    let trace = generate_trace(parameters, scenario.fault, scenario.seed);
    Simulation::new(scenario, parameters, &trace).run()
}

struct Simulation<'a> {
    scenario: Scenario,
    parameters: &'a WorkloadParameters,
    trace: &'a [TracedRequest],
    rng: StdRng,
    now: MonotonicTime,
    next_sequence: u64,
    events: BinaryHeap<TimedEvent>,
    entries: Vec<EntryModel>,
    servers: Vec<ServerModel>,
    attempts: Vec<Attempt>,
    /// Servers of the attempts of each request.
    tried_servers: Vec<Vec<usize>>,
    rate_limits: RateLimits,
    measures: Measures,
}

struct EntryModel {
    server_selector: ServerSelector,
    incarnation: u64,
    is_lost: bool,
}

struct ServerModel {
    engine: EngineModel,
    incarnation: u64,
    is_up: bool,
    is_stepping: bool,
    /// `None` for the baseline policies, whose requests queue in the engine.
    agent: Option<AgentModel>,
    /// Outcomes of the current step, handled when it ends.
    outcomes: Vec<StepOutcome>,
    /// Last sample that the agent has.
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
    fn new(
        scenario: Scenario,
        parameters: &'a WorkloadParameters,
        trace: &'a [TracedRequest],
    ) -> Self {
        let entries = (0..parameters.entries).map(|entry| EntryModel {
            server_selector: ServerSelector::new(scenario.policy, parameters, entry),
            incarnation: 0,
            is_lost: false,
        });
        let servers = (0..parameters.servers).map(|_| ServerModel {
            engine: make_engine(parameters),
            incarnation: 1,
            is_up: true,
            is_stepping: false,
            agent: make_agent(scenario.policy),
            outcomes: Vec::new(),
            load: LoadReport::default(),
        });
        let mut simulation = Self {
            scenario,
            parameters,
            trace,
            rng: StdRng::seed_from_u64(scenario.seed ^ 0x5eed),
            now: MonotonicTime::ZERO,
            next_sequence: 0,
            events: BinaryHeap::new(),
            entries: entries.collect(),
            servers: servers.collect(),
            attempts: Vec::new(),
            tried_servers: vec![Vec::new(); trace.len()],
            rate_limits: RateLimits::new(parameters),
            measures: Measures::new(parameters.account_shares.len(), parameters.warm_up),
        };
        simulation.schedule_start();
        simulation
    }

    fn schedule_start(&mut self) {
        for (request_index, request) in self.trace.iter().enumerate() {
            self.schedule(request.at, Event::RequestArrives(request_index));
        }
        for server in 0..self.parameters.servers {
            let offset = REPORT_INTERVAL * server as u32 / self.parameters.servers as u32;
            self.schedule(
                MonotonicTime::ZERO + offset,
                Event::SampleEngineLoad(server),
            );
        }
        self.schedule_fault();
    }

    fn schedule_fault(&mut self) {
        let span = fault_window(self.parameters);
        let fault_time = |seconds| span.start + Duration::from_secs(seconds);
        match self.scenario.fault {
            Fault::EngineCrash => {
                for number in 0..4 {
                    let server = (number * 5 + 1) % self.parameters.servers;
                    let crash = Event::EngineCrashes(server, Some(ENGINE_RESTART_TIME));
                    self.schedule(fault_time(number as u64 * 8), crash);
                }
            }
            Fault::EntryRestarts => {
                for entry in 0..self.parameters.entries {
                    self.schedule(span.start, Event::EntryRestarts(entry));
                    self.schedule(
                        fault_time(20 + 5 * entry as u64),
                        Event::EntryRestarts(entry),
                    );
                }
            }
            Fault::ZoneLoss => {
                for server in (0..self.parameters.servers).filter(|server| server % ZONES == 2) {
                    self.schedule(span.start, Event::EngineCrashes(server, None));
                }
                for entry in (0..self.parameters.entries).filter(|entry| entry % ZONES == 2) {
                    self.schedule(span.start, Event::EntryLost(entry));
                }
            }
            Fault::None | Fault::EventLoss | Fault::HotShift | Fault::NoisyAccount => {}
        }
    }

    fn schedule(&mut self, at: MonotonicTime, event: Event) {
        self.next_sequence += 1;
        self.events.push(TimedEvent {
            at,
            sequence: self.next_sequence,
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
            Event::RequestArrives(request) => self.route_request(request),
            Event::AttemptArrives(attempt) => self.start_attempt(attempt),
            Event::EngineStepEnds(server, incarnation) => self.end_step(server, incarnation),
            Event::SampleEngineLoad(server) => self.sample_engine_load(server),
            Event::CacheEventsReachAgent(server, batch) => {
                self.deliver_cache_events(server, &batch)
            }
            Event::LoadReachesAgent(load_update) => self.handle_engine_load(load_update),
            Event::LoadReachesEntry(entry, load_update) => self.deliver_load(entry, &load_update),
            Event::AttemptLost(attempt) => self.retry_or_fail(attempt),
            Event::AttemptEnded(attempt) => self.finish_attempt(attempt),
            Event::EngineCrashes(server, restart) => self.crash(server, restart),
            Event::EngineReturns(server) => self.servers[server].is_up = true,
            Event::EntryRestarts(entry) => self.restart_entry(entry),
            Event::EntryLost(entry) => self.entries[entry].is_lost = true,
        }
    }

    /// Admits a request at its first attempt, and sends it to the selected server.
    fn route_request(&mut self, request_index: usize) {
        let request = &self.trace[request_index];
        if self.tried_servers[request_index].is_empty() {
            let tokens = request.tokens() + request.output_tokens;
            if !self.rate_limits.admit(request.account, tokens, self.now) {
                return self.measures.record_refused_over_rate(request);
            }
            self.measures.record_offered(request);
        }
        let live_entries: Vec<usize> = (0..self.entries.len())
            .filter(|&entry| !self.entries[entry].is_lost)
            .collect();
        let entry = live_entries[request.entry_draw % live_entries.len()];
        let model = &mut self.entries[entry];
        let selected =
            model
                .server_selector
                .select(request, &self.tried_servers[request_index], self.now);
        let Some(server) = selected else {
            return self.measures.record_refused_in_rate(request);
        };
        let attempt = Attempt {
            request: request_index,
            entry,
            entry_incarnation: model.incarnation,
            server,
        };
        self.tried_servers[request_index].push(server);
        self.attempts.push(attempt);
        let at = self.now + self.network_delay(&attempt);
        self.schedule(at, Event::AttemptArrives(self.attempts.len() - 1));
    }

    fn network_delay(&self, attempt: &Attempt) -> Duration {
        if attempt.entry % ZONES == attempt.server % ZONES {
            self.parameters.same_zone_delay
        } else {
            self.parameters.other_zone_delay
        }
    }

    fn start_attempt(&mut self, attempt_index: usize) {
        let attempt = self.attempts[attempt_index];
        let request = &self.trace[attempt.request];
        let response_at = self.now + self.network_delay(&attempt);
        let server = &mut self.servers[attempt.server];
        if !server.is_up {
            return self.schedule(response_at, Event::AttemptLost(attempt_index));
        }
        match &mut server.agent {
            None => server.engine.push(make_work(attempt_index, request)),
            Some(agent) => agent.push(attempt_index, request),
        }
        let load_update = self.make_load_update(attempt.server);
        self.schedule(
            response_at,
            Event::LoadReachesEntry(Some(attempt.entry), load_update),
        );
        self.start_engine_step(attempt.server);
    }

    /// Hands attempts from the queue of the agent to the engine, and starts a step
    /// of the engine unless it is down, runs a step already or has no work.
    fn start_engine_step(&mut self, server_index: usize) {
        let server = &mut self.servers[server_index];
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
        self.schedule(at, Event::EngineStepEnds(server_index, incarnation));
    }

    /// Ends a step of a server's engine, unless the engine has crashed since.
    fn end_step(&mut self, server_index: usize, incarnation: u64) {
        let server = &mut self.servers[server_index];
        if server.incarnation != incarnation {
            return;
        }
        server.is_stepping = false;
        for outcome in std::mem::take(&mut server.outcomes) {
            self.handle_step_outcome(server_index, outcome);
        }
        self.send_cache_events(server_index);
        self.start_engine_step(server_index);
    }

    fn send_cache_events(&mut self, server_index: usize) {
        let server = &mut self.servers[server_index];
        let changes = server.engine.cache_mut().take_changes();
        let Some(agent) = server.agent.as_mut().filter(|_| !changes.is_empty()) else {
            return;
        };
        let loses_events = self.scenario.fault == Fault::EventLoss;
        let loss = if loses_events {
            CACHE_EVENT_LOSS_RATE
        } else {
            0.0
        };
        let batch = agent.make_event_batch(server.incarnation, changes, loss, &mut self.rng);
        self.schedule(
            self.now + CACHE_EVENT_LAG,
            Event::CacheEventsReachAgent(server_index, batch),
        );
    }

    fn handle_step_outcome(&mut self, server: usize, outcome: StepOutcome) {
        match outcome {
            StepOutcome::PrefillStarted(attempt, cached) => {
                let request = &self.trace[self.attempts[attempt].request];
                self.measures.record_prompt_start(request, cached);
            }
            StepOutcome::FirstToken(attempt_index) => {
                if let Some(agent) = &mut self.servers[server].agent {
                    agent.record_first_token();
                }
                let attempt = self.attempts[attempt_index];
                let request = &self.trace[attempt.request];
                let at = self.now + self.network_delay(&attempt);
                let millis = at.since(request.at).as_millis() as u64;
                self.measures.record_first_token(request, millis);
            }
            StepOutcome::Token(_) => {}
            StepOutcome::Ended(attempt_index) => {
                let at = self.now + self.network_delay(&self.attempts[attempt_index]);
                self.schedule(at, Event::AttemptEnded(attempt_index));
            }
        }
    }

    /// Returns the load that the agent reports: the last sample of its engine and
    /// its own queue.
    fn make_load_update(&self, server_index: usize) -> LoadUpdate {
        let server = &self.servers[server_index];
        let mut load = server.load;
        if let Some(agent) = &server.agent {
            agent.add_load(&mut load);
        }
        LoadUpdate {
            server: server_index,
            engine: server.incarnation,
            load,
        }
    }

    fn sample_engine_load(&mut self, server_index: usize) {
        let end = MonotonicTime::ZERO + self.parameters.duration;
        if self.now < end {
            self.schedule(
                self.now + REPORT_INTERVAL,
                Event::SampleEngineLoad(server_index),
            );
        }
        if !self.servers[server_index].is_up {
            return;
        }
        let engine = &self.servers[server_index].engine;
        let (running, queued) = engine.count_requests();
        let load_update = LoadUpdate {
            server: server_index,
            engine: self.servers[server_index].incarnation,
            load: LoadReport {
                running: running as u32,
                queued: queued as u32,
                queued_prompt_tokens: engine.count_uncomputed_tokens(),
            },
        };
        self.schedule(self.now + REPORT_LAG, Event::LoadReachesAgent(load_update));
    }

    fn handle_engine_load(&mut self, load_update: LoadUpdate) {
        let server = &mut self.servers[load_update.server];
        if server.incarnation != load_update.engine {
            return;
        }
        server.load = load_update.load;
        let loses_events = self.scenario.fault == Fault::EventLoss;
        if loses_events && self.rng.random_bool(LOAD_REPORT_LOSS_RATE) {
            return;
        }
        let load_update = self.make_load_update(load_update.server);
        self.schedule(self.now, Event::LoadReachesEntry(None, load_update));
    }

    fn deliver_cache_events(&mut self, server: usize, batch: &CacheEventBatch) {
        if let Some(agent) = &mut self.servers[server].agent {
            agent.apply(batch);
        }
    }

    fn deliver_load(&mut self, entry: Option<usize>, load_update: &LoadUpdate) {
        let all = 0..self.entries.len();
        for entry_index in all.filter(|&entry_index| entry.is_none_or(|entry| entry == entry_index))
        {
            self.entries[entry_index]
                .server_selector
                .observe_load(load_update, self.now);
        }
    }

    /// Sends the request of a lost attempt to another server, or counts it as
    /// failed after [`MAX_ATTEMPTS`].
    fn retry_or_fail(&mut self, attempt_index: usize) {
        let attempt = self.attempts[attempt_index];
        let request = &self.trace[attempt.request];
        let entry = &mut self.entries[attempt.entry];
        if entry.incarnation == attempt.entry_incarnation {
            entry
                .server_selector
                .record_failure(attempt.server, request, self.now);
        }
        if self.tried_servers[attempt.request].len() >= MAX_ATTEMPTS {
            return self.measures.record_failed();
        }
        self.route_request(attempt.request);
    }

    fn finish_attempt(&mut self, attempt_index: usize) {
        let attempt = self.attempts[attempt_index];
        let entry = &mut self.entries[attempt.entry];
        if entry.incarnation == attempt.entry_incarnation {
            entry.server_selector.record_end(attempt.server);
        }
    }

    /// Crashes an engine. All attempts at it are lost, and its agent starts anew.
    fn crash(&mut self, server_index: usize, restart: Option<Duration>) {
        let server = &mut self.servers[server_index];
        let mut lost_attempts = server.engine.crash();
        server.engine.cache_mut().take_changes();
        server.incarnation += 1;
        if let Some(agent) = &mut server.agent {
            lost_attempts.extend(agent.restart(server.incarnation));
        }
        server.is_up = false;
        server.is_stepping = false;
        server.outcomes.clear();
        server.load = LoadReport::default();
        for attempt in lost_attempts {
            self.schedule(self.now + LOSS_DETECTION_TIME, Event::AttemptLost(attempt));
        }
        if let Some(restart) = restart {
            self.schedule(self.now + restart, Event::EngineReturns(server_index));
        }
    }

    fn restart_entry(&mut self, entry_index: usize) {
        let entry = &mut self.entries[entry_index];
        entry.incarnation += 1;
        entry.server_selector =
            ServerSelector::new(self.scenario.policy, self.parameters, entry_index);
    }
}

fn make_agent(policy: PolicyName) -> Option<AgentModel> {
    (policy == PolicyName::Teaseldrum).then(AgentModel::new)
}

fn make_engine(parameters: &WorkloadParameters) -> EngineModel {
    let mut engine = EngineModel::new(parameters.cache_blocks);
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
        let parameters = WorkloadParameters {
            servers: 6,
            requests_per_second: 20.0,
            documents: 40,
            warm_up: Duration::from_secs(5),
            duration: Duration::from_secs(15),
            ..scenario.workload.parameters()
        };
        run_with_parameters(scenario, &parameters)
    }

    #[test]
    fn run_with_parameters_same_seed_same_figures() {
        let first = run_short(PolicyName::Teaseldrum, Fault::EventLoss);
        assert_eq!(first, run_short(PolicyName::Teaseldrum, Fault::EventLoss));
    }

    #[test]
    fn run_with_parameters_hits_more_than_round_robin() {
        let hit_rate = |policy| run_short(policy, Fault::None)["prefix_hit_rate"].as_f64();
        assert!(hit_rate(PolicyName::Teaseldrum) > hit_rate(PolicyName::RoundRobin));
    }

    #[test]
    fn run_with_parameters_zone_loss_fails_no_request() {
        let figures = run_short(PolicyName::Teaseldrum, Fault::ZoneLoss);
        assert_eq!(figures["refused_in_rate"], 0);
        assert_eq!(figures["failed"], 0);
    }
}
