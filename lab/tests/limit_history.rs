//! Property test of the rate limiter: no account exceeds its rate and burst
//! while several limiters share it through crashes, pauses, clock drift, lost,
//! late and repeated messages, and store outages.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::ProcessIncarnation;
use teaseldrum::core::limit::AccountId;
use teaseldrum::core::limit::AccountTokens;
use teaseldrum::core::limit::AdmissionDecision;
use teaseldrum::core::limit::Allowance;
use teaseldrum::core::limit::Limiter;
use teaseldrum::core::limit::LiveEntries;
use teaseldrum::core::limit::LiveEntry;
use teaseldrum::core::limit::NodeId;
use teaseldrum::core::limit::Origin;
use teaseldrum::core::limit::OutgoingMessage;
use teaseldrum::core::limit::ShareMessage;
use teaseldrum::core::limit::ShareParameters;
use teaseldrum::core::limit::Ticket;
use teaseldrum_lab::bench::rate::spend_check::RuleBucket;
use teaseldrum_lab::bench::rate::spend_check::Spend;
use teaseldrum_lab::bench::rate::spend_check::find_excess;

const NODE_COUNT: usize = 5;
const SLOT_COUNT: u16 = 4;
const STEP_DURATION: Duration = Duration::from_millis(10);
const TICK_INTERVAL: Duration = Duration::from_millis(50);
const LEASE_DURATION: Duration = Duration::from_secs(3);
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// A lease holder's clock may run slower than the store's by one part in this
/// many.
const LEASE_MARGIN_DIVISOR: u32 = 20;
const CASE_COUNT: u32 = 150;
const SEED: [u8; 32] = *b"teaseldrum shares of accounts v1";

/// A load or fault that the simulated fleet meets.
#[derive(Debug, Clone)]
enum FleetEvent {
    /// A burst of requests of one account at one entry.
    RequestsAtOneEntry {
        node: usize,
        account: usize,
        tokens: u64,
        count: usize,
    },
    /// A burst of 20 requests of one account at each entry.
    RequestsAtAllEntries {
        account: usize,
        tokens: u64,
    },
    /// The process of an entry stops and later continues.
    Pause {
        node: usize,
        millis: u64,
    },
    /// An entry restarts without handing anything over.
    Crash {
        node: usize,
    },
    CrashAll,
    /// An entry shuts down in order and restarts.
    Leave {
        node: usize,
    },
    /// Changes which other entries one entry considers live; `visible` has one
    /// bit per entry.
    ChangeVisibleEntries {
        node: usize,
        visible: u8,
    },
    /// The store that holds the slot leases is unavailable.
    StoreOutage {
        millis: u64,
    },
    /// Message loss rises from 5 % to 55 %.
    NetworkFaults {
        millis: u64,
    },
    Wait {
        millis: u64,
    },
}

fn arbitrary_event() -> impl Strategy<Value = FleetEvent> {
    let node = 0..NODE_COUNT;
    prop_oneof![
        8 => (node.clone(), 0..3_usize, 1..60_u64, 1..40_usize).prop_map(
            |(node, account, tokens, count)| FleetEvent::RequestsAtOneEntry {
                node, account, tokens, count
            }
        ),
        6 => (0..3_usize, 1..40_u64).prop_map(
            |(account, tokens)| FleetEvent::RequestsAtAllEntries { account, tokens }
        ),
        2 => (node.clone(), 50..4_000_u64).prop_map(
            |(node, millis)| FleetEvent::Pause { node, millis }
        ),
        1 => node.clone().prop_map(|node| FleetEvent::Crash { node }),
        1 => Just(FleetEvent::CrashAll),
        1 => node.clone().prop_map(|node| FleetEvent::Leave { node }),
        2 => (node, any::<u8>()).prop_map(
            |(node, visible)| FleetEvent::ChangeVisibleEntries { node, visible }
        ),
        1 => (500..5_000_u64).prop_map(|millis| FleetEvent::StoreOutage { millis }),
        2 => (100..3_000_u64).prop_map(|millis| FleetEvent::NetworkFaults { millis }),
        16 => (10..400_u64).prop_map(|millis| FleetEvent::Wait { millis }),
        8 => (400..3_000_u64).prop_map(|millis| FleetEvent::Wait { millis }),
    ]
}

/// One generated case: the properties of the fleet and the events that it
/// meets.
#[derive(Debug, Clone)]
struct Case {
    seed: u64,
    /// Zone coordinators are in use; without them the fleet is in one zone.
    has_zones: bool,
    has_clock_drift: bool,
    events: Vec<FleetEvent>,
}

fn arbitrary_case() -> impl Strategy<Value = Case> {
    let events = proptest::collection::vec(arbitrary_event(), 20..120);
    (any::<u64>(), any::<bool>(), any::<bool>(), events).prop_map(
        |(seed, has_zones, has_clock_drift, events)| Case {
            seed,
            has_zones,
            has_clock_drift,
            events,
        },
    )
}

fn make_parameters(has_zones: bool) -> ShareParameters {
    ShareParameters {
        slots: SLOT_COUNT,
        groups: 2,
        loan_duration: Duration::from_millis(1_200),
        loan_renewal_interval: Duration::from_millis(250),
        grant_duration: Duration::from_millis(500),
        sub_grant_duration: Duration::from_millis(200),
        max_entries_without_zones: if has_zones { 0 } else { 32 },
        max_wait: Duration::from_millis(600),
        max_waiting_requests: 16,
    }
}

fn make_allowances() -> BTreeMap<AccountId, Allowance> {
    let allowances = [(400, 400), (1_000, 3_000), (200, 5_000)];
    let ids = [AccountId(2), AccountId(3), AccountId(4)];
    let allowances = allowances.map(|(rate, burst)| Allowance { rate, burst });
    ids.into_iter().zip(allowances).collect()
}

/// One entry of the fleet, with its own clock.
struct Node {
    limiter: Limiter,
    origin: Origin,
    clock_offset: Duration,
    /// Parts in a thousand by which its clock runs fast.
    clock_drift_per_mille: i64,
    paused_until: Duration,
    next_tick_at: Duration,
    next_renewal_at: Duration,
    slot: Option<usize>,
    leaving: bool,
}

/// State of a slot in the store.
#[derive(Default, Clone)]
struct Slot {
    holder: Option<ProcessIncarnation>,
    lease_expires_at: Duration,
    /// Tokens that the previous holder handed over.
    left_tokens: Vec<AccountTokens>,
}

struct InFlightMessage {
    deliver_at: Duration,
    from: Origin,
    to: NodeId,
    message: ShareMessage,
}

struct Simulation {
    rng: StdRng,
    now: Duration,
    parameters: ShareParameters,
    has_zones: bool,
    nodes: Vec<Node>,
    slots: Vec<Slot>,
    in_flight: Vec<InFlightMessage>,
    store_outage_until: Duration,
    network_faults_until: Duration,
    next_incarnation: u64,
    next_ticket: u64,
    /// Every entry holds the only slot, so that it spends the whole allowance:
    /// a faulty limiter.
    ignores_sharing: bool,
    /// Account and tokens of each request.
    requests: BTreeMap<Ticket, (AccountId, u64)>,
    spends: BTreeMap<AccountId, Vec<Spend>>,
    /// Ideal bucket of each account, charged with all admitted requests.
    rule_buckets: BTreeMap<AccountId, RuleBucket>,
    /// Most tokens by which all entries together could exceed an ideal bucket
    /// at any moment.
    max_excess: f64,
}

impl Simulation {
    fn new(case: &Case, ignores_sharing: bool) -> Self {
        let mut parameters = make_parameters(case.has_zones);
        if ignores_sharing {
            parameters.slots = 1;
        }
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(case.seed),
            now: Duration::from_secs(1),
            parameters,
            has_zones: case.has_zones,
            nodes: Vec::new(),
            slots: vec![Slot::default(); usize::from(SLOT_COUNT)],
            in_flight: Vec::new(),
            store_outage_until: Duration::ZERO,
            network_faults_until: Duration::ZERO,
            next_incarnation: 1,
            next_ticket: 1,
            ignores_sharing,
            requests: BTreeMap::new(),
            spends: BTreeMap::new(),
            rule_buckets: make_rule_buckets(case.has_clock_drift),
            max_excess: 0.0,
        };
        for index in 0..NODE_COUNT {
            let clock_drift_per_mille = if case.has_clock_drift {
                [5, -5, 0, 5, -5][index]
            } else {
                0
            };
            let node = simulation.make_node(index, clock_drift_per_mille);
            simulation.nodes.push(node);
        }
        simulation
    }

    fn make_node(&mut self, index: usize, clock_drift_per_mille: i64) -> Node {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let origin = Origin {
            node: NodeId(index as u64),
            incarnation: ProcessIncarnation(incarnation),
        };
        let zone = (index % 2) as u16;
        let mut node = Node {
            limiter: Limiter::new(origin, zone, self.parameters, incarnation << 32),
            origin,
            clock_offset: Duration::from_millis(self.rng.random_range(0..1_000_000)),
            clock_drift_per_mille,
            paused_until: Duration::ZERO,
            next_tick_at: Duration::ZERO,
            next_renewal_at: Duration::ZERO,
            slot: None,
            leaving: false,
        };
        let now = node.clock(self.now);
        node.limiter.set_allowances(make_allowances(), now);
        node.limiter
            .set_live_entries(self.visible_entries(u8::MAX, index));
        node
    }

    fn visible_entries(&self, visible: u8, own_index: usize) -> LiveEntries {
        let entries = (0..NODE_COUNT)
            .filter(|index| *index == own_index || visible & (1 << index) != 0)
            .map(|index| LiveEntry {
                node: NodeId(index as u64),
                zone: if self.has_zones {
                    (index % 2) as u16
                } else {
                    0
                },
            })
            .collect();
        LiveEntries::new(entries)
    }

    fn apply(&mut self, event: &FleetEvent) {
        match *event {
            FleetEvent::RequestsAtOneEntry {
                node,
                account,
                tokens,
                count,
            } => (0..count).for_each(|_| self.send_request(node, account, tokens)),
            FleetEvent::RequestsAtAllEntries { account, tokens } => {
                for node in 0..NODE_COUNT {
                    (0..20).for_each(|_| self.send_request(node, account, tokens));
                }
            }
            FleetEvent::Pause { node, millis } => {
                self.nodes[node].paused_until = self.now + Duration::from_millis(millis);
            }
            FleetEvent::Crash { node } => self.crash(node),
            FleetEvent::CrashAll => (0..NODE_COUNT).for_each(|node| self.crash(node)),
            FleetEvent::Leave { node } => {
                let now = self.nodes[node].clock(self.now);
                self.nodes[node].limiter.start_leaving(now);
                self.nodes[node].leaving = true;
                self.send_outgoing(node);
            }
            FleetEvent::ChangeVisibleEntries { node, visible } => {
                let entries = self.visible_entries(visible, node);
                self.nodes[node].limiter.set_live_entries(entries);
            }
            FleetEvent::StoreOutage { millis } => {
                self.store_outage_until = self.now + Duration::from_millis(millis);
            }
            FleetEvent::NetworkFaults { millis } => {
                self.network_faults_until = self.now + Duration::from_millis(millis);
            }
            FleetEvent::Wait { millis } => {
                let end = self.now + Duration::from_millis(millis);
                while self.now < end {
                    self.step();
                }
            }
        }
    }

    fn crash(&mut self, index: usize) {
        let clock_drift_per_mille = self.nodes[index].clock_drift_per_mille;
        self.nodes[index] = self.make_node(index, clock_drift_per_mille);
    }

    fn send_request(&mut self, index: usize, account: usize, tokens: u64) {
        if self.nodes[index].paused_until > self.now {
            return;
        }
        let ids: Vec<AccountId> = make_allowances().into_keys().collect();
        let account = ids[account];
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.requests.insert(ticket, (account, tokens));
        let node = &mut self.nodes[index];
        let now = node.clock(self.now);
        let decision = node.limiter.admit(ticket, account, tokens, now);
        if let Some(decision) = decision {
            self.record_decision(ticket, decision);
        }
        self.send_outgoing(index);
    }

    fn record_decision(&mut self, ticket: Ticket, decision: AdmissionDecision) {
        let (account, tokens) = self.requests[&ticket];
        if let AdmissionDecision::Admitted(charge) = decision {
            assert_eq!((charge.account, charge.tokens), (account, tokens));
            let spend = Spend {
                at: self.now,
                tokens,
            };
            self.spends.entry(account).or_default().push(spend);
            if let Some(bucket) = self.rule_buckets.get_mut(&account) {
                bucket.charge(tokens, self.now);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_DURATION;
        let (due, later): (Vec<InFlightMessage>, Vec<InFlightMessage>) =
            std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|sent| sent.deliver_at <= self.now);
        self.in_flight = later;
        due.into_iter().for_each(|sent| self.deliver(sent));
        for index in 0..NODE_COUNT {
            if self.nodes[index].paused_until <= self.now {
                self.run_node(index);
            }
        }
        self.measure_available();
    }

    /// Compares the tokens that all entries together could spend now with the
    /// ideal buckets.
    fn measure_available(&mut self) {
        for (account, bucket) in &mut self.rule_buckets {
            let nodes = self.nodes.iter_mut();
            let available: u64 = nodes
                .map(|node| {
                    node.limiter
                        .available_tokens(*account, node.clock(self.now))
                })
                .sum();
            let excess = available as f64 - bucket.level(self.now);
            self.max_excess = self.max_excess.max(excess);
        }
    }

    fn run_node(&mut self, index: usize) {
        if self.nodes[index].next_renewal_at <= self.now {
            self.nodes[index].next_renewal_at = self.now + LEASE_RENEWAL_INTERVAL;
            self.renew_slot(index);
        }
        if self.nodes[index].next_tick_at <= self.now {
            let node = &mut self.nodes[index];
            node.next_tick_at = self.now + TICK_INTERVAL;
            let now = node.clock(self.now);
            node.limiter.tick(now);
            self.send_outgoing(index);
        }
        if self.nodes[index].leaving {
            self.finish_leaving(index);
        }
    }

    fn finish_leaving(&mut self, index: usize) {
        let now = self.nodes[index].clock(self.now);
        if self.store_outage_until > self.now {
            return;
        }
        let Some(left_tokens) = self.nodes[index].limiter.hand_over(now) else {
            return;
        };
        let incarnation = self.nodes[index].origin.incarnation;
        if let Some(slot) = self.nodes[index].slot.map(|slot| &mut self.slots[slot])
            && slot.holder == Some(incarnation)
            && slot.lease_expires_at > self.now
        {
            *slot = Slot {
                left_tokens,
                ..Slot::default()
            };
        }
        self.crash(index);
    }

    fn renew_slot(&mut self, index: usize) {
        let safe_lease = LEASE_DURATION - LEASE_DURATION / LEASE_MARGIN_DIVISOR;
        let (now, incarnation) = (
            self.nodes[index].clock(self.now),
            self.nodes[index].origin.incarnation,
        );
        if self.ignores_sharing {
            let limiter = &mut self.nodes[index].limiter;
            return limiter.set_slots(1, now + safe_lease, now);
        }
        if self.store_outage_until > self.now || self.nodes[index].leaving {
            return;
        }
        let held_slot = self.nodes[index].slot.filter(|slot| {
            let slot = &self.slots[*slot];
            slot.holder == Some(incarnation) && slot.lease_expires_at > self.now
        });
        let free_slot = || {
            self.slots
                .iter()
                .position(|slot| slot.lease_expires_at <= self.now)
        };
        let Some(number) = held_slot.or_else(free_slot) else {
            self.nodes[index].slot = None;
            return;
        };
        let slot = &mut self.slots[number];
        slot.holder = Some(incarnation);
        slot.lease_expires_at = self.now + LEASE_DURATION;
        let left_tokens = std::mem::take(&mut slot.left_tokens);
        let node = &mut self.nodes[index];
        node.slot = Some(number);
        node.limiter.set_slots(1, now + safe_lease, now);
        node.limiter.add_handed_over_tokens(&left_tokens, now);
    }

    /// Records the decisions of a node and sends its messages over a network
    /// that loses, delays and repeats them.
    fn send_outgoing(&mut self, index: usize) {
        let from = self.nodes[index].origin;
        let decisions = self.nodes[index].limiter.take_decisions();
        for (ticket, decision) in decisions {
            self.record_decision(ticket, decision);
        }
        let outgoing = self.nodes[index].limiter.take_outgoing();
        for OutgoingMessage { to, message } in outgoing {
            let percent_draw = self.rng.random_range(0..100);
            let extra_loss_percent = if self.network_faults_until > self.now {
                50
            } else {
                0
            };
            if percent_draw < 5 + extra_loss_percent {
                continue;
            }
            let copies = if percent_draw > 92 { 2 } else { 1 };
            for copy in 0..copies {
                let is_late = copy == 1 || self.rng.random_range(0..100) < 15;
                let max_delay_ms = if is_late { 3_000 } else { 25 };
                let delay = Duration::from_millis(self.rng.random_range(0..max_delay_ms));
                self.in_flight.push(InFlightMessage {
                    deliver_at: self.now + delay,
                    from,
                    to,
                    message: message.clone(),
                });
            }
        }
    }

    fn deliver(&mut self, sent: InFlightMessage) {
        let index = sent.to.0 as usize;
        let node = &mut self.nodes[index];
        if node.paused_until > self.now {
            let deliver_at = node.paused_until;
            self.in_flight.push(InFlightMessage { deliver_at, ..sent });
            return;
        }
        let now = node.clock(self.now);
        node.limiter.receive(sent.from, sent.message, now);
        self.send_outgoing(index);
    }
}

impl Node {
    fn clock(&self, real_time: Duration) -> MonotonicTime {
        let micros =
            i128::try_from(real_time.as_micros()).expect("the simulated time fits in 128 bits");
        let local_micros = micros + micros * i128::from(self.clock_drift_per_mille) / 1_000;
        let local_micros = u64::try_from(local_micros).expect("the clock is not before its start");
        MonotonicTime::ZERO + self.clock_offset + Duration::from_micros(local_micros)
    }
}

fn run_case(case: &Case, ignores_sharing: bool) -> Simulation {
    let mut simulation = Simulation::new(case, ignores_sharing);
    case.events.iter().for_each(|event| simulation.apply(event));
    simulation
}

/// Creates the ideal buckets. Under clock drift they refill 0.5 % faster, like
/// a bucket on the fastest clock; that margin belongs to the clock, not to the
/// limiter.
fn make_rule_buckets(has_clock_drift: bool) -> BTreeMap<AccountId, RuleBucket> {
    let rate_factor = if has_clock_drift { 1.005 } else { 1.0 };
    let allowances = make_allowances().into_iter();
    allowances
        .map(|(account, allowance)| {
            let rate = allowance.rate as f64 * rate_factor;
            (account, RuleBucket::new(rate, allowance.burst))
        })
        .collect()
}

/// Returns the most tokens by which any account exceeded its rule.
fn largest_excess(simulation: &Simulation, has_clock_drift: bool) -> u64 {
    let rate_factor = if has_clock_drift { 1.005 } else { 1.0 };
    let allowances = make_allowances();
    let excesses = simulation.spends.iter().map(|(account, history)| {
        let allowance = allowances[account];
        find_excess(
            history,
            allowance.rate as f64 * rate_factor,
            allowance.burst,
        )
    });
    excesses.max().unwrap_or(0)
}

fn make_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

#[test]
fn spend_within_rules_under_faults() {
    let admitted = Cell::new(0);
    make_runner(CASE_COUNT)
        .run(&arbitrary_case(), |case| {
            let simulation = run_case(&case, false);
            let count: usize = simulation.spends.values().map(Vec::len).sum();
            admitted.set(admitted.get() + count);
            prop_assert_eq!(largest_excess(&simulation, case.has_clock_drift), 0);
            prop_assert!(
                simulation.max_excess < 1.0,
                "available tokens exceed the rule by {}",
                simulation.max_excess
            );
            Ok(())
        })
        .expect("no account exceeds its rule");
    let mean_admitted = admitted.get() / CASE_COUNT as usize;
    assert!(
        mean_admitted > 100,
        "only {mean_admitted} requests per case were admitted"
    );
}

#[test]
fn spend_of_unshared_limiters_is_detected() {
    let result = make_runner(CASE_COUNT).run(&arbitrary_case(), |case| {
        let simulation = run_case(&case, true);
        prop_assert_eq!(largest_excess(&simulation, case.has_clock_drift), 0);
        Ok(())
    });
    assert!(
        result.is_err(),
        "no excess was detected although each entry spent the whole rate"
    );
}
