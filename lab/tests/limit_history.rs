//! Histories of many limiters under faults: no account ever gets more than
//! its rate and burst.

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

const NODES: usize = 5;
const SLOTS: u16 = 4;
const STEP: Duration = Duration::from_millis(10);
const TICK: Duration = Duration::from_millis(50);
const LEASE: Duration = Duration::from_secs(3);
const RENEWAL: Duration = Duration::from_millis(300);
/// A lease holder's clock may run this much slower than the store's.
const LEASE_DIVISOR: u32 = 20;
const CASES: u32 = 150;
const SEED: [u8; 32] = *b"teaseldrum shares of accounts v1";

/// Something that happens to the fleet.
#[derive(Debug, Clone)]
enum Op {
    /// Requests of one account at one entry.
    Flood {
        node: usize,
        account: usize,
        tokens: u64,
        count: usize,
    },
    /// Requests of one account at all entries.
    FloodAll {
        account: usize,
        tokens: u64,
    },
    Pause {
        node: usize,
        millis: u64,
    },
    Crash {
        node: usize,
    },
    CrashAll,
    Leave {
        node: usize,
    },
    /// What one entry sees of the others.
    View {
        node: usize,
        seen: u8,
    },
    StoreDown {
        millis: u64,
    },
    NetworkBad {
        millis: u64,
    },
    Wait {
        millis: u64,
    },
}

fn draw_op() -> impl Strategy<Value = Op> {
    let node = 0..NODES;
    prop_oneof![
        8 => (node.clone(), 0..3_usize, 1..60_u64, 1..40_usize).prop_map(
            |(node, account, tokens, count)| Op::Flood { node, account, tokens, count }
        ),
        6 => (0..3_usize, 1..40_u64).prop_map(|(account, tokens)| Op::FloodAll { account, tokens }),
        2 => (node.clone(), 50..4_000_u64).prop_map(|(node, millis)| Op::Pause { node, millis }),
        1 => node.clone().prop_map(|node| Op::Crash { node }),
        1 => Just(Op::CrashAll),
        1 => node.clone().prop_map(|node| Op::Leave { node }),
        2 => (node, any::<u8>()).prop_map(|(node, seen)| Op::View { node, seen }),
        1 => (500..5_000_u64).prop_map(|millis| Op::StoreDown { millis }),
        2 => (100..3_000_u64).prop_map(|millis| Op::NetworkBad { millis }),
        16 => (10..400_u64).prop_map(|millis| Op::Wait { millis }),
        8 => (400..3_000_u64).prop_map(|millis| Op::Wait { millis }),
    ]
}

/// One case: the fleet's shape and what happens to it.
#[derive(Debug, Clone)]
struct Case {
    seed: u64,
    zones: bool,
    drift: bool,
    ops: Vec<Op>,
}

fn draw_case() -> impl Strategy<Value = Case> {
    let ops = proptest::collection::vec(draw_op(), 20..120);
    (any::<u64>(), any::<bool>(), any::<bool>(), ops).prop_map(|(seed, zones, drift, ops)| Case {
        seed,
        zones,
        drift,
        ops,
    })
}

fn make_parameters(zones: bool) -> ShareParameters {
    ShareParameters {
        slots: SLOTS,
        groups: 2,
        loan_duration: Duration::from_millis(1_200),
        loan_renewal_interval: Duration::from_millis(250),
        grant_duration: Duration::from_millis(500),
        sub_grant_duration: Duration::from_millis(200),
        max_entries_without_zones: if zones { 0 } else { 32 },
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

/// An entry of the fleet.
struct Node {
    limiter: Limiter,
    origin: Origin,
    offset: Duration,
    /// Parts in a thousand by which its clock runs fast.
    fast: i64,
    paused_until: Duration,
    next_tick: Duration,
    next_renewal: Duration,
    slot: Option<usize>,
    leaving: bool,
}

/// A slot as the store knows it.
#[derive(Default, Clone)]
struct Slot {
    holder: Option<ProcessIncarnation>,
    until: Duration,
    left: Vec<AccountTokens>,
}

struct Letter {
    at: Duration,
    from: Origin,
    to: NodeId,
    message: ShareMessage,
}

struct World {
    rng: StdRng,
    now: Duration,
    parameters: ShareParameters,
    zones: bool,
    nodes: Vec<Node>,
    slots: Vec<Slot>,
    letters: Vec<Letter>,
    store_down_until: Duration,
    bad_until: Duration,
    next_run: u64,
    next_ticket: u64,
    /// Each process believes that it owns everything: a wrong limiter.
    greedy: bool,
    costs: BTreeMap<Ticket, (AccountId, u64)>,
    spent: BTreeMap<AccountId, Vec<Spend>>,
    allowed: BTreeMap<AccountId, RuleBucket>,
    /// Most tokens that could have been spent at some moment, beyond the rule.
    exposed: f64,
}

impl World {
    fn new(case: &Case, greedy: bool) -> Self {
        let mut parameters = make_parameters(case.zones);
        if greedy {
            parameters.slots = 1;
        }
        let mut world = Self {
            rng: StdRng::seed_from_u64(case.seed),
            now: Duration::from_secs(1),
            parameters,
            zones: case.zones,
            nodes: Vec::new(),
            slots: vec![Slot::default(); usize::from(SLOTS)],
            letters: Vec::new(),
            store_down_until: Duration::ZERO,
            bad_until: Duration::ZERO,
            next_run: 1,
            next_ticket: 1,
            greedy,
            costs: BTreeMap::new(),
            spent: BTreeMap::new(),
            allowed: make_allowed(case.drift),
            exposed: 0.0,
        };
        for index in 0..NODES {
            let fast = if case.drift {
                [5, -5, 0, 5, -5][index]
            } else {
                0
            };
            let node = world.make_node(index, fast);
            world.nodes.push(node);
        }
        world
    }

    fn make_node(&mut self, index: usize, fast: i64) -> Node {
        let run = self.next_run;
        self.next_run += 1;
        let origin = Origin {
            node: NodeId(index as u64),
            incarnation: ProcessIncarnation(run),
        };
        let zone = (index % 2) as u16;
        let mut node = Node {
            limiter: Limiter::new(origin, zone, self.parameters, run << 32),
            origin,
            offset: Duration::from_millis(self.rng.random_range(0..1_000_000)),
            fast,
            paused_until: Duration::ZERO,
            next_tick: Duration::ZERO,
            next_renewal: Duration::ZERO,
            slot: None,
            leaving: false,
        };
        let now = node.clock(self.now);
        node.limiter.set_allowances(make_allowances(), now);
        node.limiter
            .set_live_entries(self.make_roster(u8::MAX, index));
        node
    }

    fn make_roster(&self, seen: u8, own: usize) -> LiveEntries {
        let peers = (0..NODES)
            .filter(|index| *index == own || seen & (1 << index) != 0)
            .map(|index| LiveEntry {
                node: NodeId(index as u64),
                zone: if self.zones { (index % 2) as u16 } else { 0 },
            })
            .collect();
        LiveEntries::new(peers)
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Flood {
                node,
                account,
                tokens,
                count,
            } => (0..count).for_each(|_| self.request(node, account, tokens)),
            Op::FloodAll { account, tokens } => {
                for node in 0..NODES {
                    (0..20).for_each(|_| self.request(node, account, tokens));
                }
            }
            Op::Pause { node, millis } => {
                self.nodes[node].paused_until = self.now + Duration::from_millis(millis);
            }
            Op::Crash { node } => self.crash(node),
            Op::CrashAll => (0..NODES).for_each(|node| self.crash(node)),
            Op::Leave { node } => {
                let now = self.nodes[node].clock(self.now);
                self.nodes[node].limiter.start_leaving(now);
                self.nodes[node].leaving = true;
                self.collect(node);
            }
            Op::View { node, seen } => {
                let roster = self.make_roster(seen, node);
                self.nodes[node].limiter.set_live_entries(roster);
            }
            Op::StoreDown { millis } => {
                self.store_down_until = self.now + Duration::from_millis(millis);
            }
            Op::NetworkBad { millis } => {
                self.bad_until = self.now + Duration::from_millis(millis);
            }
            Op::Wait { millis } => {
                let end = self.now + Duration::from_millis(millis);
                while self.now < end {
                    self.step();
                }
            }
        }
    }

    fn crash(&mut self, index: usize) {
        let fast = self.nodes[index].fast;
        self.nodes[index] = self.make_node(index, fast);
    }

    fn request(&mut self, index: usize, account: usize, tokens: u64) {
        if self.nodes[index].paused_until > self.now {
            return;
        }
        let ids: Vec<AccountId> = make_allowances().into_keys().collect();
        let account = ids[account];
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.costs.insert(ticket, (account, tokens));
        let node = &mut self.nodes[index];
        let now = node.clock(self.now);
        let verdict = node.limiter.admit(ticket, account, tokens, now);
        if let Some(verdict) = verdict {
            self.note(ticket, verdict);
        }
        self.collect(index);
    }

    fn note(&mut self, ticket: Ticket, verdict: AdmissionDecision) {
        let (account, tokens) = self.costs[&ticket];
        if let AdmissionDecision::Admitted(charge) = verdict {
            assert_eq!((charge.account, charge.tokens), (account, tokens));
            let spend = Spend {
                at: self.now,
                tokens,
            };
            self.spent.entry(account).or_default().push(spend);
            if let Some(bucket) = self.allowed.get_mut(&account) {
                bucket.charge(tokens, self.now);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let (due, later): (Vec<Letter>, Vec<Letter>) = std::mem::take(&mut self.letters)
            .into_iter()
            .partition(|letter| letter.at <= self.now);
        self.letters = later;
        due.into_iter().for_each(|letter| self.deliver(letter));
        for index in 0..NODES {
            if self.nodes[index].paused_until <= self.now {
                self.run_node(index);
            }
        }
        self.probe();
    }

    /// Compares what all entries together could spend now with the rule.
    fn probe(&mut self) {
        for (account, bucket) in &mut self.allowed {
            let nodes = self.nodes.iter_mut();
            let could: u64 = nodes
                .map(|node| {
                    node.limiter
                        .available_tokens(*account, node.clock(self.now))
                })
                .sum();
            let excess = could as f64 - bucket.level(self.now);
            self.exposed = self.exposed.max(excess);
        }
    }

    fn run_node(&mut self, index: usize) {
        if self.nodes[index].next_renewal <= self.now {
            self.nodes[index].next_renewal = self.now + RENEWAL;
            self.renew_slot(index);
        }
        if self.nodes[index].next_tick <= self.now {
            let node = &mut self.nodes[index];
            node.next_tick = self.now + TICK;
            let now = node.clock(self.now);
            node.limiter.tick(now);
            self.collect(index);
        }
        if self.nodes[index].leaving {
            self.hand_over(index);
        }
    }

    fn hand_over(&mut self, index: usize) {
        let now = self.nodes[index].clock(self.now);
        if self.store_down_until > self.now {
            return;
        }
        let Some(left) = self.nodes[index].limiter.hand_over(now) else {
            return;
        };
        let run = self.nodes[index].origin.incarnation;
        if let Some(slot) = self.nodes[index].slot.map(|slot| &mut self.slots[slot])
            && slot.holder == Some(run)
            && slot.until > self.now
        {
            *slot = Slot {
                left,
                ..Slot::default()
            };
        }
        self.crash(index);
    }

    fn renew_slot(&mut self, index: usize) {
        let lease_left = LEASE - LEASE / LEASE_DIVISOR;
        let (now, run) = (
            self.nodes[index].clock(self.now),
            self.nodes[index].origin.incarnation,
        );
        if self.greedy {
            let limiter = &mut self.nodes[index].limiter;
            return limiter.set_slots(1, now + lease_left, now);
        }
        if self.store_down_until > self.now || self.nodes[index].leaving {
            return;
        }
        let held = self.nodes[index].slot.filter(|slot| {
            let slot = &self.slots[*slot];
            slot.holder == Some(run) && slot.until > self.now
        });
        let free = || self.slots.iter().position(|slot| slot.until <= self.now);
        let Some(number) = held.or_else(free) else {
            self.nodes[index].slot = None;
            return;
        };
        let slot = &mut self.slots[number];
        slot.holder = Some(run);
        slot.until = self.now + LEASE;
        let left = std::mem::take(&mut slot.left);
        let node = &mut self.nodes[index];
        node.slot = Some(number);
        node.limiter.set_slots(1, now + lease_left, now);
        node.limiter.add_handed_over_tokens(&left, now);
    }

    /// Sends what a node wants to send, over a network that loses, delays and
    /// doubles.
    fn collect(&mut self, index: usize) {
        let from = self.nodes[index].origin;
        let verdicts = self.nodes[index].limiter.take_decisions();
        for (ticket, verdict) in verdicts {
            self.note(ticket, verdict);
        }
        let outgoing = self.nodes[index].limiter.take_outgoing();
        for OutgoingMessage { to, message } in outgoing {
            let fate = self.rng.random_range(0..100);
            let bad = if self.bad_until > self.now { 50 } else { 0 };
            if fate < 5 + bad {
                continue;
            }
            let copies = if fate > 92 { 2 } else { 1 };
            for copy in 0..copies {
                let late = copy == 1 || self.rng.random_range(0..100) < 15;
                let most = if late { 3_000 } else { 25 };
                let delay = Duration::from_millis(self.rng.random_range(0..most));
                self.letters.push(Letter {
                    at: self.now + delay,
                    from,
                    to,
                    message: message.clone(),
                });
            }
        }
    }

    fn deliver(&mut self, letter: Letter) {
        let index = letter.to.0 as usize;
        let node = &mut self.nodes[index];
        if node.paused_until > self.now {
            let at = node.paused_until;
            self.letters.push(Letter { at, ..letter });
            return;
        }
        let now = node.clock(self.now);
        node.limiter.receive(letter.from, letter.message, now);
        self.collect(index);
    }
}

impl Node {
    fn clock(&self, real: Duration) -> MonotonicTime {
        let micros = i128::try_from(real.as_micros()).expect("short run");
        let run = micros + micros * i128::from(self.fast) / 1_000;
        let run = u64::try_from(run).expect("after the start");
        MonotonicTime::ZERO + self.offset + Duration::from_micros(run)
    }
}

fn run_case(case: &Case, greedy: bool) -> World {
    let mut world = World::new(case, greedy);
    case.ops.iter().for_each(|op| world.apply(op));
    world
}

/// Makes the rules' buckets. A bucket on a fast clock fills as much faster;
/// that margin is the clock's, not the limiter's.
fn make_allowed(drift: bool) -> BTreeMap<AccountId, RuleBucket> {
    let faster = if drift { 1.005 } else { 1.0 };
    let allowances = make_allowances().into_iter();
    allowances
        .map(|(account, allowance)| {
            let rate = allowance.rate as f64 * faster;
            (account, RuleBucket::new(rate, allowance.burst))
        })
        .collect()
}

/// Returns the largest excess of any account.
fn find_worst(world: &World, drift: bool) -> u64 {
    let faster = if drift { 1.005 } else { 1.0 };
    let allowances = make_allowances();
    let excesses = world.spent.iter().map(|(account, history)| {
        let allowance = allowances[account];
        find_excess(history, allowance.rate as f64 * faster, allowance.burst)
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
fn spend_within_rule_whatever_happens() {
    let admitted = Cell::new(0);
    make_runner(CASES)
        .run(&draw_case(), |case| {
            let world = run_case(&case, false);
            let count: usize = world.spent.values().map(Vec::len).sum();
            admitted.set(admitted.get() + count);
            prop_assert_eq!(find_worst(&world, case.drift), 0);
            prop_assert!(world.exposed < 1.0, "exposed {}", world.exposed);
            Ok(())
        })
        .expect("no account exceeds its rule");
    let mean = admitted.get() / CASES as usize;
    assert!(mean > 100, "only {mean} requests a case were admitted");
}

#[test]
fn spend_of_wrong_limiter_is_caught() {
    let caught = make_runner(CASES).run(&draw_case(), |case| {
        let world = run_case(&case, true);
        prop_assert_eq!(find_worst(&world, case.drift), 0);
        Ok(())
    });
    assert!(caught.is_err(), "each entry spent the whole rate unseen");
}
