//! Relays between availability zones: random histories of kills, freezes, partitions and
//! lost messages. A checker looks at what entries know of each other and at what they
//! admit together.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;
use teaseldrum::core::AccountName;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::fleet::AccountRule;
use teaseldrum::core::fleet::AliveRun;
use teaseldrum::core::fleet::Exchange;
use teaseldrum::core::fleet::ExchangePlan;
use teaseldrum::core::fleet::FleetQuota;
use teaseldrum::core::fleet::HeardEntry;
use teaseldrum::core::fleet::MAX_DIRECT_ENTRIES;
use teaseldrum::core::fleet::MAX_RELAYED_ENTRIES;
use teaseldrum::core::fleet::PeerUsage;
use teaseldrum::core::fleet::QuarantineNews;
use teaseldrum::core::fleet::RelayLink;
use teaseldrum::core::fleet::RelayedOutcome;
use teaseldrum::core::fleet::RelayedUsage;
use teaseldrum::core::fleet::RunKey;
use teaseldrum::core::fleet::UsageCursor;
use teaseldrum::core::fleet::UsageQuery;
use teaseldrum::core::fleet::ZoneRelays;
use teaseldrum::mesh::FleetNews;

const STEP_MS: u64 = 5;
const PLAN_MS: u64 = 40;
const RECONNECT_MS: u64 = 400;
const TIMEOUT_MS: u64 = 800;
const RATE: u64 = 100_000;
const WINDOW_MS: u64 = 8_000;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 140_000.0;
const CALL_TOKENS: u64 = 3_000;

/// Time within which an entry must know what each entry has admitted that it could reach
/// all the time.
const MAX_LAG_MS: u64 = 1_000;

fn account() -> AccountName {
    AccountName::from("guild")
}

fn rule() -> AccountRule {
    AccountRule {
        name: account(),
        keys: Vec::new(),
        priority: None,
        rate: Some(RATE),
        burst: RATE,
        counts_tokens: true,
        tokens_per_plain_call: 200,
        is_isolated: false,
    }
}

/// What happens to the fleet, in whole periods of [`Fleet::run`].
#[derive(Debug, Clone)]
enum Fault {
    /// The relay of a zone is killed, and started again after a while.
    KillRelay { zone: usize, ms: u64 },
    /// The relay of a zone stands still.
    FreezeRelay { zone: usize, ms: u64 },
    /// Nothing passes between two zones.
    CutZones { zones: (usize, usize), ms: u64 },
    /// The relay of a zone is cut off from all other entries.
    IsolateRelay { zone: usize, ms: u64 },
    /// The relay of a zone reaches its own zone only.
    CutRelayFromZones { zone: usize, ms: u64 },
    /// Each message is lost with this probability, in percent.
    LoseMessages { percent: u8, ms: u64 },
    /// The relay of a zone says that it is about to stop.
    StopRelay { zone: usize },
    /// Nothing, for a while.
    Quiet { ms: u64 },
}

/// Mistakes that the checker must notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mistake {
    None,
    /// Entries that were reached through relays are never exchanged with directly again.
    NoFallback,
    /// Relays pass on what they hear as if it were new.
    NoAges,
    /// Relays pass on that entries run, but not what they have admitted.
    NoUsage,
}

struct Node {
    zone: String,
    incarnation: u64,
    quota: FleetQuota,
    relays: ZoneRelays,
    plan: ExchangePlan,
    is_alive: bool,
    is_leaving: bool,
    frozen_until: u64,
    /// Admissions of this run: the number of calls at each time.
    admitted: Vec<(u64, u64)>,
    started_at: u64,
    /// When another entry could last hear this one.
    reachable_at: u64,
}

/// Connection that one entry has opened to another.
#[derive(Default)]
struct Connection {
    client: RelayLink,
    server: RelayLink,
    client_wants_all: bool,
    query: UsageQuery,
    is_open: bool,
    due_at: u64,
    contact_at: Option<u64>,
}

struct Fleet {
    nodes: Vec<Node>,
    connections: HashMap<(usize, usize), Connection>,
    now_ms: u64,
    cut_zones: Vec<(usize, usize, u64)>,
    isolated: Vec<(usize, u64)>,
    cut_off: Vec<(usize, u64)>,
    loss: (u8, u64),
    /// When messages between two entries last could not pass, or one of them did not run.
    disturbed_at: HashMap<(usize, usize), u64>,
    /// Time in milliseconds and tokens of each admitted call.
    admitted: Vec<(u64, u64)>,
    mistake: Mistake,
    was_relayed: HashSet<(usize, usize)>,
    random: u64,
    crossings: u64,
    violations: Vec<String>,
}

fn name(node: usize) -> String {
    format!("e{node}")
}

impl Fleet {
    fn new(zones: usize, per_zone: usize, mistake: Mistake) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            connections: HashMap::new(),
            now_ms: 1_000,
            cut_zones: Vec::new(),
            isolated: Vec::new(),
            cut_off: Vec::new(),
            loss: (0, 0),
            disturbed_at: HashMap::new(),
            admitted: Vec::new(),
            mistake,
            was_relayed: HashSet::new(),
            random: 1,
            crossings: 0,
            violations: Vec::new(),
        };
        for node in 0..zones * per_zone {
            let started = fleet.start_node(node, &format!("z{}", node / per_zone));
            fleet.nodes.push(started);
        }
        fleet
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::from_micros(self.now_ms * 1_000)
    }

    fn start_node(&self, node: usize, zone: &str) -> Node {
        let mut quota = FleetQuota::new(OVERAGE, SLACK);
        quota.set_accounts(&[rule()], self.now());
        Node {
            zone: zone.into(),
            incarnation: self.now_ms * 1_000 + node as u64,
            quota,
            relays: ZoneRelays::new(&name(node), zone),
            plan: ExchangePlan::default(),
            is_alive: true,
            is_leaving: false,
            frozen_until: 0,
            admitted: Vec::new(),
            started_at: self.now_ms,
            reachable_at: self.now_ms,
        }
    }

    fn next_random(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.random >> 33
    }

    fn runs(&self, node: usize) -> bool {
        self.nodes[node].is_alive && self.nodes[node].frozen_until <= self.now_ms
    }

    fn zone_index(&self, node: usize) -> usize {
        self.nodes[node].zone[1..].parse().expect("zone number")
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let zones = (self.zone_index(a), self.zone_index(b));
        let now = self.now_ms;
        self.cut_zones
            .iter()
            .any(|(x, y, until)| *until > now && (zones == (*x, *y) || zones == (*y, *x)))
            || self
                .isolated
                .iter()
                .any(|(node, until)| *until > now && (*node == a || *node == b))
            || self.cut_off.iter().any(|(node, until)| {
                *until > now && zones.0 != zones.1 && (*node == a || *node == b)
            })
    }

    /// Returns the relay of a zone that most of its entries have chosen.
    fn find_relay(&self, zone: usize) -> Option<usize> {
        let zone = format!("z{zone}");
        let nodes = self.nodes.iter().enumerate();
        let mut chosen = nodes
            .filter(|(node, state)| state.zone == zone && self.runs(*node))
            .filter_map(|(_, state)| state.plan.relays.get(&zone));
        chosen.next().and_then(|relay| relay[1..].parse().ok())
    }

    fn wants_exchange(&mut self, from: usize, to: usize) -> Option<u64> {
        let plan = self.nodes[from].plan.find(&name(to));
        if plan == Exchange::ThroughRelays {
            self.was_relayed.insert((from, to));
            return None;
        }
        if self.mistake == Mistake::NoFallback
            && plan == Exchange::Direct
            && self.was_relayed.contains(&(from, to))
        {
            return None;
        }
        let fleet_interval = 75.max(self.nodes.len() as u64 * 5);
        Some(match plan {
            Exchange::Every(interval) => interval.as_millis() as u64,
            _ => fleet_interval,
        })
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now = self.now();
        for node in 0..self.nodes.len() {
            if self.runs(node) && (self.now_ms + node as u64 * STEP_MS).is_multiple_of(PLAN_MS) {
                let state = &mut self.nodes[node];
                if state.is_leaving {
                    state.relays.record_stop();
                }
                state.plan = state.relays.plan(now);
            }
        }
        for node in 0..self.nodes.len() {
            let is_isolated =
                |(isolated, until): &(usize, u64)| *isolated == node && *until > self.now_ms;
            if self.runs(node) && !self.isolated.iter().any(is_isolated) {
                self.nodes[node].reachable_at = self.now_ms;
            }
        }
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if from != to {
                    self.record_disturbance(from, to);
                    self.exchange_if_due(from, to);
                }
            }
        }
        self.admit_calls();
        if self.now_ms.is_multiple_of(100) {
            self.check_knowledge();
            self.check_silence();
        }
    }

    fn record_disturbance(&mut self, a: usize, b: usize) {
        let is_lossy = self.loss.1 > self.now_ms;
        if is_lossy || self.is_cut(a, b) || !self.runs(a) || !self.runs(b) {
            self.disturbed_at.insert((a, b), self.now_ms);
        }
    }

    fn exchange_if_due(&mut self, from: usize, to: usize) {
        if !self.runs(from) {
            return;
        }
        let Some(interval) = self.wants_exchange(from, to) else {
            let closed = self.connections.get_mut(&(from, to));
            if let Some(connection) = closed.filter(|connection| connection.is_open) {
                // Closing the connection ends the contact at once.
                *connection = Connection::default();
            }
            return;
        };
        if from > to {
            // The other side starts; this one only if it hears nothing.
            let reverse = self.connections.get(&(to, from));
            let max_age = 75.max(self.nodes.len() as u64 * 5) * 2 + 400;
            let contact_at = reverse.and_then(|reverse| reverse.contact_at);
            if contact_at.is_some_and(|at| self.now_ms < at + max_age) {
                return;
            }
        }
        let now_ms = self.now_ms;
        let connection = self.connections.entry((from, to)).or_default();
        if connection.due_at > now_ms {
            return;
        }
        connection.is_open = true;
        connection.due_at = now_ms + interval;
        self.exchange(from, to);
    }

    fn fail(&mut self, from: usize, to: usize, delay_ms: u64) {
        let next = Connection {
            due_at: self.now_ms + delay_ms,
            ..Connection::default()
        };
        self.connections.insert((from, to), next);
    }

    fn is_lost(&mut self) -> bool {
        let percent = u64::from(self.loss.0);
        self.loss.1 > self.now_ms && self.next_random() % 100 < percent
    }

    fn exchange(&mut self, from: usize, to: usize) {
        if !self.nodes[to].is_alive && !self.is_cut(from, to) {
            // The host refuses connections.
            self.nodes[from].quota.mark_peer_stopped(&name(to));
            self.nodes[from].relays.record_stopped_entry(&name(to));
            return self.fail(from, to, RECONNECT_MS);
        }
        let is_lost = self.is_cut(from, to) || !self.runs(to) || self.is_lost();
        if !is_lost && self.nodes[from].zone != self.nodes[to].zone {
            self.crossings += 1;
        }
        let mut connection = self.connections.remove(&(from, to)).unwrap_or_default();
        let wants_all = connection.client_wants_all;
        let query = connection.query;
        let sent = self.build(from, to, &mut connection.client, query);
        let reply_query = self.nodes[from].quota.build_query(&name(to), self.now());
        if is_lost {
            return self.fail(from, to, TIMEOUT_MS + RECONNECT_MS);
        }
        let (usage, relayed) = sent;
        let server_wants_all = self.apply(to, from, &usage, &relayed);
        connection.server.record_received(wants_all);
        connection.contact_at = Some(self.now_ms);
        let asks = self.nodes[to].quota.build_query(&name(from), self.now());
        let (usage, relayed) = self.build(to, from, &mut connection.server, reply_query);
        if self.is_lost() {
            return self.fail(from, to, TIMEOUT_MS + RECONNECT_MS);
        }
        connection.query = asks;
        connection.client_wants_all = self.apply(from, to, &usage, &relayed);
        connection.client.record_received(server_wants_all);
        self.connections.insert((from, to), connection);
    }

    fn build(
        &mut self,
        node: usize,
        peer: usize,
        link: &mut RelayLink,
        query: UsageQuery,
    ) -> (PeerUsage, Vec<RelayedUsage>) {
        let now = self.now();
        let state = &mut self.nodes[node];
        let usage = state
            .quota
            .build_usage(&name(node), state.incarnation, query, now);
        let mut relayed = RelayedUsage::list(
            &state.relays,
            &state.plan,
            &state.quota,
            link,
            &name(peer),
            now,
        );
        match self.mistake {
            Mistake::NoAges => relayed.iter_mut().for_each(|r| r.age = Duration::ZERO),
            Mistake::NoUsage => relayed.iter_mut().for_each(|r| r.usage.admitted.clear()),
            Mistake::None | Mistake::NoFallback => {}
        }
        (usage, relayed)
    }

    fn apply(
        &mut self,
        node: usize,
        from: usize,
        usage: &PeerUsage,
        relayed: &[RelayedUsage],
    ) -> bool {
        let now = self.now();
        let (zone, is_leaving) = (self.nodes[from].zone.clone(), self.nodes[from].is_leaving);
        let state = &mut self.nodes[node];
        let heard = HeardEntry {
            name: &usage.name,
            incarnation: usage.incarnation,
            is_leaving,
        };
        state.relays.record_direct(heard, Some(&zone), now);
        state.quota.observe_peer_usage(usage, now);
        let mut wants_all = false;
        for relayed in relayed {
            if relayed.usage.name != name(node) {
                let outcome = relayed.apply(&mut state.relays, &mut state.quota, now);
                wants_all |= outcome == RelayedOutcome::UnknownBase;
            }
        }
        wants_all
    }

    fn admit_calls(&mut self) {
        let now = self.now();
        for node in 0..self.nodes.len() {
            let is_due = (self.now_ms / STEP_MS + node as u64 * 3).is_multiple_of(20);
            if !is_due || !self.runs(node) {
                continue;
            }
            let state = &mut self.nodes[node];
            if state.quota.admit(&account(), CALL_TOKENS, now).is_ok() {
                let total = state.admitted.last().map_or(0, |(_, total)| *total);
                state.admitted.push((self.now_ms, total + CALL_TOKENS));
                self.admitted.push((self.now_ms, CALL_TOKENS));
            }
        }
    }

    /// Checks that each entry knows what every other one has admitted [`MAX_LAG_MS`] ago
    /// if both have run and reached each other since.
    fn check_knowledge(&mut self) {
        // An entry whose host died may lead others to wait for a connection, so the time
        // for that is left out as well.
        let calm_ms = MAX_LAG_MS + TIMEOUT_MS + RECONNECT_MS;
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                let key = (a.min(b), a.max(b));
                let disturbed_at = self.disturbed_at.get(&key).copied().unwrap_or(0);
                let since = disturbed_at
                    .max(self.nodes[a].started_at)
                    .max(self.nodes[b].started_at);
                if a == b || self.now_ms < since + calm_ms {
                    continue;
                }
                let (now, before) = (self.now(), self.now_ms - MAX_LAG_MS);
                let admitted = self.nodes[b].admitted.iter();
                let expected = admitted.rev().find(|(at, _)| *at <= before);
                let expected = expected.map_or(0, |(_, total)| *total);
                let known = self.nodes[a].quota.build_relayed_usage(&name(b), None, now);
                let run = self.nodes[b].incarnation;
                let tokens = known.as_ref().map(|(usage, _)| {
                    let tokens = usage.admitted.iter().map(|(_, tokens)| *tokens);
                    (usage.incarnation, tokens.sum::<u64>())
                });
                match tokens {
                    Some((incarnation, tokens)) if incarnation == run && tokens >= expected => {}
                    _ => self.violations.push(format!(
                        "{} at {}: knows {tokens:?} of {}, at least {expected} of run {run}",
                        name(a),
                        self.now_ms,
                        name(b)
                    )),
                }
            }
        }
    }

    /// Checks that an entry counts as silent that none has heard for [`MAX_LAG_MS`]: the
    /// others must charge accounts for it.
    fn check_silence(&mut self) {
        for (a, b) in (0..self.nodes.len()).flat_map(|a| (0..self.nodes.len()).map(move |b| (a, b)))
        {
            let is_silent = self.now_ms >= self.nodes[b].reachable_at + MAX_LAG_MS;
            if a == b || !is_silent || !self.runs(a) {
                continue;
            }
            let quota = &self.nodes[a].quota;
            if quota
                .build_relayed_usage(&name(b), None, self.now())
                .is_some()
            {
                let (a, b) = (name(a), name(b));
                self.violations
                    .push(format!("{a} at {}: hears {b}", self.now_ms));
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    fn apply_fault(&mut self, fault: &Fault) {
        let now = self.now_ms;
        match *fault {
            Fault::Quiet { ms } => self.run(ms),
            Fault::LoseMessages { percent, ms } => {
                self.loss = (percent, now + ms);
                self.run(ms);
            }
            Fault::CutZones { zones: (a, b), ms } => {
                self.cut_zones.push((a, b, now + ms));
                self.run(ms / 2);
            }
            Fault::KillRelay { zone, ms } => {
                let Some(relay) = self.find_relay(zone) else {
                    return;
                };
                self.nodes[relay].is_alive = false;
                self.connections
                    .retain(|(a, b), _| *a != relay && *b != relay);
                self.run(ms);
                let zone = self.nodes[relay].zone.clone();
                self.nodes[relay] = self.start_node(relay, &zone);
                self.was_relayed.retain(|(a, b)| *a != relay && *b != relay);
            }
            Fault::FreezeRelay { zone, ms } => {
                if let Some(relay) = self.find_relay(zone) {
                    self.nodes[relay].frozen_until = now + ms;
                }
                self.run(ms / 2);
            }
            Fault::IsolateRelay { zone, ms } => {
                if let Some(relay) = self.find_relay(zone) {
                    self.isolated.push((relay, now + ms));
                }
                self.run(ms / 2);
            }
            Fault::CutRelayFromZones { zone, ms } => {
                if let Some(relay) = self.find_relay(zone) {
                    self.cut_off.push((relay, now + ms));
                }
                self.run(ms / 2);
            }
            Fault::StopRelay { zone } => {
                if let Some(relay) = self.find_relay(zone) {
                    self.nodes[relay].is_leaving = true;
                }
                self.run(500);
            }
        }
    }

    /// Returns what is wrong with the history, first of all.
    fn check(&self) -> Result<(), String> {
        if let Some(first) = self.violations.first() {
            return Err(first.clone());
        }
        let nominal = (RATE * WINDOW_MS / 1_000 + RATE) as f64;
        let allowed = (nominal * (1.0 + OVERAGE) + SLACK) as u64;
        let (mut tokens, mut first) = (0, 0);
        for (at, added) in &self.admitted {
            tokens += added;
            while self.admitted[first].0 + WINDOW_MS <= *at {
                tokens -= self.admitted[first].1;
                first += 1;
            }
            if tokens > allowed {
                return Err(format!("{tokens} of {allowed} tokens up to {at}"));
            }
        }
        Ok(())
    }
}

const ZONES: usize = 3;

fn fault() -> impl Strategy<Value = Fault> {
    let (zone, ms) = (0..ZONES, 200..4_000_u64);
    prop_oneof![
        (zone.clone(), ms.clone()).prop_map(|(zone, ms)| Fault::KillRelay { zone, ms }),
        (zone.clone(), ms.clone()).prop_map(|(zone, ms)| Fault::FreezeRelay { zone, ms }),
        (zone.clone(), 1..ZONES, ms.clone()).prop_map(|(zone, other, ms)| Fault::CutZones {
            zones: (zone, (zone + other) % ZONES),
            ms
        }),
        (zone.clone(), ms.clone()).prop_map(|(zone, ms)| Fault::IsolateRelay { zone, ms }),
        (zone.clone(), ms.clone()).prop_map(|(zone, ms)| Fault::CutRelayFromZones { zone, ms }),
        (5..60_u8, ms.clone()).prop_map(|(percent, ms)| Fault::LoseMessages { percent, ms }),
        zone.prop_map(|zone| Fault::StopRelay { zone }),
        ms.prop_map(|ms| Fault::Quiet { ms }),
    ]
}

fn run_history(faults: &[Fault], mistake: Mistake) -> Fleet {
    let mut fleet = Fleet::new(ZONES, 4, mistake);
    fleet.run(6_000);
    for fault in faults {
        fleet.apply_fault(fault);
    }
    fleet.run(6_000);
    fleet
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 20,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[18; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// Guards against entries that admit without knowing of others, or more than the limit,
/// while relays fail in any order.
#[test]
fn random_histories_keep_limits() {
    let histories = prop::collection::vec(fault(), 1..6);
    let result = runner(30).run(&histories, |faults| {
        let fleet = run_history(&faults, Mistake::None);
        fleet.check().map_err(TestCaseError::fail)
    });
    result.expect("each history is valid");
}

/// The checker must reject histories of broken relays.
#[rstest]
#[case::no_fallback(Mistake::NoFallback)]
#[case::no_ages(Mistake::NoAges)]
#[case::no_usage(Mistake::NoUsage)]
fn checker_rejects_history_with(#[case] mistake: Mistake) {
    let histories = prop::collection::vec(fault(), 1..6);
    let result = runner(30).run(&histories, |faults| {
        let fleet = run_history(&faults, mistake);
        fleet.check().map_err(TestCaseError::fail)
    });
    assert!(result.is_err(), "no history was rejected");
}

/// Guards against exchanges of each pair between zones, which made up most of the bytes
/// there.
#[test]
fn exchanges_between_zones_pass_relays() {
    let mut fleet = Fleet::new(4, 6, Mistake::None);
    fleet.run(6_000);
    let before = fleet.crossings;
    fleet.run(4_000);
    let per_s = (fleet.crossings - before) / 4;
    // Six pairs of relays at 25 exchanges a second; without relays 1,880.
    assert!(per_s <= 160, "{per_s}");
    fleet.check().expect("valid history");
}

/// Small fleets and fleets in one zone gain nothing from relays, and in large ones
/// relays fall behind.
#[rstest]
#[case::few_entries(4, MAX_DIRECT_ENTRIES / 4)]
#[case::many_entries(3, MAX_RELAYED_ENTRIES / 3 + 1)]
#[case::one_zone(1, 12)]
fn plan_without_relays(#[case] zones: usize, #[case] per_zone: usize) {
    let mut fleet = Fleet::new(zones, per_zone, Mistake::None);
    fleet.run(4_000);
    for node in &fleet.nodes {
        assert_eq!(node.plan, ExchangePlan::default());
    }
}

/// Guards against an entry of an earlier release, or one whose zone has no name, that is
/// left to relays: it would hear nothing.
#[rstest]
#[case::earlier_release(None)]
#[case::zone_without_name(Some(""))]
fn plan_entry_without_zone_is_direct(#[case] zone: Option<&str>) {
    let mut relays = ZoneRelays::new("e0", "a");
    let now = MonotonicTime::from_micros(1_000_000);
    for node in 1..12 {
        let other = name(node);
        let heard = HeardEntry {
            name: &other,
            incarnation: 1,
            is_leaving: false,
        };
        let zone = if node == 11 {
            zone
        } else {
            Some(["a", "b"][node % 2])
        };
        relays.record_direct(heard, zone, now);
    }
    let plan = relays.plan(now);
    assert_eq!(plan.find("e11"), Exchange::Direct);
    assert_eq!(plan.relays.len(), 2);
}

/// Guards against admissions of a new run that are taken for those of the earlier one:
/// relays may still pass on the earlier run.
#[test]
fn relayed_usage_of_unknown_run_is_not_charged() {
    let now = MonotonicTime::from_micros(10_000_000);
    let mut quota = FleetQuota::new(0.0, 0.0);
    quota.set_accounts(&[rule()], MonotonicTime::ZERO);
    let usage = |incarnation, tokens| PeerUsage {
        name: "e1".into(),
        incarnation,
        sequence: 1,
        base: 0,
        admitted: vec![(account(), tokens)],
        levels: Vec::new(),
    };
    let age = Duration::from_millis(50);
    let outcome = quota.observe_relayed_usage(&usage(1, 5), age, now);
    assert_eq!(outcome, RelayedOutcome::UnknownRun);
    quota.observe_peer_usage(&usage(2, 0), now);
    let outcome = quota.observe_relayed_usage(&usage(1, RATE), age, now);
    assert_eq!(outcome, RelayedOutcome::UnknownRun);
    let outcome = quota.observe_relayed_usage(&usage(2, 5), Duration::from_millis(600), now);
    assert_eq!(outcome, RelayedOutcome::TooOld);
    let known = Some(UsageCursor {
        incarnation: 2,
        sequence: 1,
    });
    let (relayed, _) = quota
        .build_relayed_usage("e1", known, now)
        .expect("heard directly");
    assert_eq!((relayed.base, relayed.admitted), (1, Vec::new()));
}

/// Guards against news that a relay makes look newer than it is, and against each relay
/// repeating what it tells itself.
#[test]
fn news_passed_on_is_older_and_without_repetitions() {
    let run = RunKey(7);
    let age = Duration::from_millis(30);
    let news = FleetNews {
        quarantine: QuarantineNews {
            alive: vec![AliveRun { run, age }],
            ..QuarantineNews::default()
        },
        leaving: vec![run],
        limits: None,
        ..FleetNews::default()
    };
    let passed_on = news.to_passed_on(Duration::from_millis(20));
    assert_eq!(passed_on.leaving, []);
    let age = Duration::from_millis(50);
    assert_eq!(passed_on.quarantine.alive, [AliveRun { run, age }]);
}
