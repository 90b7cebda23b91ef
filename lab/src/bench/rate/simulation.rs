//! One run in virtual time.

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
use super::fleet::LEASE;
use super::fleet::RENEWAL;
use super::network::Network;
use super::spend_check::RuleBucket;
use super::wire_size::WireSize;
use super::workload::Request;
use super::workload::Workload;

const TICK: Duration = Duration::from_millis(50);

/// Time in which buckets fill and demand is learned; nothing is counted.
const WARM_UP: Duration = Duration::from_secs(14);

/// Time that is counted; a fault happens at its beginning.
const MEASURED: Duration = Duration::from_secs(10);

/// Time for which skewed requests may be refused.
const SKEW_GRACE: Duration = Duration::from_secs(1);

/// Time after which a call to a dead entry has failed.
const CALL_LIMIT: Duration = Duration::from_millis(500);

/// Time until the host list shows a change.
const LIST_LAG: Duration = Duration::from_secs(1);

/// Time until a drained entry has been replaced.
const REPLACEMENT: Duration = Duration::from_millis(500);

/// What to run.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Entries of the fleet.
    pub entries: usize,
    /// Client accounts.
    pub accounts: usize,
    /// What goes wrong.
    pub fault: Fault,
    /// Seed of everything drawn at random.
    pub seed: u64,
}

/// Runs a scenario and returns its figures.
pub fn run_scenario(scenario: Scenario) -> Value {
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    let seconds = MEASURED.as_secs_f64();
    simulation.close().to_json(seconds, scenario.entries)
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Tick(usize),
    Fault,
    Roster,
    Restart(usize),
    Call(usize),
    CallFailed(usize, usize),
}

/// A call from one entry to another, or the replies to it.
#[derive(Debug)]
struct Letter {
    from: Origin,
    to: usize,
    messages: Vec<ShareMessage>,
    is_reply: bool,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    request: Request,
    since: Duration,
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
    letters: BTreeMap<usize, Letter>,
    next_letter: usize,
    waiting: BTreeMap<Ticket, Waiting>,
    next_ticket: u64,
    /// What the rules allow, charged with all that was admitted.
    rules: Vec<RuleBucket>,
    /// The same, charged also with what should have been admitted.
    ideals: Vec<RuleBucket>,
    left: Vec<AccountTokens>,
    victim: usize,
    skewed: bool,
    bytes: Vec<u64>,
    wire: WireSize,
    figures: Figures,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let network = Network::new(scenario.entries);
        let workload = Workload::new(scenario.entries, scenario.accounts);
        let fleet = Fleet::start(scenario.entries, &workload.accounts, network);
        let rules = workload.accounts.iter();
        let rules = rules.map(|(_, rule)| RuleBucket::new(rule.rate as f64, rule.burst));
        let rules: Vec<RuleBucket> = rules.collect();
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(scenario.seed),
            now: Duration::ZERO,
            network,
            ideals: rules.clone(),
            rules,
            fleet,
            events: BinaryHeap::new(),
            next_event: 0,
            letters: BTreeMap::new(),
            next_letter: 0,
            waiting: BTreeMap::new(),
            next_ticket: 0,
            left: Vec::new(),
            victim: 0,
            skewed: false,
            bytes: vec![0; scenario.entries],
            wire: WireSize,
            figures: Figures::default(),
            workload,
            scenario,
        };
        simulation.victim = simulation.find_largest_keeper();
        for index in 0..scenario.entries {
            let offset = TICK * u32::try_from(index).unwrap_or(0) / scenario.entries as u32;
            simulation.schedule(offset, Event::Tick(index));
        }
        simulation.schedule(Duration::ZERO, Event::Arrival);
        simulation.schedule(WARM_UP, Event::Fault);
        simulation
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > WARM_UP + MEASURED {
                return;
            }
            self.now = at;
            match event {
                Event::Arrival => self.arrive(),
                Event::Tick(index) => self.tick(index),
                Event::Fault => self.begin_fault(),
                Event::Roster => self.fleet.spread_roster(),
                Event::Restart(index) => self.restart(index),
                Event::Call(letter) => self.deliver(letter),
                Event::CallFailed(caller, callee) => self.fail_call(caller, callee),
            }
        }
    }

    fn close(mut self) -> Figures {
        let busiest = self.bytes.iter().max();
        self.figures.busiest_entry_bytes = busiest.copied().unwrap_or(0);
        let renewals = self.fleet.count_holders() as f64 / RENEWAL.as_secs_f64();
        let store_is_up = self.scenario.fault != Fault::StoreDown;
        if store_is_up {
            self.figures.store_calls += renewals * MEASURED.as_secs_f64();
        }
        self.figures
    }

    fn is_measured(&self) -> bool {
        let grace = match self.skewed {
            true => SKEW_GRACE,
            false => Duration::ZERO,
        };
        self.now >= WARM_UP + grace
    }

    fn find_largest_keeper(&self) -> usize {
        let (largest, _) = self.workload.accounts[0];
        let entry = &self.fleet.entries[0].limiter;
        let keeper = entry.coordinator_of(largest);
        keeper.map_or(0, |keeper| keeper.0 as usize)
    }

    fn begin_fault(&mut self) {
        let victim = self.victim;
        match self.scenario.fault {
            Fault::None | Fault::StoreDown => {}
            Fault::Skew => self.skewed = true,
            Fault::KeeperCrash => {
                let entry = &mut self.fleet.entries[victim];
                entry.lives = false;
                entry.serves = false;
                self.schedule(LIST_LAG, Event::Roster);
            }
            Fault::EntryRestart => {
                let now = self.clock();
                let entry = &mut self.fleet.entries[victim];
                entry.serves = false;
                entry.limiter.start_leaving(now);
                self.schedule(LIST_LAG, Event::Roster);
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let slots = self.fleet.entries[index].slots;
        self.fleet.restart(index, self.now);
        let now = self.clock();
        let entry = &mut self.fleet.entries[index];
        entry.slots = slots;
        entry.limiter.set_slots(slots, now + LEASE, now);
        entry
            .limiter
            .add_handed_over_tokens(&std::mem::take(&mut self.left), now);
        // One call reads the slots, one takes them.
        self.figures.store_calls += 2.0;
        self.schedule(TICK, Event::Tick(index));
        self.schedule(LIST_LAG, Event::Roster);
    }

    fn arrive(&mut self) {
        let gap = self.workload.draw_gap(&mut self.rng);
        self.schedule(gap, Event::Arrival);
        let request = self.workload.draw_request(&mut self.rng);
        let index = self.draw_entry();
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiting = Waiting {
            request,
            since: self.now,
        };
        self.waiting.insert(ticket, waiting);
        let (account, _) = self.workload.accounts[request.account];
        let now = self.clock();
        let limiter = &mut self.fleet.entries[index].limiter;
        if let Some(verdict) = limiter.admit(ticket, account, request.tokens, now) {
            self.note(ticket, verdict);
        }
        self.collect(index, None);
    }

    fn draw_entry(&mut self) -> usize {
        if self.skewed {
            return (self.victim + 1) % self.scenario.entries;
        }
        loop {
            let index = self.rng.random_range(0..self.scenario.entries);
            if self.fleet.entries[index].serves {
                return index;
            }
        }
    }

    fn tick(&mut self, index: usize) {
        if !self.fleet.entries[index].lives {
            return;
        }
        let now = self.clock();
        let limiter = &mut self.fleet.entries[index].limiter;
        limiter.tick(now);
        let left = limiter.hand_over(now);
        self.collect(index, None);
        if let Some(left) = left {
            self.left = left;
            self.figures.store_calls += 1.0;
            self.fleet.entries[index].lives = false;
            self.schedule(REPLACEMENT, Event::Restart(index));
            return;
        }
        self.schedule(TICK, Event::Tick(index));
    }

    fn note(&mut self, ticket: Ticket, verdict: AdmissionDecision) {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        let Request { account, tokens } = waiting.request;
        let is_measured = self.is_measured();
        let ideal = &mut self.ideals[account];
        if matches!(verdict, AdmissionDecision::Admitted(_)) {
            ideal.charge(tokens, self.now);
            let rule = &mut self.rules[account];
            self.figures.over_limit_tokens += rule.charge(tokens, self.now);
            if is_measured {
                self.figures.in_rate_requests += 1;
                let wait = (self.now - waiting.since).as_secs_f64() * 1e3;
                self.figures.waits_ms.push(wait);
            }
            return;
        }
        if ideal.level(self.now) < tokens as f64 {
            self.figures.refused_beyond_rate += u64::from(is_measured);
            return;
        }
        // The rule would have allowed it, and then had less for later ones.
        ideal.charge(tokens, self.now);
        if is_measured {
            self.figures.in_rate_requests += 1;
            self.figures.refused_in_rate += 1;
        }
    }

    /// Sends what an entry wants to send. What answers `asker` is returned.
    fn collect(&mut self, index: usize, asker: Option<usize>) -> Vec<ShareMessage> {
        let entry = &mut self.fleet.entries[index];
        let from = entry.origin;
        let verdicts = entry.limiter.take_decisions();
        let outgoing = entry.limiter.take_outgoing();
        for (ticket, verdict) in verdicts {
            self.note(ticket, verdict);
        }
        let mut replies = Vec::new();
        for OutgoingMessage { to, message } in outgoing {
            let to = to.0 as usize;
            if asker == Some(to) {
                replies.push(message);
                continue;
            }
            let size = self.wire.of_call(from, &message);
            self.figures.control_calls += u64::from(self.is_measured());
            self.post(
                index,
                size,
                Letter {
                    from,
                    to,
                    messages: vec![message],
                    is_reply: false,
                },
            );
        }
        replies
    }

    fn post(&mut self, index: usize, size: u64, letter: Letter) {
        if self.is_measured() {
            self.figures.control_bytes += size;
            self.bytes[index] += size;
            self.bytes[letter.to] += size;
        }
        let delay = self.network.delay(index, letter.to);
        let number = self.next_letter;
        self.next_letter += 1;
        self.letters.insert(number, letter);
        self.schedule(delay, Event::Call(number));
    }

    fn deliver(&mut self, number: usize) {
        let Some(letter) = self.letters.remove(&number) else {
            return;
        };
        let index = letter.to;
        if !self.fleet.entries[index].lives {
            let caller = letter.from.node.0 as usize;
            self.schedule(CALL_LIMIT, Event::CallFailed(caller, index));
            return;
        }
        let now = self.clock();
        for message in letter.messages {
            let limiter = &mut self.fleet.entries[index].limiter;
            limiter.receive(letter.from, message, now);
        }
        let asker = letter.from.node.0 as usize;
        let answers = (!letter.is_reply).then_some(asker);
        let replies = self.collect(index, answers);
        if letter.is_reply {
            return;
        }
        let size = self
            .wire
            .of_reply(self.fleet.entries[index].origin, &replies);
        self.post(
            index,
            size,
            Letter {
                from: self.fleet.entries[index].origin,
                to: asker,
                messages: replies,
                is_reply: true,
            },
        );
    }

    fn fail_call(&mut self, caller: usize, callee: usize) {
        let now = self.clock();
        let callee = self.fleet.entries[callee].origin.node;
        let entry = &mut self.fleet.entries[caller];
        if entry.lives {
            entry.limiter.mark_unreachable(callee, now);
            self.collect(caller, None);
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next_event += 1;
        let at = self.now + after;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn clock(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.now
    }
}
