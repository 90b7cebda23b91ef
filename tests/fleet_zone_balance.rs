//! Balance of calls between zones: a model of zones whose capacity and demand are known late.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rstest::rstest;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::fleet::BalanceInput;
use teaseldrum::core::fleet::ServiceBalance;
use teaseldrum::core::fleet::ZoneLoad;

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
