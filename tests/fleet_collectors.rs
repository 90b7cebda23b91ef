//! Collectors of a large fleet: agents that pass the updates of other agents on
//! to the entries of an availability zone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;
use teaseldrum::core::ServerName;
use teaseldrum::core::WeightsVersion;
use teaseldrum::core::fleet::AgentReport;
use teaseldrum::core::fleet::CachedPartChange;
use teaseldrum::core::fleet::CollectedEngines;
use teaseldrum::core::fleet::EngineAgent;
use teaseldrum::core::fleet::MAX_DIRECT_ENGINES;
use teaseldrum::core::fleet::ModelName;
use teaseldrum::core::fleet::PartId;
use teaseldrum::core::fleet::plan_collectors;
use teaseldrum::core::fleet::plan_zone_collectors;

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn engines(count: usize) -> Vec<EngineAgent> {
    (0..count)
        .map(|index| {
            let (zone, host) = (index % ZONES.len(), index / ZONES.len());
            let octets = [10, zone as u8, 0, host as u8];
            EngineAgent {
                name: ServerName::from(format!("i-{index}").as_str()),
                agent: SocketAddr::from((octets, 7_600)),
                zone: ZONES[zone].into(),
            }
        })
        .collect()
}

/// Engines by the collector that follows them.
type Plan = BTreeMap<SocketAddr, Vec<ServerName>>;

fn plan(zone: &str, engines: &[EngineAgent], lost: &[SocketAddr]) -> Plan {
    let is_usable = |agent| !lost.contains(&agent);
    plan_collectors(zone, engines, is_usable)
        .into_iter()
        .collect()
}

fn zone_of(engines: &[EngineAgent], agent: SocketAddr) -> &str {
    let found = engines.iter().find(|engine| engine.agent == agent);
    &found.expect("collectors are agents").zone
}

/// A small fleet follows its agents directly.
#[test]
fn plan_few_engines_without_collectors() {
    assert!(plan("a", &engines(MAX_DIRECT_ENGINES), &[]).is_empty());
}

/// 180 engines in five zones: the entries of each zone follow a few agents of
/// their own zone, each of which follows at most twice the mean of engines.
#[rstest]
#[case::a("a")]
#[case::c("c")]
#[case::e("e")]
fn plan_many_engines_spread_within_zone(#[case] zone: &str) {
    let engines = engines(180);
    let plan = plan(zone, &engines, &[]);
    assert_eq!(plan.len(), 4);
    assert!(plan.keys().all(|agent| zone_of(&engines, *agent) == zone));
    let followed: BTreeSet<&ServerName> = plan.values().flatten().collect();
    assert_eq!(followed.len(), 180);
    assert!(plan.values().all(|names| names.len() <= 90), "{plan:?}");
}

/// The loss of a collector moves its engines to others and few besides.
#[test]
fn plan_collector_lost_moves_few_engines() {
    let engines = engines(180);
    let before = plan("b", &engines, &[]);
    for lost in before.keys() {
        let after = plan("b", &engines, &[*lost]);
        assert!(!after.contains_key(lost));
        let moved_besides: usize = before
            .iter()
            .filter(|(collector, _)| *collector != lost)
            .map(|(collector, names)| {
                let kept = after.get(collector).cloned().unwrap_or_default();
                names.iter().filter(|name| !kept.contains(name)).count()
            })
            .sum();
        assert!(moved_besides <= 90, "{moved_besides} of 180");
    }
}

/// A zone whose agents are all lost uses those of other zones; without any
/// usable agent, the engines are followed directly.
#[test]
fn plan_zone_lost_uses_other_zones() {
    let engines = engines(180);
    let of_zone = |zone: &str| -> Vec<SocketAddr> {
        let members = engines.iter().filter(|engine| engine.zone == zone);
        members.map(|engine| engine.agent).collect()
    };
    let after = plan("d", &engines, &of_zone("d"));
    assert_eq!(after.values().flatten().count(), 180);
    assert!(after.keys().all(|agent| zone_of(&engines, *agent) != "d"));
    let all: Vec<SocketAddr> = engines.iter().map(|engine| engine.agent).collect();
    assert!(plan("d", &engines, &all).is_empty());
}

/// Guards against updates that pass between two zones once for each entry: 45 engines are
/// few enough to be followed directly, but most are in other zones.
#[rstest]
#[case::all_usable(0)]
#[case::collector_lost(1)]
#[case::all_lost(9)]
fn plan_few_engines_of_other_zones_collected_in_own(#[case] lost_count: usize) {
    let engines = engines(45);
    let of_zone = engines.iter().filter(|engine| engine.zone == "b");
    let mut agents: Vec<SocketAddr> = of_zone.map(|engine| engine.agent).collect();
    let whole = plan_zone_collectors("b", &engines, |_| true);
    agents.sort_by_key(|agent| !whole.contains_key(agent));
    let lost = &agents[..lost_count];
    let plan = plan_zone_collectors("b", &engines, |agent| !lost.contains(&agent));
    let followed: BTreeSet<&ServerName> = plan.values().flatten().collect();
    if lost_count == agents.len() {
        assert!(plan.is_empty(), "{plan:?}");
        return;
    }
    assert_eq!(plan.len(), 1);
    assert!(
        plan.keys()
            .all(|agent| !lost.contains(agent) && agents.contains(agent))
    );
    for engine in &engines {
        assert_eq!(followed.contains(&engine.name), engine.zone != "b");
    }
}

fn change(part: u64, tokens: u32) -> CachedPartChange {
    CachedPartChange {
        namespace: 1,
        part: PartId(part),
        tokens,
    }
}

fn report(version: u64) -> AgentReport {
    AgentReport {
        is_accepting: true,
        is_alive: true,
        versions: vec![(ModelName::from("m"), WeightsVersion(version))],
        ..AgentReport::default()
    }
}

/// Load alone is not urgent; a long prompt, a new version and a stop are. Short
/// calls queued behind long ones of other entries while those were not known yet
/// (scale days).
#[test]
fn apply_urgent_when_calls_must_go_elsewhere() {
    let name = ServerName::from("i-1");
    let mut collected = CollectedEngines::default();
    assert!(collected.apply(&name, report(1), &[], true));
    let mut busier = report(1);
    busier.load.running = 30;
    assert!(!collected.apply(&name, busier, &[change(1, 80)], false));
    let with_prefill = |prefill_ms| AgentReport {
        prefill_ms,
        ..report(1)
    };
    assert!(!collected.apply(&name, with_prefill(60), &[], false));
    assert!(collected.apply(&name, with_prefill(400), &[], false));
    assert!(!collected.apply(&name, with_prefill(330), &[], false));
    assert!(collected.apply(&name, report(2), &[], false));
    let stopped = AgentReport {
        is_accepting: false,
        ..report(2)
    };
    assert!(collected.apply(&name, stopped, &[], false));
}

/// A reader gets an update once, and nothing of engines that it does not name.
#[test]
fn read_since_returns_each_update_once() {
    let (first, second) = (ServerName::from("i-1"), ServerName::from("i-2"));
    let mut collected = CollectedEngines::default();
    collected.apply(&first, report(1), &[change(1, 80)], true);
    collected.apply(&second, report(1), &[], true);
    let update = collected.read_since(&first, None).expect("an update");
    assert!(update.is_full_list);
    assert_eq!(update.kv_changes, [change(1, 80)]);
    let known = collected.sequence();
    assert_eq!(collected.read_since(&first, Some(known)), None);
    collected.apply(&first, report(1), &[change(2, 16)], false);
    let update = collected.read_since(&first, Some(known)).expect("a change");
    assert!(!update.is_full_list);
    assert_eq!(update.kv_changes, [change(2, 16)]);
    assert_eq!(collected.read_since(&ServerName::from("i-3"), None), None);
}

/// Step of a random history of one engine.
#[derive(Debug, Clone)]
enum Step {
    /// The agent sends changes; with true, its whole list.
    Update(bool, Vec<(u64, u32)>),
    /// The reader polls.
    Read,
}

fn any_step() -> impl Strategy<Value = Step> {
    let changes = prop::collection::vec((0..12_u64, 0..3_u32), 0..400);
    prop_oneof![
        4 => (prop::bool::weighted(0.1), changes)
            .prop_map(|(is_full, changes)| Step::Update(is_full, changes)),
        2 => Just(Step::Read),
    ]
}

fn apply_changes(
    parts: &mut BTreeMap<u64, u32>,
    changes: impl IntoIterator<Item = (u64, u32)>,
    is_full: bool,
) {
    if is_full {
        parts.clear();
    }
    for (part, tokens) in changes {
        if tokens == 0 {
            parts.remove(&part);
        } else {
            parts.insert(part, tokens);
        }
    }
}

/// Whenever a reader polls, it knows exactly the parts that the engine holds,
/// also after it has fallen behind further than changes are kept.
#[test]
fn read_since_random_history_equals_engine() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let history = prop::collection::vec(any_step(), 1..40);
    let checked = runner.run(&history, |steps| {
        let name = ServerName::from("i-1");
        let mut collected = CollectedEngines::default();
        let mut held = BTreeMap::new();
        let mut known_parts = BTreeMap::new();
        let mut known = None;
        for step in steps {
            match step {
                Step::Update(is_full, changes) => {
                    apply_changes(&mut held, changes.iter().copied(), is_full);
                    let changes: Vec<CachedPartChange> = changes
                        .iter()
                        .map(|(part, tokens)| change(*part, *tokens))
                        .collect();
                    collected.apply(&name, report(1), &changes, is_full);
                }
                Step::Read => {
                    if let Some(update) = collected.read_since(&name, known) {
                        let changes = update.kv_changes.iter();
                        let changes = changes.map(|change| (change.part.0, change.tokens));
                        apply_changes(&mut known_parts, changes, update.is_full_list);
                        known = Some(collected.sequence());
                    }
                    prop_assert_eq!(&known_parts, &held);
                }
            }
        }
        Ok(())
    });
    checked.expect("the reader should know what the engine holds");
}
