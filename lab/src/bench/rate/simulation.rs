//! Simulates one run of the entries and their limiters in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::limit::AccountTokens;
use teaseldrum::core::limit::AdmissionDecision;
use teaseldrum::core::limit::Origin;
use teaseldrum::core::limit::OutgoingMessage;
use teaseldrum::core::limit::ShareMessage;
use teaseldrum::core::limit::Ticket;

use super::fault::Fault;
use super::figures::Figures;
use super::fleet::Fleet;
use super::fleet::SLOT_LEASE;
use super::fleet::SLOT_RENEWAL_INTERVAL;
use super::network::Network;
use super::spend_check::RuleBucket;
use super::wire_size::WireSize;
use super::workload::Request;
use super::workload::Workload;

/// Time between two ticks of each limiter.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for buckets to fill and limiters to learn the demand. Requests and
/// messages are not counted meanwhile.
const WARM_UP: Duration = Duration::from_secs(14);

/// Measured time, at whose start the fault is injected.
const MEASURED_TIME: Duration = Duration::from_secs(10);

/// Time after the skew begins in which requests may be refused; nothing is
/// counted until it has passed.
const SKEW_GRACE: Duration = Duration::from_secs(1);

/// Time after which a call to an entry that is not running fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time from a change of an entry until the host list shows it.
const HOST_LIST_LAG: Duration = Duration::from_secs(1);

/// Time from the end of a drained entry until its replacement starts.
const REPLACEMENT_TIME: Duration = Duration::from_millis(500);

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Number of entries.
    pub entries: usize,
    /// Number of client accounts.
    pub accounts: usize,
    /// Fault injected after the warm-up.
    pub fault: Fault,
    /// Random seed.
    pub seed: u64,
}

/// Runs a scenario and returns its figures as JSON.
pub fn run_scenario(scenario: Scenario) -> Value {
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    let seconds = MEASURED_TIME.as_secs_f64();
    simulation.finish().to_json(seconds, scenario.entries)
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next request arrives at some entry.
    Arrival,
    /// The limiter of this entry ticks.
    Tick(usize),
    /// The fault of the scenario is injected.
    Fault,
    /// Entries learn which entries are live.
    HostListUpdate,
    /// This entry is replaced by a new incarnation.
    Restart(usize),
    /// The message with this number reaches its receiver.
    MessageArrival(usize),
    /// The call of the first entry to the second timed out.
    CallFailed(usize, usize),
}

/// A call from one entry to another, or the replies to it.
#[derive(Debug)]
struct PeerMessage {
    from: Origin,
    to: usize,
    messages: Vec<ShareMessage>,
    is_reply: bool,
}

#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    request: Request,
    arrived_at: Duration,
}

struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    now: Duration,
    network: Network,
    workload: Workload,
    fleet: Fleet,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next_event: u64,
    in_flight: BTreeMap<usize, PeerMessage>,
    next_message: usize,
    pending: BTreeMap<Ticket, PendingRequest>,
    next_ticket: u64,
    /// Bucket of each rule, charged with every admitted request.
    rule_buckets: Vec<RuleBucket>,
    /// Bucket of each rule, charged also with the refused requests that the rule
    /// allowed.
    ideal_buckets: Vec<RuleBucket>,
    /// Tokens that a drained entry left to its replacement.
    handed_over: Vec<AccountTokens>,
    /// Entry that crashes or restarts: the coordinator of the largest account.
    faulty_entry: usize,
    is_skewed: bool,
    /// Bytes that each entry sent and received.
    entry_bytes: Vec<u64>,
    wire_size: WireSize,
    figures: Figures,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let network = Network::new(scenario.entries);
        let workload = Workload::new(scenario.entries, scenario.accounts);
        let fleet = Fleet::start(scenario.entries, &workload.accounts, network);
        let rule_buckets = workload.accounts.iter();
        let rule_buckets =
            rule_buckets.map(|(_, rule)| RuleBucket::new(rule.rate as f64, rule.burst));
        let rule_buckets: Vec<RuleBucket> = rule_buckets.collect();
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(scenario.seed),
            now: Duration::ZERO,
            network,
            ideal_buckets: rule_buckets.clone(),
            rule_buckets,
            fleet,
            events: BinaryHeap::new(),
            next_event: 0,
            in_flight: BTreeMap::new(),
            next_message: 0,
            pending: BTreeMap::new(),
            next_ticket: 0,
            handed_over: Vec::new(),
            faulty_entry: 0,
            is_skewed: false,
            entry_bytes: vec![0; scenario.entries],
            wire_size: WireSize,
            figures: Figures::default(),
            workload,
            scenario,
        };
        simulation.faulty_entry = simulation.find_coordinator_of_largest_account();
        for entry_index in 0..scenario.entries {
            let offset =
                TICK_INTERVAL * u32::try_from(entry_index).unwrap_or(0) / scenario.entries as u32;
            simulation.schedule(offset, Event::Tick(entry_index));
        }
        simulation.schedule(Duration::ZERO, Event::Arrival);
        simulation.schedule(WARM_UP, Event::Fault);
        simulation
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > WARM_UP + MEASURED_TIME {
                return;
            }
            self.now = at;
            match event {
                Event::Arrival => self.handle_arrival(),
                Event::Tick(entry_index) => self.tick(entry_index),
                Event::Fault => self.inject_fault(),
                Event::HostListUpdate => self.fleet.update_live_entries(),
                Event::Restart(entry_index) => self.restart(entry_index),
                Event::MessageArrival(number) => self.deliver_message(number),
                Event::CallFailed(caller, callee) => self.handle_failed_call(caller, callee),
            }
        }
    }

    fn finish(mut self) -> Figures {
        let busiest = self.entry_bytes.iter().max();
        self.figures.busiest_entry_bytes = busiest.copied().unwrap_or(0);
        let renewals = self.fleet.count_slot_holders() as f64 / SLOT_RENEWAL_INTERVAL.as_secs_f64();
        let is_store_up = self.scenario.fault != Fault::StoreDown;
        if is_store_up {
            self.figures.store_calls += renewals * MEASURED_TIME.as_secs_f64();
        }
        self.figures
    }

    /// Tells whether what happens now counts.
    fn is_measured(&self) -> bool {
        let grace = match self.is_skewed {
            true => SKEW_GRACE,
            false => Duration::ZERO,
        };
        self.now >= WARM_UP + grace
    }

    fn find_coordinator_of_largest_account(&self) -> usize {
        let (largest, _) = self.workload.accounts[0];
        let entry = &self.fleet.entries[0].limiter;
        let coordinator = entry.coordinator_of(largest);
        coordinator.map_or(0, |coordinator| coordinator.0 as usize)
    }

    /// Injects the fault of the scenario. Entries learn of it only through the host
    /// list, after [`HOST_LIST_LAG`], or through failed calls.
    fn inject_fault(&mut self) {
        let faulty_entry = self.faulty_entry;
        match self.scenario.fault {
            Fault::None | Fault::StoreDown => {}
            Fault::Skew => self.is_skewed = true,
            Fault::CoordinatorCrash => {
                let entry = &mut self.fleet.entries[faulty_entry];
                entry.is_running = false;
                entry.accepts_requests = false;
                self.schedule(HOST_LIST_LAG, Event::HostListUpdate);
            }
            Fault::EntryRestart => {
                let now = self.clock();
                let entry = &mut self.fleet.entries[faulty_entry];
                entry.accepts_requests = false;
                entry.limiter.start_leaving(now);
                self.schedule(HOST_LIST_LAG, Event::HostListUpdate);
            }
        }
    }

    /// Replaces a drained entry. The new incarnation takes over its slots and the
    /// tokens it handed over.
    fn restart(&mut self, entry_index: usize) {
        let slots = self.fleet.entries[entry_index].slots;
        self.fleet.restart(entry_index, self.now);
        let now = self.clock();
        let entry = &mut self.fleet.entries[entry_index];
        entry.slots = slots;
        entry.limiter.set_slots(slots, now + SLOT_LEASE, now);
        entry
            .limiter
            .add_handed_over_tokens(&std::mem::take(&mut self.handed_over), now);
        // One call reads the slots and one acquires them.
        self.figures.store_calls += 2.0;
        self.schedule(TICK_INTERVAL, Event::Tick(entry_index));
        self.schedule(HOST_LIST_LAG, Event::HostListUpdate);
    }

    /// Draws a request, has an entry decide on it and schedules the next arrival.
    fn handle_arrival(&mut self) {
        let gap = self.workload.draw_gap(&mut self.rng);
        self.schedule(gap, Event::Arrival);
        let request = self.workload.draw_request(&mut self.rng);
        let entry_index = self.pick_entry();
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let pending = PendingRequest {
            request,
            arrived_at: self.now,
        };
        self.pending.insert(ticket, pending);
        let (account, _) = self.workload.accounts[request.account];
        let now = self.clock();
        let limiter = &mut self.fleet.entries[entry_index].limiter;
        if let Some(decision) = limiter.admit(ticket, account, request.tokens, now) {
            self.record_decision(ticket, decision);
        }
        self.send_outgoing(entry_index, None);
    }

    fn pick_entry(&mut self) -> usize {
        if self.is_skewed {
            return (self.faulty_entry + 1) % self.scenario.entries;
        }
        loop {
            let entry_index = self.rng.random_range(0..self.scenario.entries);
            if self.fleet.entries[entry_index].accepts_requests {
                return entry_index;
            }
        }
    }

    fn tick(&mut self, entry_index: usize) {
        if !self.fleet.entries[entry_index].is_running {
            return;
        }
        let now = self.clock();
        let limiter = &mut self.fleet.entries[entry_index].limiter;
        limiter.tick(now);
        let handed_over = limiter.hand_over(now);
        self.send_outgoing(entry_index, None);
        if let Some(handed_over) = handed_over {
            self.handed_over = handed_over;
            self.figures.store_calls += 1.0;
            self.fleet.entries[entry_index].is_running = false;
            self.schedule(REPLACEMENT_TIME, Event::Restart(entry_index));
            return;
        }
        self.schedule(TICK_INTERVAL, Event::Tick(entry_index));
    }

    /// Counts a decision against what the rule allows.
    fn record_decision(&mut self, ticket: Ticket, decision: AdmissionDecision) {
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        let Request { account, tokens } = pending.request;
        let is_measured = self.is_measured();
        let ideal_bucket = &mut self.ideal_buckets[account];
        if matches!(decision, AdmissionDecision::Admitted(_)) {
            ideal_bucket.charge(tokens, self.now);
            let rule = &mut self.rule_buckets[account];
            self.figures.over_limit_tokens += rule.charge(tokens, self.now);
            if is_measured {
                self.figures.in_rate_requests += 1;
                let wait = (self.now - pending.arrived_at).as_secs_f64() * 1e3;
                self.figures.waits_ms.push(wait);
            }
            return;
        }
        if ideal_bucket.level(self.now) < tokens as f64 {
            self.figures.refused_beyond_rate += u64::from(is_measured);
            return;
        }
        // Had the request been admitted, later ones would have found fewer tokens.
        ideal_bucket.charge(tokens, self.now);
        if is_measured {
            self.figures.in_rate_requests += 1;
            self.figures.refused_in_rate += 1;
        }
    }

    /// Takes the decisions and messages of an entry's limiter. Messages are sent
    /// as calls, except those for `replying_to`, which are returned as replies to
    /// the call of that entry.
    fn send_outgoing(
        &mut self,
        entry_index: usize,
        replying_to: Option<usize>,
    ) -> Vec<ShareMessage> {
        let entry = &mut self.fleet.entries[entry_index];
        let from = entry.origin;
        let decisions = entry.limiter.take_decisions();
        let outgoing = entry.limiter.take_outgoing();
        for (ticket, decision) in decisions {
            self.record_decision(ticket, decision);
        }
        let mut replies = Vec::new();
        for OutgoingMessage { to, message } in outgoing {
            let to = to.0 as usize;
            if replying_to == Some(to) {
                replies.push(message);
                continue;
            }
            let size = self.wire_size.of_call(from, &message);
            self.figures.control_calls += u64::from(self.is_measured());
            self.send_message(
                entry_index,
                size,
                PeerMessage {
                    from,
                    to,
                    messages: vec![message],
                    is_reply: false,
                },
            );
        }
        replies
    }

    fn send_message(&mut self, entry_index: usize, size: u64, peer_message: PeerMessage) {
        if self.is_measured() {
            self.figures.control_bytes += size;
            self.entry_bytes[entry_index] += size;
            self.entry_bytes[peer_message.to] += size;
        }
        let delay = self.network.delay(entry_index, peer_message.to);
        let number = self.next_message;
        self.next_message += 1;
        self.in_flight.insert(number, peer_message);
        self.schedule(delay, Event::MessageArrival(number));
    }

    fn deliver_message(&mut self, number: usize) {
        let Some(peer_message) = self.in_flight.remove(&number) else {
            return;
        };
        let entry_index = peer_message.to;
        if !self.fleet.entries[entry_index].is_running {
            let caller = peer_message.from.node.0 as usize;
            self.schedule(CALL_TIMEOUT, Event::CallFailed(caller, entry_index));
            return;
        }
        let now = self.clock();
        for message in peer_message.messages {
            let limiter = &mut self.fleet.entries[entry_index].limiter;
            limiter.receive(peer_message.from, message, now);
        }
        let caller = peer_message.from.node.0 as usize;
        let replying_to = (!peer_message.is_reply).then_some(caller);
        let replies = self.send_outgoing(entry_index, replying_to);
        if peer_message.is_reply {
            return;
        }
        let size = self
            .wire_size
            .of_reply(self.fleet.entries[entry_index].origin, &replies);
        self.send_message(
            entry_index,
            size,
            PeerMessage {
                from: self.fleet.entries[entry_index].origin,
                to: caller,
                messages: replies,
                is_reply: true,
            },
        );
    }

    fn handle_failed_call(&mut self, caller: usize, callee: usize) {
        let now = self.clock();
        let callee = self.fleet.entries[callee].origin.node;
        let entry = &mut self.fleet.entries[caller];
        if entry.is_running {
            entry.limiter.mark_unreachable(callee, now);
            self.send_outgoing(caller, None);
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        let at = self.now + delay;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn clock(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.now
    }
}
