//! Balance of calls between zones: a model of zones whose capacity and demand are known late.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::ServerName;
use teaseldrum::core::WeightsVersion;
use teaseldrum::core::fleet::BackendKey;
use teaseldrum::core::fleet::BalanceInput;
use teaseldrum::core::fleet::Build;
use teaseldrum::core::fleet::BuildFilter;
use teaseldrum::core::fleet::DispatchRequest;
use teaseldrum::core::fleet::Dispatcher;
use teaseldrum::core::fleet::Member;
use teaseldrum::core::fleet::MemberState;
use teaseldrum::core::fleet::ModelName;
use teaseldrum::core::fleet::Prompt;
use teaseldrum::core::fleet::ReportedLoad;
use teaseldrum::core::fleet::ServiceBalance;
use teaseldrum::core::fleet::ZoneLoad;
use teaseldrum::core::fleet::ZoneShare;
use teaseldrum::settings::GatewaySettings;

/// Name, slots and demand on each entry of a zone.
type ZoneSpec = (&'static str, f64, &'static [f64]);

fn zone(name: &'static str, slots: f64, demands: &'static [f64]) -> ZoneSpec {
    (name, slots, demands)
}

const STEP_MS: u64 = 10;
const UPDATE_MS: u64 = 200;
/// Age of the reports that entries see.
const REPORT_AGE_MS: u64 = 300;
const HOLD_S: f64 = 0.1;

#[derive(Debug, Clone)]
struct Zone {
    name: String,
    /// Calls that its servers run at once.
    slots: f64,
    /// Calls a second that each of its entries gets.
    demands: Vec<f64>,
    load: f64,
    entries: Vec<ServiceBalance>,
    due: Vec<f64>,
}

#[derive(Debug)]
struct Model {
    zones: Vec<Zone>,
    reports: VecDeque<BTreeMap<String, ZoneLoad>>,
    now_ms: u64,
    leave_cost_ms: f64,
    /// Calls that left, by zone and target, since the last reset.
    left: BTreeMap<(String, String), u64>,
    shares: Vec<Vec<f64>>,
}

impl Model {
    /// Creates zones from slots and the demand on each entry.
    fn new(zones: &[ZoneSpec]) -> Self {
        let zones = zones.iter().map(|(name, slots, demands)| Zone {
            name: (*name).into(),
            slots: *slots,
            demands: demands.to_vec(),
            load: 0.0,
            entries: demands.iter().map(|_| ServiceBalance::new(name)).collect(),
            due: vec![0.0; demands.len()],
        });
        let zones: Vec<Zone> = zones.collect();
        Self {
            shares: vec![Vec::new(); zones.len()],
            zones,
            reports: VecDeque::new(),
            now_ms: 0,
            leave_cost_ms: 2.0,
            left: BTreeMap::new(),
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let report = self.zones.iter().map(|zone| {
            let load = ZoneLoad {
                capacity: zone.slots,
                demand: zone.demands.iter().sum::<f64>() * HOLD_S,
            };
            (zone.name.clone(), load)
        });
        self.reports.push_back(report.collect());
        if self.reports.len() as u64 > REPORT_AGE_MS / STEP_MS {
            self.reports.pop_front();
        }
        if self.now_ms.is_multiple_of(UPDATE_MS) {
            self.update();
        }
        let mut arrived = vec![0.0; self.zones.len()];
        for index in 0..self.zones.len() {
            let zone = &mut self.zones[index];
            for entry in 0..zone.entries.len() {
                zone.due[entry] += zone.demands[entry] * STEP_MS as f64 / 1_000.0;
                while zone.due[entry] >= 1.0 {
                    zone.due[entry] -= 1.0;
                    let target = zone.entries[entry].choose_zone();
                    let target = target.unwrap_or_else(|| zone.name.clone());
                    if target != zone.name {
                        let key = (zone.name.clone(), target.clone());
                        *self.left.entry(key).or_default() += 1;
                    }
                    let names = ["a", "b", "c", "d"];
                    let to = names.iter().position(|name| *name == target);
                    arrived[to.expect("a zone of the model")] += 1.0;
                }
            }
        }
        for (zone, arrived) in self.zones.iter_mut().zip(arrived) {
            let served = zone.load.min(zone.slots) / HOLD_S * STEP_MS as f64 / 1_000.0;
            zone.load = (zone.load + arrived - served).max(0.0);
        }
    }

    fn update(&mut self) {
        let input = BalanceInput {
            zones: self.reports[0].clone(),
            slot_hold_ms: HOLD_S * 1_000.0,
            leave_cost_ms: self.leave_cost_ms,
        };
        let now = MonotonicTime::from_micros(self.now_ms * 1_000);
        for (zone, shares) in self.zones.iter_mut().zip(&mut self.shares) {
            for entry in &mut zone.entries {
                entry.update(&input, now);
            }
            shares.push(zone.entries[0].share());
            let first = zone.entries[0].share();
            assert!(
                zone.entries.iter().all(|entry| entry.share() == first),
                "entries of one zone differ"
            );
        }
        for (index, zone) in self.zones.iter().enumerate() {
            for other in &self.zones[index + 1..] {
                let sends = |from: &Zone, to: &Zone| {
                    let entry = &from.entries[0];
                    entry.share() > 0.0 && entry.targets().contains_key(&to.name)
                };
                assert!(
                    !(sends(zone, other) && sends(other, zone)),
                    "{} and {} send to each other at {}",
                    zone.name,
                    other.name,
                    self.now_ms
                );
            }
        }
    }

    /// Largest difference of a zone's share since `from` updates ago.
    fn swing(&self, zone: usize, from: usize) -> f64 {
        let shares = self.shares[zone].iter().rev().take(from);
        let (min, max) = shares.fold((1.0_f64, 0.0_f64), |(min, max), share| {
            (min.min(*share), max.max(*share))
        });
        max - min
    }

    fn count_left(&self, from: &str) -> u64 {
        let left = self.left.iter().filter(|((zone, _), _)| zone == from);
        left.map(|(_, count)| count).sum()
    }
}

/// With room everywhere, nothing leaves.
#[test]
fn update_zones_with_room_keep_calls() {
    let mut model = Model::new(&[("a", 100.0, &[350.0, 350.0]), ("b", 100.0, &[100.0])]);
    model.run(20);
    assert_eq!(model.left, BTreeMap::new());
}

/// Guards against a full zone that keeps its calls, or whose share swings with the age of
/// the reports.
#[rstest]
#[case::own_zone_full([zone("a", 20.0, &[120.0, 130.0]), zone("b", 60.0, &[200.0]), zone("c", 60.0, &[100.0])])]
#[case::hot_zone([zone("a", 20.0, &[500.0]), zone("b", 60.0, &[100.0]), zone("c", 60.0, &[100.0])])]
#[case::small_zone_with_two_servers([zone("a", 2.0, &[40.0]), zone("b", 60.0, &[100.0]), zone("c", 60.0, &[100.0])])]
#[case::uneven_entries([zone("a", 20.0, &[10.0, 240.0]), zone("b", 60.0, &[200.0]), zone("c", 60.0, &[100.0])])]
fn update_zone_full_sends_steady_share(#[case] zones: [ZoneSpec; 3]) {
    let mut model = Model::new(&zones);
    model.run(30);
    model.left.clear();
    model.run(10);
    let zone = &model.zones[0];
    assert!(zone.load < zone.slots * 1.2, "load {}", zone.load);
    assert!(model.swing(0, 50) < 0.15, "{:?}", model.shares[0]);
    // No more leaves than what is beyond the lower utilization.
    let demand: f64 = zone.demands.iter().sum();
    let kept = demand * 10.0 - model.count_left("a") as f64;
    assert!(kept > 0.7 * zone.slots / HOLD_S * 10.0, "kept {kept}");
    let changes = model.shares[0].windows(2);
    let largest = changes.map(|pair| (pair[1] - pair[0]).abs());
    assert!(largest.fold(0.0, f64::max) <= 0.11, "not smooth");
    // The zone with more room gets more.
    let to = |zone: &str| model.left.get(&("a".into(), zone.into())).copied();
    assert!(to("c") >= to("b"), "{:?}", model.left);
}

/// Guards against calls that wait for servers of a lost zone, and against a share that
/// stays when they return.
#[test]
fn update_zone_lost_leaves_at_once_and_returns() {
    let mut model = Model::new(&[("a", 20.0, &[100.0]), ("b", 60.0, &[100.0])]);
    model.run(5);
    model.zones[0].slots = 0.0;
    model.run(1);
    assert_eq!(model.shares[0].last(), Some(&1.0));
    model.zones[0].slots = 20.0;
    model.zones[0].load = 0.0;
    model.run(20);
    assert_eq!(model.shares[0].last(), Some(&0.0));
}

/// Two full zones gain nothing from each other.
#[test]
fn update_all_zones_full_keep_calls() {
    let mut model = Model::new(&[("a", 20.0, &[230.0]), ("b", 20.0, &[240.0])]);
    model.run(20);
    assert_eq!(model.left, BTreeMap::new());
}

/// Demand that moves from one zone to another while the first share still falls must not
/// lead to calls in both directions, which the model checks at each update.
#[test]
fn update_demand_moves_between_zones() {
    let mut model = Model::new(&[("a", 20.0, &[300.0]), ("b", 30.0, &[50.0])]);
    for _ in 0..6 {
        model.run(7);
        let (a, b) = (model.zones[0].demands[0], model.zones[1].demands[0]);
        model.zones[0].demands[0] = b;
        model.zones[1].demands[0] = a;
    }
    assert!(model.count_left("a") > 0 && model.count_left("b") > 0);
}

/// Nothing leaves if the bytes cost more than the wait.
#[test]
fn update_expensive_bytes_keep_calls() {
    let mut model = Model::new(&[("a", 20.0, &[210.0]), ("b", 60.0, &[50.0])]);
    model.leave_cost_ms = 1e9;
    model.run(5);
    assert_eq!(model.left, BTreeMap::new());
}

/// Figures that are none, and zones without a name, must not lead to a share or a zone
/// that is none.
#[rstest]
#[case::not_a_number(f64::NAN, 1.0)]
#[case::infinite(f64::INFINITY, 1.0)]
#[case::negative(-5.0, 1.0)]
#[case::demand_not_a_number(10.0, f64::NAN)]
fn update_invalid_zone_gets_nothing(#[case] capacity: f64, #[case] demand: f64) {
    let mut balance = ServiceBalance::new("a");
    let own = ZoneLoad {
        capacity: 10.0,
        demand: 20.0,
    };
    let invalid = ZoneLoad { capacity, demand };
    let unnamed = ZoneLoad {
        capacity: 50.0,
        demand: 0.0,
    };
    let input = BalanceInput {
        zones: [("a", own), ("b", invalid), ("", unnamed)]
            .map(|(zone, load)| (zone.to_owned(), load))
            .into(),
        slot_hold_ms: 100.0,
        leave_cost_ms: 2.0,
    };
    for second in 0..5 {
        balance.update(&input, MonotonicTime::from_micros(second * 1_000_000));
        assert_eq!((balance.share(), balance.choose_zone()), (0.0, None));
    }
}

/// Guards against a zone that sends everything away because its own figures are invalid.
#[rstest]
#[case::not_a_number(f64::NAN)]
#[case::infinite(f64::INFINITY)]
#[case::negative(-1.0)]
fn update_own_demand_invalid_keeps_calls(#[case] demand: f64) {
    let mut balance = ServiceBalance::new("a");
    let load = |capacity, demand| ZoneLoad { capacity, demand };
    let zones = [("a", load(10.0, demand)), ("b", load(50.0, 0.0))];
    let input = BalanceInput {
        zones: zones.map(|(zone, load)| (zone.to_owned(), load)).into(),
        slot_hold_ms: 100.0,
        leave_cost_ms: 2.0,
    };
    for second in 0..5 {
        balance.update(&input, MonotonicTime::from_micros(second * 1_000_000));
        assert_eq!((balance.share(), balance.choose_zone()), (0.0, None));
    }
}

/// A zone whose servers have moved to another one counts as lost at once.
#[test]
fn update_zone_of_servers_changes() {
    let mut balance = ServiceBalance::new("a");
    let mut input = BalanceInput {
        zones: BTreeMap::from([(
            "a".to_owned(),
            ZoneLoad {
                capacity: 10.0,
                demand: 1.0,
            },
        )]),
        slot_hold_ms: 100.0,
        leave_cost_ms: 2.0,
    };
    balance.update(&input, MonotonicTime::from_micros(1));
    assert_eq!(balance.choose_zone(), None);
    let moved = input.zones.remove("a").expect("present");
    input.zones.insert("b".to_owned(), moved);
    balance.update(&input, MonotonicTime::from_micros(2));
    assert_eq!(balance.choose_zone().as_deref(), Some("b"));
}

/// Milliseconds between two maintenance runs.
const TICK_MS: u64 = 500;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

fn server(number: u8, zone: &str, slots: u32, is_engine: bool) -> Member {
    Member {
        name: ServerName::from(format!("s-{number}").as_str()),
        service: "s".into(),
        address: SocketAddr::from(([10, 0, 0, number], 8_000)),
        zone: zone.into(),
        slots,
        state: MemberState::Ready,
        models: if is_engine {
            vec![(ModelName::from("m"), WeightsVersion(1))]
        } else {
            Vec::new()
        },
        started_at_ms: Some(1),
        build: Build::from("v1"),
    }
}

fn request<'a>(prompt: Option<&'a Prompt>, body_bytes: Option<u64>) -> DispatchRequest<'a> {
    DispatchRequest {
        service: "s",
        prompt,
        account: None,
        was_isolated: false,
        tried: &[],
        build: None,
        builds: BuildFilter::Any,
        body_bytes,
        time_left: Duration::from_secs(60),
    }
}

fn prompt() -> Prompt {
    Prompt {
        model: ModelName::from("m"),
        parts: Vec::new(),
        prompt_tokens: 12_000,
        max_output_tokens: 400,
        expected_output_tokens: 300,
    }
}

fn report(dispatcher: &mut Dispatcher, key: BackendKey, calls: u32, now: MonotonicTime) {
    let load = ReportedLoad {
        running: calls,
        ..ReportedLoad::default()
    };
    dispatcher.observe_load(key, load, now);
}

/// Dispatcher in zone `a` with one plain server in each zone, given by zone, slots and calls,
/// after `ticks` maintenance runs. Returns the last shares as well.
fn dispatcher_after(
    servers: &[(&str, u32, u32)],
    cost_ms_per_mb: f64,
    ticks: u64,
) -> (Dispatcher, Vec<ZoneShare>) {
    let mut dispatcher = Dispatcher::new("a");
    dispatcher.set_zone_cost(cost_ms_per_mb);
    let mut shares = Vec::new();
    for tick in 0..=ticks {
        for (number, (zone, slots, calls)) in (0..).zip(servers) {
            let key = dispatcher.upsert_member(server(number, zone, *slots, false));
            report(&mut dispatcher, key, *calls, at(tick * TICK_MS));
        }
        shares = dispatcher.refresh_zones(at(tick * TICK_MS));
    }
    (dispatcher, shares)
}

/// Guards against calls that go elsewhere than without the balance, although traffic costs
/// nothing and the own servers have room or there are none. In half of the cases, the
/// own zone was full before.
#[test]
fn choose_own_zone_with_room_is_unchanged() {
    for seed in 0..2_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let is_engine = rng.random_bool(0.5);
        let mut with_balance = Dispatcher::new("a");
        let mut without = Dispatcher::new("a");
        let own_count = rng.random_range(0..4_u8);
        let mut slots = Vec::new();
        let mut keys = Vec::new();
        for number in 0..own_count + rng.random_range(1..6) {
            let zone = if number < own_count {
                "a"
            } else {
                ["b", "c", ""][rng.random_range(0..3)]
            };
            slots.push(rng.random_range(1..64));
            let member = server(number, zone, slots[usize::from(number)], is_engine);
            let key = with_balance.upsert_member(member.clone());
            keys.push((key, without.upsert_member(member)));
        }
        let was_full = rng.random_bool(0.5);
        let steps = rng.random_range(2..8);
        for step in 0..steps {
            let now = at(step * TICK_MS);
            for (number, (key, other_key)) in keys.iter().enumerate() {
                let most = if number >= usize::from(own_count) {
                    slots[number] * 2
                } else if was_full && step + 1 < steps {
                    slots[number] * 5
                } else {
                    slots[number] * 8 / 10
                };
                let calls = rng.random_range(0..=most);
                report(&mut with_balance, *key, calls, now);
                report(&mut without, *other_key, calls, now);
            }
            with_balance.refresh_zones(now);
        }
        let now = at((steps - 1) * TICK_MS);
        let prompt = is_engine.then(prompt);
        for _ in 0..4 {
            let req = request(prompt.as_ref(), Some(50_000));
            let (chosen, expected) = (with_balance.choose(&req, now), without.choose(&req, now));
            assert_eq!(chosen, expected, "seed {seed}");
            let chosen = chosen.expect("a server accepts calls");
            // Counts the call, which the other dispatcher sees no more of than its load.
            with_balance.begin_call(&chosen, prompt.as_ref(), now);
            with_balance.end_prefill(&chosen);
            with_balance.end_call(&chosen);
        }
    }
}

/// Guards against calls that leave for less than they cost, also if the balance wants them
/// to leave, and against calls that stay at any price.
#[rstest]
#[case::free(0.0)]
#[case::cheap(50.0)]
#[case::expensive(400.0)]
#[case::most_expensive(10_000.0)]
fn choose_own_zone_slower_than_cost_leaves(#[case] cost_ms: f64) {
    const SLOTS: u32 = 4;
    let mut left_at = None;
    for calls in 0..800 {
        let servers = [("a", SLOTS, calls), ("b", SLOTS, 0)];
        let (mut dispatcher, _) = dispatcher_after(&servers, cost_ms, 5);
        let now = at(5 * TICK_MS);
        let slots = f64::from(SLOTS);
        let load = f64::from(calls);
        // Slots are held for 70 ms, and a quarter of that spreads calls.
        let slower_ms = (load + 1.0 - slots).max(0.0) / slots * 70.0 + load / slots * 17.5;
        // Enough calls for one that is to leave.
        for _ in 0..8 {
            let choice = dispatcher
                .choose(&request(None, Some(1_000_000)), now)
                .expect("a server accepts calls");
            dispatcher.begin_call(&choice, None, now);
            dispatcher.end_call(&choice);
            if choice.name == ServerName::from("s-1") {
                assert!(slower_ms >= cost_ms, "left for {slower_ms} ms");
                left_at.get_or_insert(calls);
            } else {
                assert!(slower_ms <= cost_ms + 2.0, "stays for {slower_ms} ms");
            }
        }
    }
    assert!(left_at.is_some());
}

/// Guards against a share that is not applied to calls of which own and other servers
/// cost nearly the same, or that choices which are not sent count for.
#[test]
fn choose_own_zone_full_share_leaves() {
    // Of 90 calls, 5 are beyond 0.85 of the slots.
    let servers = [("a", 100, 90), ("b", 1_000, 790)];
    let (mut dispatcher, shares) = dispatcher_after(&servers, 0.0, 4);
    let share = shares[0].share;
    assert!((share - 5.0 / 90.0).abs() < 1e-9, "share {share}");
    let now = at(4 * TICK_MS);
    let mut left = 0;
    for _ in 0..180 {
        let req = request(None, None);
        let choice = dispatcher.choose(&req, now).expect("a server");
        assert_eq!(dispatcher.choose(&req, now).as_ref(), Ok(&choice));
        left += u64::from(choice.name == ServerName::from("s-1"));
        dispatcher.begin_call(&choice, None, now);
        dispatcher.end_call(&choice);
    }
    assert!((9..=10).contains(&left), "{left} left");
    assert_eq!(dispatcher.refresh_zones(now)[0].left, left);
}

/// Guards against log lines for a share that stays, and a share that begins or ends unseen.
#[test]
fn refresh_zones_logs_changes_once() {
    let mut dispatcher = Dispatcher::new("a");
    let mut logged = Vec::new();
    for tick in 0..40 {
        let now = at(tick * TICK_MS);
        let calls = if (10..20).contains(&tick) { 20 } else { 1 };
        for (number, zone, slots, calls) in [(0, "a", 10, calls), (1, "b", 100, 0)] {
            let key = dispatcher.upsert_member(server(number, zone, slots, false));
            report(&mut dispatcher, key, calls, now);
        }
        let shares = dispatcher.refresh_zones(now);
        if let Some(before) = shares[0].logged {
            logged.push((tick, before, shares[0].share));
        }
    }
    let (first, last) = (logged[0], logged[logged.len() - 1]);
    assert_eq!((first.0, first.1), (10, 0.0));
    assert!(last.0 > 20 && last.2 == 0.0, "{logged:?}");
    assert!((2..=6).contains(&logged.len()), "{logged:?}");
}

/// Guards against servers that count for the zone they were in before.
#[test]
fn refresh_zones_server_changes_zone() {
    let (mut dispatcher, shares) = dispatcher_after(&[("a", 10, 1)], 100.0, 1);
    assert_eq!(shares[0].share, 0.0);
    dispatcher.upsert_member(server(0, "b", 10, false));
    let now = at(2 * TICK_MS);
    assert_eq!(dispatcher.refresh_zones(now)[0].share, 1.0);
    let choice = dispatcher.choose(&request(None, Some(1_000_000)), now);
    let choice = choice.expect("the server accepts calls");
    dispatcher.begin_call(&choice, None, now);
    assert_eq!(dispatcher.refresh_zones(now)[0].left, 1);
}

/// Nothing is sent on purpose to servers whose zone is unknown.
#[test]
fn refresh_zones_unnamed_zone_gets_no_share() {
    let (_, shares) = dispatcher_after(&[("a", 10, 40), ("", 100, 0)], 0.0, 5);
    assert_eq!(shares[0].share, 0.0);
}

/// The bytes of the answer count besides the body, and those of the prompt's tokens if the
/// body is unknown.
#[rstest]
#[case::body(Some(70_000), 70_000 + 300 * 4)]
#[case::tokens(None, 12_000 * 4 + 300 * 4)]
fn choose_call_moves_bytes(#[case] body_bytes: Option<u64>, #[case] expected: u64) {
    let mut dispatcher = Dispatcher::new("a");
    dispatcher.upsert_member(server(0, "a", 10, true));
    let prompt = prompt();
    let choice = dispatcher.choose(&request(Some(&prompt), body_bytes), at(0));
    assert_eq!(choice.map(|choice| choice.moved_bytes), Ok(expected));
}

/// Guards against a cost that makes the choice meaningless.
#[rstest]
#[case::left_out(json!({}), Some(0.0))]
#[case::least(json!({"cost_ms_per_mb": 0}), Some(0.0))]
#[case::most(json!({"cost_ms_per_mb": 10_000}), Some(10_000.0))]
#[case::negative(json!({"cost_ms_per_mb": -0.1}), None)]
#[case::absurd(json!({"cost_ms_per_mb": 10_000.1}), None)]
#[case::no_number(json!({"cost_ms_per_mb": null}), None)]
#[case::text(json!({"cost_ms_per_mb": "2"}), None)]
fn parse_zone_cost(#[case] zones: Value, #[case] expected: Option<f64>) {
    let settings = GatewaySettings::parse(&json!({
        "name": "g", "zone": "a", "agent_port": 1, "store": "127.0.0.1:1",
        "listen": {"traffic": "127.0.0.1:0", "health": "127.0.0.1:0", "peers": "127.0.0.1:0"},
        "zones": zones,
    }));
    let cost = settings.ok().map(|settings| settings.zones.cost_ms_per_mb);
    assert_eq!(cost, expected);
}

/// Prints what an update costs at the target size, for docs/CAPACITY.md.
#[test]
fn print_cost_at_target_size() {
    let mut dispatcher = Dispatcher::new("a");
    for number in 0..2_000_u32 {
        let zone = char::from(b'a' + (number % 16) as u8).to_string();
        let mut listed = server(0, &zone, 64, false);
        listed.name = ServerName::from(format!("s-{number}").as_str());
        listed.address = SocketAddr::from((number.to_be_bytes(), 8_000));
        let key = dispatcher.upsert_member(listed);
        report(&mut dispatcher, key, 60, at(0));
    }
    let mut times: Vec<Duration> = (0..41)
        .map(|tick| {
            let started = std::time::Instant::now();
            std::hint::black_box(dispatcher.refresh_zones(at(tick * TICK_MS)));
            started.elapsed()
        })
        .collect();
    times.sort();
    println!("update {:?}", times[20]);
}
