//! Load beyond the capacity of engines, without network: entries that hold calls, and a
//! model of engines.

mod model;

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use model::Burst;
use model::Kind;
use model::Model;
use model::Outcome;
use model::Scenario;
use model::at;
use model::ms;
use rstest::rstest;
use slotmap::SlotMap;
use teaseldrum::core::AccountName;
use teaseldrum::core::ServerName;
use teaseldrum::core::WeightsVersion;
use teaseldrum::core::fleet::AdmissionDecision;
use teaseldrum::core::fleet::AdmissionQueue;
use teaseldrum::core::fleet::AdmissionRefusal;
use teaseldrum::core::fleet::AdmissionTicket;
use teaseldrum::core::fleet::AgentReport;
use teaseldrum::core::fleet::BackendKey;
use teaseldrum::core::fleet::Build;
use teaseldrum::core::fleet::BuildFilter;
use teaseldrum::core::fleet::CachedPartChange;
use teaseldrum::core::fleet::Candidates;
use teaseldrum::core::fleet::DispatchRequest;
use teaseldrum::core::fleet::Dispatcher;
use teaseldrum::core::fleet::Member;
use teaseldrum::core::fleet::MemberState;
use teaseldrum::core::fleet::ModelName;
use teaseldrum::core::fleet::OfferedCall;
use teaseldrum::core::fleet::PartId;
use teaseldrum::core::fleet::Prompt;
use teaseldrum::core::fleet::PromptPart;
use teaseldrum::core::fleet::RefusalReason;
use teaseldrum::core::fleet::ServiceDemand;
use teaseldrum::core::fleet::StartEstimate;
use teaseldrum::core::fleet::VersionedSalt;

const DRAFT: usize = 0;
const LABEL: usize = 1;

/// Value of a draft and of a label, on time and late.
const VALUES: [(f64, f64); 2] = [(9.3, 0.37), (0.78, 0.12)];

/// A fleet whose engines are about three quarters busy without any burst.
fn scenario(seed: u64) -> Scenario {
    let draft = Kind {
        priority: 0,
        per_s: 43.9,
        work: 150,
        tokens: 7_000,
        objective: 1_000,
        deadline: 15_000,
    };
    let label = Kind {
        priority: 2,
        per_s: 280.0,
        work: 36,
        tokens: 2_000,
        objective: 2_000,
        deadline: 3_000,
    };
    Scenario {
        seed,
        entries: 24,
        engines: 22,
        accounts: 8,
        kinds: vec![draft, label],
        bursts: Vec::new(),
        silent: (0, 0..0),
        entry_ends: None,
        end: 14_000,
    }
}

fn arrived_in(outcomes: &[Outcome], span: Range<u64>) -> impl Iterator<Item = &Outcome> + Clone {
    outcomes.iter().filter(move |o| span.contains(&o.arrived))
}

/// Returns the part of the calls of a kind that began within their objective.
fn on_time(outcomes: &[Outcome], kind: usize, span: Range<u64>) -> f64 {
    let objective = if kind == DRAFT { 1_000 } else { 2_000 };
    let calls = arrived_in(outcomes, span).filter(|o| o.kind == kind);
    let good = calls
        .clone()
        .filter(|o| o.first.is_some_and(|f| f <= objective));
    good.count() as f64 / calls.count().max(1) as f64
}

fn value<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> f64 {
    let values = outcomes.map(|o| {
        let objective = if o.kind == DRAFT { 1_000 } else { 2_000 };
        let (on_time, late) = VALUES[o.kind];
        match o.first {
            Some(first) if first <= objective => on_time,
            Some(_) => late,
            None => 0.0,
        }
    });
    values.sum()
}

/// Returns the part of the engines' time that calls sent in a span take.
fn busy(scenario: &Scenario, outcomes: &[Outcome], span: Range<u64>) -> f64 {
    let sent = outcomes
        .iter()
        .filter(|o| span.contains(&o.sent) && o.first.is_some());
    let work: u64 = sent.map(|o| scenario.kinds[o.kind].work).sum();
    work as f64 / ((span.end - span.start) * scenario.engines as u64) as f64
}

/// Returns the wait at engines that 95% of the calls sent in a span do not exceed.
fn p95_wait(outcomes: &[Outcome], span: Range<u64>) -> u64 {
    let sent = outcomes
        .iter()
        .filter(|o| span.contains(&o.sent) && o.first.is_some());
    let mut waits: Vec<u64> = sent.map(|o| o.waits.1).collect();
    waits.sort_unstable();
    waits[waits.len() * 95 / 100]
}

fn burst(kind: usize, account: Option<usize>, factor: f64) -> Burst {
    Burst {
        kind,
        account,
        factor,
        span: 3_000..8_000,
    }
}

/// One account sends many times its usual load.
fn storm(factor: f64) -> Vec<Burst> {
    vec![burst(DRAFT, Some(0), factor), burst(LABEL, Some(0), factor)]
}

/// Guards against entries that see the same old reports and all choose the same engine:
/// without a burst, waits at engines then reached a second.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn many_entries_with_old_reports_spread_calls(#[case] seed: u64) {
    let outcomes = Model::play(scenario(seed));
    let wait = p95_wait(&outcomes, 0..14_000);
    assert!(wait <= 400, "{wait} ms");
    assert_eq!(on_time(&outcomes, DRAFT, 0..13_000), 1.0);
}

/// Guards against a burst of labels that fills the engines' queues before drafts, and
/// against engines that idle although calls wait.
#[rstest]
#[case(4, 2.2)]
#[case(5, 5.0)]
fn burst_of_less_urgent_kind_leaves_drafts_on_time(#[case] seed: u64, #[case] factor: f64) {
    let scenario = Scenario {
        bursts: vec![burst(LABEL, None, factor)],
        ..scenario(seed)
    };
    let outcomes = Model::play(scenario.clone());
    let drafts = on_time(&outcomes, DRAFT, 3_000..8_000);
    assert!(drafts >= 0.97, "{drafts}");
    let busy = busy(&scenario, &outcomes, 4_000..8_000);
    assert!(busy >= 0.9, "{busy}");
}

/// Guards against calls that are sent to engines whose reports have stopped, whose last
/// reported wait seems to have passed.
#[rstest]
#[case(6)]
#[case(7)]
fn quarter_of_engines_silent_costs_little(#[case] seed: u64) {
    let scenario = Scenario {
        silent: (6, 3_000..8_000),
        ..scenario(seed)
    };
    let outcomes = Model::play(scenario);
    let lost = outcomes.iter().filter(|o| o.is_lost).count();
    // 4.2 calls go to the engines in the 100 ms of an interval of reports of each.
    assert!(lost <= 60, "{lost}");
    let drafts = on_time(&outcomes, DRAFT, 4_000..13_000);
    assert!(drafts >= 0.97, "{drafts}");
}

/// Guards against an account whose storm costs the others what they earn without it.
/// Labels of others still yield to drafts of the storm: priority goes before shares.
#[rstest]
#[case::usual(8, storm(4.4))]
#[case::usual(9, storm(4.4))]
#[case::labels(8, vec![burst(LABEL, Some(0), 20.0)])]
#[case::labels(9, vec![burst(LABEL, Some(0), 20.0)])]
fn storm_of_one_account_costs_others_little(#[case] seed: u64, #[case] bursts: Vec<Burst>) {
    let others = |outcomes: Vec<Outcome>| {
        let span = arrived_in(&outcomes, 3_000..8_000);
        let others: Vec<_> = span.filter(|o| o.account != 0).collect();
        value(others.iter().copied()) / others.len() as f64
    };
    let without = others(Model::play(scenario(seed)));
    let with = others(Model::play(Scenario {
        bursts,
        ..scenario(seed)
    }));
    assert!(with >= without * 0.95, "{with} with, {without} without");
}

/// Guards against one of the three loads undoing what holds under each: six of 22 engines
/// silent, 2.2 times the labels, and a storm of one account, all at once.
#[rstest]
#[case(10)]
#[case(11)]
fn all_loads_together_leave_drafts_on_time(#[case] seed: u64) {
    let mut bursts = storm(4.4);
    bursts.push(burst(LABEL, None, 2.2));
    let scenario = Scenario {
        silent: (6, 2_500..8_500),
        bursts,
        ..scenario(seed)
    };
    let outcomes = Model::play(scenario.clone());
    let drafts = on_time(&outcomes, DRAFT, 4_000..8_000);
    assert!(drafts >= 0.95, "{drafts}");
    let sent: Vec<_> = outcomes.iter().filter(|o| o.first.is_some()).collect();
    let passed_deadline = sent.iter().filter(|o| {
        let deadline = scenario.kinds[o.kind].deadline;
        o.first.is_some_and(|first| first > deadline)
    });
    let passed = passed_deadline.count() as f64 / sent.len() as f64;
    assert!(passed <= 0.02, "{passed}");
}

/// Guards against queues and returning callers that keep the load up after a burst.
#[rstest]
#[case(12)]
#[case(13)]
fn end_of_burst_is_over_within_two_seconds(#[case] seed: u64) {
    let scenario = Scenario {
        bursts: vec![burst(LABEL, None, 5.0), burst(DRAFT, None, 2.0)],
        ..scenario(seed)
    };
    let outcomes = Model::play(scenario);
    for kind in [DRAFT, LABEL] {
        let on_time = on_time(&outcomes, kind, 10_000..13_000);
        assert!(on_time >= 0.97, "kind {kind}: {on_time}");
    }
    // The callers that were refused in the last seconds come back in no single wave.
    let returns: Vec<u64> = (80..100)
        .map(|bin| {
            let span = bin * 100..(bin + 1) * 100;
            let back = outcomes
                .iter()
                .filter(|o| o.returned && span.contains(&o.sent));
            back.count() as u64
        })
        .collect();
    let most = returns.iter().max().copied().unwrap_or(0);
    let sum: u64 = returns.iter().sum();
    assert!(most * 4 <= sum + 40, "{returns:?}");
}

/// Guards against small calls that pass long prompts by for ever: both are labels, and
/// one in thirty takes 15 times as long.
#[rstest]
#[case(14)]
#[case(15)]
fn long_prompts_are_not_starved(#[case] seed: u64) {
    let mut scenario = scenario(seed);
    let long = Kind {
        per_s: 9.0,
        work: 540,
        tokens: 30_000,
        ..scenario.kinds[LABEL].clone()
    };
    scenario.kinds.push(long);
    scenario.bursts = vec![burst(LABEL, None, 2.2)];
    let outcomes = Model::play(scenario);
    let served = |kind: usize| {
        let calls = arrived_in(&outcomes, 4_000..8_000).filter(|o| o.kind == kind);
        let begun = calls.clone().filter(|o| o.first.is_some());
        begun.count() as f64 / calls.count() as f64
    };
    assert!(
        served(2) >= served(LABEL) / 2.0,
        "{} {}",
        served(2),
        served(LABEL)
    );
}

/// Guards against an urgent kind that is served less often than a less urgent one, and
/// against one that gets nothing: drafts alone exceed the capacity.
#[rstest]
#[case(16)]
#[case(17)]
fn urgent_kind_is_served_most_and_none_is_starved(#[case] seed: u64) {
    let scenario = Scenario {
        bursts: vec![burst(DRAFT, None, 4.0)],
        ..scenario(seed)
    };
    let outcomes = Model::play(scenario);
    let served = |kind: usize, span: Range<u64>| {
        let calls = arrived_in(&outcomes, span).filter(|o| o.kind == kind);
        let begun = calls.clone().filter(|o| o.first.is_some());
        begun.count() as f64 / calls.count() as f64
    };
    for second in 4..8 {
        let span = second * 1_000..(second + 1) * 1_000;
        let (drafts, labels) = (served(DRAFT, span.clone()), served(LABEL, span));
        assert!(drafts >= labels, "second {second}: {drafts} {labels}");
        assert!(labels > 0.0, "second {second}");
    }
}

/// Guards against the share of an entry that has ended, which nobody uses then.
#[rstest]
#[case(18)]
#[case(19)]
fn share_of_lost_entry_is_used_by_others(#[case] seed: u64) {
    let mut scenario = scenario(seed);
    scenario.entries = 3;
    scenario.bursts = vec![burst(LABEL, None, 4.0)];
    scenario.entry_ends = Some((0, 5_000));
    let outcomes = Model::play(scenario.clone());
    let (before, after) = (
        busy(&scenario, &outcomes, 4_000..5_000),
        busy(&scenario, &outcomes, 6_200..8_000),
    );
    assert!(after >= before * 0.95, "{before} before, {after} after");
}

/// A queue of one entry with one engine, which a test sets.
struct OneEngine {
    queue: AdmissionQueue,
    estimate: StartEstimate,
}

impl OneEngine {
    fn new(wait: u64) -> Self {
        let mut slots: SlotMap<BackendKey, ()> = SlotMap::with_key();
        let estimate = StartEstimate {
            server: slots.insert(()),
            wait: ms(wait),
            work: ms(100),
            report_age: Some(ms(50)),
            is_plain: false,
            has_agent: true,
        };
        Self {
            queue: AdmissionQueue::new("entry"),
            estimate,
        }
    }

    fn offer(&mut self, account: &str, identity: u64, now: u64) -> AdmissionDecision {
        let call = OfferedCall {
            account: Some(AccountName::from(account)),
            weight: OfferedCall::MEAN_WEIGHT,
            priority: 1,
            tokens: 1_000,
            objective: ms(2_000),
            received_at: at(now),
            deadline: at(now + 6_000),
            identity,
            is_resend: false,
        };
        self.ask(|queue, candidates| queue.offer("s", call, candidates, at(now)))
    }

    fn look(&mut self, ticket: AdmissionTicket, now: u64) -> AdmissionDecision {
        self.ask(|queue, candidates| queue.look("s", ticket, candidates, at(now)))
    }

    fn ask(
        &mut self,
        ask: impl FnOnce(&mut AdmissionQueue, &mut Candidates<'_>) -> AdmissionDecision,
    ) -> AdmissionDecision {
        let estimate = self.estimate;
        let mut choose =
            |avoid: &[BackendKey]| (!avoid.contains(&estimate.server)).then_some(estimate);
        let servers = [estimate.server];
        let mut candidates = Candidates {
            servers: &servers,
            choose: &mut choose,
        };
        ask(&mut self.queue, &mut candidates)
    }

    fn front(&self, now: u64) -> Vec<AdmissionTicket> {
        let front = self.queue.list_front(at(now)).into_iter();
        front.map(|(_, ticket)| ticket).collect()
    }
}

/// Fills a queue and returns the refusals: the engine starts ten calls a second, so that
/// few can wait.
fn fill(engine: &mut OneEngine) -> (Vec<AdmissionTicket>, Vec<AdmissionRefusal>) {
    let (mut tickets, mut refusals) = (Vec::new(), Vec::new());
    for identity in 0..60 {
        match engine.offer("busy", identity, 100) {
            AdmissionDecision::Wait(ticket) => tickets.push(ticket),
            AdmissionDecision::Refuse(refusal) => refusals.push(refusal),
            AdmissionDecision::Start { .. } => panic!("the engine is full"),
        }
    }
    (tickets, refusals)
}

/// Guards against callers that wait behind more work than can be done in their time, and
/// that are all told to return at the same time, or later than a third of it.
#[test]
fn offer_hopeless_is_refused_at_once_with_spread_returns() {
    let mut engine = OneEngine::new(900);
    let (tickets, refusals) = fill(&mut engine);
    assert!(!tickets.is_empty() && refusals.len() > 20);
    let reasons = refusals.iter().map(|refusal| refusal.reason);
    assert!(
        reasons
            .clone()
            .all(|reason| reason == RefusalReason::QueueAhead)
    );
    let mut afters: Vec<Duration> = refusals.iter().map(|refusal| refusal.after).collect();
    assert!(
        afters
            .iter()
            .all(|after| (ms(150)..=ms(2_000)).contains(after))
    );
    afters.sort_unstable();
    afters.dedup();
    assert!(afters.len() > refusals.len() / 2);
}

/// Guards against a waiting call that is looked at after its caller has left.
#[test]
fn release_drops_waiting_call() {
    let mut engine = OneEngine::new(900);
    let (tickets, _) = fill(&mut engine);
    for ticket in &tickets {
        engine.queue.release("s", *ticket);
    }
    assert_eq!(engine.queue.count_waiting(), 0);
    assert!(engine.front(200).is_empty());
}

/// Guards against calls that wait while the entry stops.
#[test]
fn stop_refuses_waiting_and_later_calls() {
    let mut engine = OneEngine::new(900);
    let (tickets, _) = fill(&mut engine);
    engine.queue.stop(at(200));
    assert_eq!(engine.front(200).len(), tickets.len());
    for ticket in tickets {
        let AdmissionDecision::Refuse(refusal) = engine.look(ticket, 200) else {
            panic!("not refused");
        };
        assert_eq!(refusal.reason, RefusalReason::Stopping);
    }
    let later = engine.offer("busy", 1_000, 200);
    assert!(matches!(later, AdmissionDecision::Refuse(_)));
    engine.estimate.wait = ms(0);
    let sent = engine.offer("busy", 1_001, 900);
    assert!(matches!(sent, AdmissionDecision::Start { .. }));
}

/// Guards against calls that wait beyond the time in which their response has value.
#[test]
fn expire_refuses_late_calls() {
    let mut engine = OneEngine::new(900);
    let (tickets, _) = fill(&mut engine);
    engine.queue.expire(1, ms(75), at(2_050));
    for ticket in tickets {
        let AdmissionDecision::Refuse(refusal) = engine.look(ticket, 2_050) else {
            panic!("not refused");
        };
        assert_eq!(refusal.reason, RefusalReason::TooLate);
    }
}

/// Guards against a caller that returns as told and waits behind newer ones.
#[test]
fn offer_returning_caller_goes_first() {
    let mut engine = OneEngine::new(900);
    let AdmissionDecision::Wait(first) = engine.offer("a", 1, 100) else {
        panic!("does not wait");
    };
    engine.queue.expire(1, ms(75), at(2_050));
    assert!(matches!(
        engine.look(first, 2_050),
        AdmissionDecision::Refuse(_)
    ));
    let AdmissionDecision::Wait(newer) = engine.offer("b", 2, 2_300) else {
        panic!("does not wait");
    };
    let AdmissionDecision::Wait(returning) = engine.offer("a", 1, 2_400) else {
        panic!("does not wait");
    };
    assert_eq!(engine.front(2_400)[..2], [returning, newer]);
}

/// Guards against a share that stays reserved for an entry that is not heard any more, and
/// against one that lapses between two messages in a large fleet.
#[test]
fn expire_silent_peer_loses_share() {
    let peers = |queue: &AdmissionQueue, now: u64| queue.read_gauges(at(now))[0].peers;
    for (interval, kept_until) in [(75, 1_000), (1_700, 3_400)] {
        let mut queue = AdmissionQueue::new("entry");
        let demand = ServiceDemand {
            service: "s".into(),
            work_ms: vec![(0, 500)],
        };
        queue.record_demand("peer", vec![demand], at(0));
        queue.expire(2, ms(interval), at(kept_until - 1));
        assert_eq!(peers(&queue, kept_until), 1);
        queue.expire(2, ms(interval), at(kept_until));
        assert_eq!(peers(&queue, kept_until), 0);
    }
}

/// Guards against calls that are sent to a busy engine, or held back from one that has
/// room again.
#[test]
fn look_starts_when_engine_has_room() {
    let mut engine = OneEngine::new(900);
    let AdmissionDecision::Wait(ticket) = engine.offer("a", 1, 100) else {
        panic!("does not wait");
    };
    assert_eq!(engine.look(ticket, 200), AdmissionDecision::Wait(ticket));
    engine.estimate.wait = ms(100);
    let started = engine.look(ticket, 300);
    assert!(matches!(started, AdmissionDecision::Start { .. }));
    assert_eq!(engine.queue.count_waiting(), 0);
}

/// Guards against predictions that stay wrong: late first tokens shorten the wait that is
/// accepted, and the error is forgotten after a burst.
#[test]
fn observe_start_late_holds_calls_back_for_a_time() {
    let mut engine = OneEngine::new(380);
    engine.estimate.work = ms(1_190);
    let mut start = |now: u64, late: u64| {
        for _ in 0..20 {
            engine
                .queue
                .observe_start("s", ms(100), ms(100 + late), at(now));
        }
        let decision = engine.offer("a", now, now);
        engine.queue.expire(1, ms(75), at(now + 6_000));
        matches!(decision, AdmissionDecision::Start { .. })
    };
    assert!(start(1_000, 0));
    assert!(!start(10_000, 900));
    assert!(start(20_000, 0));
}

/// Guards against a plain server that all entries take to be busy for as long as its last
/// report counts, and against several calls that find out at once that it is not.
#[test]
fn offer_plain_server_is_tried_once_its_reported_wait_has_passed() {
    let mut engine = OneEngine::new(410);
    (engine.estimate.is_plain, engine.estimate.has_agent) = (true, false);
    engine.estimate.work = ms(12);
    engine.estimate.report_age = Some(ms(30));
    let waits = engine.offer("a", 1, 1_030);
    assert!(matches!(waits, AdmissionDecision::Wait(_)));
    engine.queue.expire(1, ms(75), at(9_000));
    engine.estimate.report_age = Some(ms(420));
    let tried = engine.offer("a", 2, 9_000);
    assert!(matches!(tried, AdmissionDecision::Start { .. }));
    let waits = engine.offer("a", 3, 9_001);
    assert!(matches!(waits, AdmissionDecision::Wait(_)));
}

/// Guards against a call that never starts because what it fetches, which takes longer
/// than any wait that is accepted, counts as a wait.
#[test]
fn estimate_of_fetched_prompt_counts_fetch_as_work() {
    let mut dispatcher = Dispatcher::new("a");
    for number in 0..2_u8 {
        dispatcher.upsert_member(Member {
            name: ServerName::from(format!("i-{number}").as_str()),
            service: "s".into(),
            address: SocketAddr::from(([10, 0, 0, number], 8_000)),
            zone: "a".into(),
            slots: 64,
            state: MemberState::Ready,
            models: vec![(ModelName::from("m"), WeightsVersion(1))],
            started_at_ms: Some(1),
            build: Build::from("v1"),
        });
    }
    let namespace = VersionedSalt::shared(WeightsVersion(1), None).namespace(&ModelName::from("m"));
    let parts = [("shared", 90_000), ("own", 1_000)].map(|(name, tokens)| PromptPart {
        id: PartId::from_name(name),
        tokens,
    });
    let change = CachedPartChange {
        namespace,
        part: parts[0].id,
        tokens: parts[0].tokens,
    };
    dispatcher.observe_cached_parts(&ServerName::from("i-0"), &[change], true);
    let report = AgentReport {
        is_accepting: true,
        is_alive: true,
        prefill_ms: 2_900,
        versions: vec![(ModelName::from("m"), WeightsVersion(1))],
        capacity_tokens: 1_000_000,
        ..AgentReport::default()
    };
    dispatcher.observe_agent_report(&ServerName::from("i-0"), report, at(0));
    let prompt = Prompt {
        model: ModelName::from("m"),
        parts: parts.to_vec(),
        prompt_tokens: 91_000,
        max_output_tokens: 100,
        expected_output_tokens: 100,
    };
    let req = DispatchRequest {
        service: "s",
        prompt: Some(&prompt),
        account: None,
        was_isolated: false,
        tried: &[],
        build: None,
        builds: BuildFilter::Any,
        body_bytes: None,
        time_left: Duration::from_secs(60),
    };
    let choice = dispatcher.choose(&req, at(0)).expect("an engine is chosen");
    assert_eq!(choice.name, ServerName::from("i-1"));
    assert!(choice.fetch_from.is_some());
    let estimate = StartEstimate::new(&choice, true);
    assert_eq!(estimate.wait, Duration::ZERO);
    assert!(estimate.work >= ms(600), "{:?}", estimate.work);
}

/// Prints what decisions cost at the target size, for docs/CAPACITY.md: 350 entries with
/// demand, one service of 400 engines without room, 256 waiting calls.
#[test]
fn print_cost_at_target_size() {
    const ROUNDS: u32 = 200;
    let mut slots: SlotMap<BackendKey, ()> = SlotMap::with_key();
    let servers: Vec<BackendKey> = (0..400).map(|_| slots.insert(())).collect();
    let mut engine = OneEngine::new(900);
    let demand = vec![ServiceDemand {
        service: "drafting".into(),
        work_ms: vec![(0, 600), (2, 900)],
    }];
    for identity in 0..300 {
        engine.offer(&format!("a{}", identity % 40), identity, 100);
    }
    let started_at = Instant::now();
    for round in 0..ROUNDS {
        for entry in 0..350 {
            let name = format!("entry-{entry}");
            let now = at(100 + u64::from(round));
            engine.queue.record_demand(&name, demand.clone(), now);
        }
    }
    let exchange = started_at.elapsed() / ROUNDS / 350;
    let front = engine.front(200);
    let estimate = engine.estimate;
    let mut choose = |avoid: &[BackendKey]| {
        let server = servers.iter().find(|server| !avoid.contains(server));
        server.map(|server| StartEstimate {
            server: *server,
            ..estimate
        })
    };
    let started_at = Instant::now();
    for round in 0..ROUNDS {
        for ticket in &front {
            let mut candidates = Candidates {
                servers: &servers,
                choose: &mut choose,
            };
            let now = at(200 + u64::from(round % 50));
            engine.queue.look("s", *ticket, &mut candidates, now);
        }
    }
    let look = started_at.elapsed() / ROUNDS / u32::try_from(front.len()).expect("few");
    println!(
        "waiting={} one message {exchange:?}, one look {look:?} without choices",
        engine.queue.count_waiting()
    );
}
