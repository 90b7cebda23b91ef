//! Rollouts of a service's build, over random histories of entries, leaders and a store
//! that fail.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::fleet::Build;
use teaseldrum::core::fleet::BuildFilter;
use teaseldrum::core::fleet::RolloutBounds;
use teaseldrum::core::fleet::RolloutLeader;
use teaseldrum::core::fleet::RolloutOrder;
use teaseldrum::core::fleet::RolloutPhase;
use teaseldrum::core::fleet::RolloutPlan;
use teaseldrum::core::fleet::RolloutRecord;
use teaseldrum::core::fleet::RolloutTable;
use teaseldrum::core::fleet::ServiceServers;

const STEP_MS: u64 = 20;
const DURATION: Duration = Duration::from_secs(12);
const LEASE_MS: u64 = 4_000;
const LEADER_TIMEOUT_MS: u64 = 900;
const REPORT_MS: u64 = 100;
const CONTACT_MS: u64 = 4_000;
const ROLLBACK_MS: u64 = 5_000;
const COUNTED_BAD: usize = 50;
const ROUTES: [&str; 3] = ["a", "b", "c"];
const BOUNDS: RolloutBounds = RolloutBounds {
    share: 0.1,
    slack: 50.0,
};

/// What is wrong with the new build.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// This share of the responses fail from a time on, in milliseconds.
    Fails(f64, u64),
    /// This share of the responses of the first route fail.
    OneRoute(f64),
    /// This share of the responses take ten times as long.
    Slow(f64),
}

/// Rates of faults, a second; each lasts for up to three seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Trouble {
    kills: f64,
    freezes: f64,
    cuts: f64,
    store_outages: f64,
    restores: f64,
    lost_messages: f64,
}

#[derive(Debug, Clone, Copy)]
struct Plan {
    seed: u64,
    entries: usize,
    per_s: f64,
    fault: Fault,
    /// Share of responses of the second route that fail at any build.
    usual_failures: f64,
    /// Time at which responses of all builds fail for two seconds, if any.
    outage_at_ms: Option<u64>,
    trouble: Trouble,
}

/// What an observer outside of the system sees.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Request,
    SentNew {
        in_contact: bool,
    },
    SentOld {
        in_contact: bool,
    },
    Bad,
    Status {
        phase: RolloutPhase,
        old_running: usize,
    },
}

type History = Vec<(u64, Event)>;

/// Returns which guarantee a history of a rollout breaks.
fn find_violation(history: &History, is_bad_build: bool) -> Option<String> {
    let deadline = DURATION.as_millis() as u64;
    let count = |wanted: fn(&Event) -> bool| {
        let events = history.iter().filter(|(ms, _)| *ms <= deadline);
        events.filter(|(_, event)| wanted(event)).count() as f64
    };
    let sent = count(|event| matches!(event, Event::SentNew { .. }));
    let limit = BOUNDS.share * count(|event| *event == Event::Request) + BOUNDS.slack;
    if is_bad_build && sent > limit {
        return Some(format!("exposure: {sent} calls, limit {limit}"));
    }
    let mut bad = history.iter().filter(|(_, event)| *event == Event::Bad);
    let last_allowed = bad
        .nth(COUNTED_BAD - 1)
        .filter(|_| is_bad_build)
        .map(|(ms, _)| ms + ROLLBACK_MS);
    let mut phase = RolloutPhase::Canary;
    for (ms, event) in history {
        match event {
            Event::SentNew { in_contact: true } if last_allowed.is_some_and(|l| *ms > l) => {
                return Some(format!("late call at {ms}"));
            }
            Event::SentOld { in_contact: true } if phase == RolloutPhase::Completed => {
                return Some(format!("call to the old servers at {ms}"));
            }
            Event::Status {
                phase: next,
                old_running,
            } => {
                if phase.is_final() && *next != phase {
                    return Some(format!("status from {phase:?} to {next:?} at {ms}"));
                }
                if *next == RolloutPhase::Completed && *old_running > 0 {
                    return Some(format!("completed with {old_running} calls at old servers"));
                }
                phase = *next;
            }
            _ => {}
        }
    }
    None
}

#[derive(Debug, Clone, Default)]
struct Store {
    record: Option<RolloutRecord>,
    revision: u64,
    claim: Option<(usize, u64, u64)>,
    era: u64,
    down_until: u64,
}

#[derive(Debug)]
struct Call {
    ends_at: u64,
    sent_at: u64,
    route: &'static str,
    build: Build,
    is_failure: bool,
}

#[derive(Debug)]
struct Lead {
    leader: RolloutLeader,
    until: u64,
    renew_at: u64,
    era: u64,
    revision: u64,
}

#[derive(Debug)]
struct Entry {
    incarnation: u64,
    table: RolloutTable,
    lead: Option<Lead>,
    heard_leader_at: u64,
    report_at: u64,
    dead_until: u64,
    frozen_until: u64,
    cut_until: u64,
    /// Since when it has run without interruption and reached the store.
    contact_since: u64,
    calls: Vec<Call>,
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms + 1_000)
}

fn order() -> RolloutOrder {
    RolloutOrder {
        service: "s".into(),
        target: Build::from("v2"),
        duration: Some(DURATION),
        revision: 9,
    }
}

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + entry as u16))
}

struct World {
    plan: Plan,
    rng: StdRng,
    ms: u64,
    store: Store,
    copies: Vec<Store>,
    entries: Vec<Entry>,
    history: History,
}

impl World {
    fn new(plan: Plan) -> Self {
        let entry = |index| Entry {
            incarnation: index as u64,
            table: new_table(true, 0),
            lead: None,
            heard_leader_at: 0,
            report_at: 0,
            dead_until: 0,
            frozen_until: 0,
            cut_until: 0,
            contact_since: 0,
            calls: Vec::new(),
        };
        Self {
            rng: StdRng::seed_from_u64(plan.seed),
            ms: 0,
            store: Store::default(),
            copies: Vec::new(),
            entries: (0..plan.entries).map(entry).collect(),
            history: Vec::new(),
            plan,
        }
    }

    /// Plays a rollout until some seconds after its deadline.
    fn play(mut self) -> History {
        let end = DURATION.as_millis() as u64 + 8_000;
        while self.ms < end {
            self.break_things();
            if self.store.claim.is_some_and(|(.., until)| until <= self.ms) {
                self.store.claim = None;
            }
            for index in 0..self.entries.len() {
                if self.runs(index) {
                    self.end_calls(index);
                    self.follow(index);
                } else {
                    self.entries[index].contact_since = self.ms;
                }
                if self.is_cut_from_store(index) {
                    self.entries[index].contact_since = self.ms;
                }
            }
            self.gossip();
            self.send_calls();
            if self.ms.is_multiple_of(1_000) {
                self.copies.push(self.store.clone());
            }
            self.ms += STEP_MS;
        }
        self.history
    }

    fn happens(&mut self, per_s: f64) -> bool {
        self.rng
            .random_bool((per_s * STEP_MS as f64 / 1_000.0).min(1.0))
    }

    fn runs(&self, index: usize) -> bool {
        let entry = &self.entries[index];
        self.ms >= entry.dead_until && self.ms >= entry.frozen_until
    }

    fn is_cut_from_store(&self, index: usize) -> bool {
        self.ms < self.store.down_until || self.ms < self.entries[index].cut_until
    }

    fn break_things(&mut self) {
        let trouble = self.plan.trouble;
        let index = self.rng.random_range(0..self.entries.len());
        let until = self.ms + self.rng.random_range(200..3_000);
        if self.happens(trouble.kills) {
            let entry = &mut self.entries[index];
            entry.dead_until = until;
            entry.incarnation += 100;
            entry.table = new_table(false, until);
            entry.lead = None;
            entry.calls.clear();
            entry.heard_leader_at = until;
        }
        if self.happens(trouble.freezes) {
            self.entries[index].frozen_until = until;
        }
        if self.happens(trouble.cuts) {
            self.entries[index].cut_until = until;
        }
        if self.happens(trouble.store_outages) {
            self.store.down_until = until;
        }
        if self.happens(trouble.restores) && self.copies.len() > 2 {
            let era = self.store.era + 1;
            let revision = self.store.revision;
            self.store = self.copies[self.copies.len() - 2].clone();
            self.store.era = era;
            // Revisions include the era, so they are never given out again.
            self.store.revision = revision + 1;
        }
    }

    fn end_calls(&mut self, index: usize) {
        let ms = self.ms;
        let entry = &mut self.entries[index];
        let (ended, running) = entry.calls.drain(..).partition(|call| call.ends_at <= ms);
        entry.calls = running;
        let ended: Vec<Call> = ended;
        for call in ended {
            if let Some(rollout) = entry.table.find_mut("s") {
                let elapsed = Duration::from_millis(call.ends_at - call.sent_at);
                rollout.record_time(call.route, &call.build, elapsed);
                rollout.record_end(call.route, &call.build, call.is_failure);
            }
            if call.is_failure && call.build == order().target {
                self.history.push((ms, Event::Bad));
            }
        }
    }

    fn send_calls(&mut self) {
        let expected = self.plan.per_s * STEP_MS as f64 / 1_000.0;
        let count = expected as usize + usize::from(self.rng.random_bool(expected.fract()));
        for _ in 0..count {
            let index = self.rng.random_range(0..self.entries.len());
            if self.runs(index) {
                self.send_call(index);
            }
        }
    }

    fn send_call(&mut self, index: usize) {
        let ms = self.ms;
        let route = ROUTES[self.rng.random_range(0..ROUTES.len())];
        let entry = &mut self.entries[index];
        let rollout = entry.table.find_mut("s").expect("a rollout");
        rollout.record_request(route);
        let is_new = match rollout.permit(route, true, None, at(ms)) {
            BuildFilter::Only(build) => build == order().target,
            BuildFilter::Any => true,
            BuildFilter::Except(_) => false,
        };
        let build = Build::from(if is_new { "v2" } else { "v1" });
        rollout.record_send(route, &build);
        let in_contact = ms - entry.contact_since >= CONTACT_MS;
        let event = if is_new {
            Event::SentNew { in_contact }
        } else {
            Event::SentOld { in_contact }
        };
        self.history.extend([(ms, Event::Request), (ms, event)]);
        let mut work_ms = self.rng.random_range(30..70);
        let mut share = if route == "b" {
            self.plan.usual_failures
        } else {
            0.002
        };
        if let Some(from) = self.plan.outage_at_ms
            && (from..from + 2_000).contains(&ms)
        {
            share = 0.5;
        }
        match self.plan.fault {
            Fault::Fails(part, from) if is_new && ms >= from => share += part,
            Fault::OneRoute(part) if is_new && route == "a" => share += part,
            Fault::Slow(part) if is_new && self.rng.random_bool(part) => work_ms *= 10,
            _ => {}
        }
        let call = Call {
            ends_at: ms + work_ms,
            sent_at: ms,
            route,
            build,
            is_failure: self.rng.random_bool(share.min(1.0)),
        };
        self.entries[index].calls.push(call);
    }

    /// Lets entries tell each other of the leader.
    fn gossip(&mut self) {
        let (from, to) = (
            self.rng.random_range(0..self.entries.len()),
            self.rng.random_range(0..self.entries.len()),
        );
        if from == to || !self.are_connected(from, to) {
            return;
        }
        let rollout = self.entries[from].table.find("s").expect("a rollout");
        if let Some(news) = rollout.news(at(self.ms)) {
            self.entries[to].table.learn(&news, at(self.ms));
        }
    }

    fn are_connected(&self, one: usize, other: usize) -> bool {
        let is_open = |index: usize| self.runs(index) && self.ms >= self.entries[index].cut_until;
        one == other || (is_open(one) && is_open(other))
    }

    /// Does what the task of an entry does: reads the record, claims, leads and reports.
    fn follow(&mut self, index: usize) {
        let ms = self.ms;
        let has_store = !self.is_cut_from_store(index);
        let entry = &mut self.entries[index];
        let rollout = entry.table.find_mut("s").expect("a rollout");
        if has_store && rollout.needs_record() {
            let record = self.store.record.as_ref();
            rollout.observe_record(record.map(|r| (r.phase, r.given_up.as_slice())), at(ms));
        }
        if let Some(lead) = &entry.lead
            && (lead.until <= ms || (has_store && lead.era < self.store.era))
        {
            entry.lead = None;
        }
        if self.entries[index].lead.is_some() {
            self.lead(index);
        } else {
            self.try_claim(index);
        }
        if self.entries[index].report_at <= ms {
            self.entries[index].report_at = ms + REPORT_MS;
            self.report(index);
        }
    }

    fn try_claim(&mut self, index: usize) {
        let ms = self.ms;
        let rollout = self.entries[index].table.find("s").expect("a rollout");
        let is_lost = ms >= self.entries[index].heard_leader_at + LEADER_TIMEOUT_MS;
        let is_new = rollout.leader().is_none() && index as u64 * 300 <= ms;
        let is_free = self.store.claim.is_none() && !self.is_cut_from_store(index);
        if !is_free || rollout.needs_record() || !(is_lost || is_new) {
            return;
        }
        self.store.revision += 1;
        let fence = self.store.revision;
        self.store.claim = Some((index, fence, ms + LEASE_MS));
        let age = rollout
            .known_age(at(ms))
            .unwrap_or(Duration::from_millis(ms));
        let record = self.store.record.clone();
        let is_stored = record.is_some();
        let record = record.unwrap_or_else(|| RolloutRecord::start(&order(), 0, Vec::new()));
        let leader = RolloutLeader::new(order(), record, is_stored, fence, age, BOUNDS, at(ms));
        self.entries[index].lead = Some(Lead {
            leader,
            until: ms + LEASE_MS,
            renew_at: ms + 1_300,
            era: self.store.era,
            revision: self.store.revision,
        });
        let entry = &mut self.entries[index];
        let rollout = entry.table.find_mut("s").expect("a rollout");
        let phase = entry.lead.as_ref().expect("a lead").leader.phase();
        rollout.learn_leader(address(index), fence, phase, at(ms));
    }

    fn lead(&mut self, index: usize) {
        let ms = self.ms;
        let has_store = !self.is_cut_from_store(index);
        let old_running = self.count_old_running();
        let names: Vec<String> = (0..self.entries.len())
            .filter(|other| ms >= self.entries[*other].dead_until)
            .map(|other| format!("g{other}"))
            .collect();
        let Some(lead) = &mut self.entries[index].lead else {
            return;
        };
        if has_store && lead.renew_at <= ms && self.store.claim.is_some_and(|c| c.0 == index) {
            lead.renew_at = ms + 1_300;
            lead.until = ms + LEASE_MS;
            self.store.claim = Some((index, lead.leader.fence(), lead.until));
        }
        let servers = ServiceServers {
            new_accepting: 3,
            old_listed: 3,
            old_running: Some(old_running as u32),
        };
        lead.leader.advance(servers, &names, at(ms));
        let Some((record, has_new_status)) = lead.leader.pending_write() else {
            return;
        };
        let is_held = self
            .store
            .claim
            .is_some_and(|(_, fence, _)| fence == lead.leader.fence());
        if !has_store || !is_held || lead.revision != self.store.revision {
            return;
        }
        if self.rng.random_bool(self.plan.trouble.lost_messages / 2.0) {
            // Never carried out.
            return;
        }
        self.store.revision += 1;
        lead.revision = self.store.revision;
        self.store.record = Some(record.clone());
        if has_new_status {
            let phase = record.phase;
            let status = Event::Status { phase, old_running };
            self.history.push((ms, status));
        }
        if self.rng.random_bool(self.plan.trouble.lost_messages / 2.0) {
            // The answer is lost, and the record is read.
            lead.leader
                .correct_stored(self.store.record.clone(), at(ms));
        } else {
            lead.leader.confirm_write(record, at(ms));
        }
        let (fence, phase) = (lead.leader.fence(), lead.leader.phase());
        let rollout = self.entries[index].table.find_mut("s");
        let rollout = rollout.expect("a rollout");
        rollout.learn_leader(address(index), fence, phase, at(ms));
    }

    fn count_old_running(&self) -> usize {
        let calls = self.entries.iter().flat_map(|entry| &entry.calls);
        calls.filter(|call| call.build != order().target).count()
    }

    fn report(&mut self, index: usize) {
        let ms = self.ms;
        let entry = &mut self.entries[index];
        let old = |call: &&Call| call.build != order().target;
        let old_running = entry.calls.iter().filter(old).count() as u32;
        let rollout = entry.table.find_mut("s").expect("a rollout");
        let Some((leader, _)) = rollout.leader() else {
            return;
        };
        let leader = usize::from(leader.port() - 1_000);
        let name = format!("g{index}");
        let report = rollout.build_report(&name, entry.incarnation, old_running, at(ms));
        let lost = self.plan.trouble.lost_messages;
        if !self.are_connected(index, leader) || self.rng.random_bool(lost) {
            return;
        }
        let Some(lead) = &mut self.entries[leader].lead else {
            return;
        };
        let Some(plan) = lead.leader.observe_report(report, at(ms)) else {
            return;
        };
        if self.rng.random_bool(lost) {
            return;
        }
        let entry = &mut self.entries[index];
        entry.heard_leader_at = ms;
        let rollout = entry.table.find_mut("s").expect("a rollout");
        rollout.apply_plan(&plan, at(ms), at(ms));
    }
}

fn new_table(is_new: bool, ms: u64) -> RolloutTable {
    let mut table = RolloutTable::default();
    table
        .observe_order(order(), is_new, at(ms))
        .expect("a valid order");
    table
}

/// Guards against an entry without contact to the leader that goes on sending to the new
/// build for longer than the operator's rollback time permits.
#[rstest]
#[case::default_time(5_000, 1_000)]
#[case::short_time(600, 300)]
fn apply_plan_ends_within_rollback_time(#[case] rollback_ms: u64, #[case] validity_ms: u64) {
    let mut table = RolloutTable::within(Duration::from_millis(rollback_ms));
    table
        .observe_order(order(), true, at(0))
        .expect("a valid order");
    let rollout = table.find_mut("s").expect("a rollout");
    let plan = RolloutPlan {
        revision: order().revision,
        fence: 1,
        phase: RolloutPhase::Canary,
        allowance: 5,
        wanted_routes: Vec::new(),
    };
    rollout.apply_plan(&plan, at(0), at(0));
    rollout.record_request("r");
    rollout.record_request("r");
    let permits_target = |ms| {
        rollout
            .permit("r", true, None, at(ms))
            .allows(&order().target)
    };
    assert!(permits_target(validity_ms - 10));
    assert!(!permits_target(validity_ms + 10));
}

fn plan(seed: u64) -> Plan {
    Plan {
        seed,
        entries: 5,
        per_s: 100.0,
        fault: Fault::None,
        usual_failures: 0.14,
        outage_at_ms: None,
        trouble: Trouble::default(),
    }
}

fn last_status(history: &History) -> Option<(u64, RolloutPhase)> {
    history.iter().rev().find_map(|(ms, event)| match event {
        Event::Status { phase, .. } => Some((*ms, *phase)),
        _ => None,
    })
}

/// Guards against good builds that are rolled back or late, at any rate, with a route
/// that fails as usual and while the whole service fails for a time.
#[rstest]
#[case::few(3.0, None)]
#[case::some(20.0, None)]
#[case::more(100.0, None)]
#[case::many(700.0, None)]
#[case::outage(200.0, Some(5_000))]
fn rollout_good_build_completes_in_time(#[case] per_s: f64, #[case] outage_at_ms: Option<u64>) {
    let mut ends = Vec::new();
    for seed in 0..25 {
        let history = World::new(Plan {
            per_s,
            outage_at_ms,
            ..plan(seed)
        })
        .play();
        assert_eq!(find_violation(&history, false), None, "seed {seed}");
        ends.push(last_status(&history));
    }
    let is_good = |end: &&Option<(u64, RolloutPhase)>| {
        end.is_some_and(|(ms, phase)| {
            phase == RolloutPhase::Completed && ms <= DURATION.as_millis() as u64
        })
    };
    let good = ends.iter().filter(is_good).count();
    assert!(good >= 24, "{good} of 25: {ends:?}");
}

/// Guards against bad builds that are completed, or get more calls than the bound.
#[rstest]
#[case::at_once(Fault::Fails(0.5, 0))]
#[case::later(Fault::Fails(0.5, 6_000))]
#[case::one_route(Fault::OneRoute(0.6))]
#[case::slow(Fault::Slow(0.5))]
fn rollout_bad_build_is_rolled_back(
    #[case] fault: Fault,
    #[values(20.0, 100.0, 700.0)] per_s: f64,
) {
    for seed in 0..15 {
        let history = World::new(Plan {
            per_s,
            fault,
            ..plan(seed)
        })
        .play();
        assert_eq!(find_violation(&history, true), None, "seed {seed}");
        let phase = last_status(&history).map(|(_, phase)| phase);
        assert_eq!(phase, Some(RolloutPhase::RolledBack), "seed {seed}");
    }
}

/// Guards against violations while entries, leaders, links and the store fail.
#[rstest]
fn rollout_random_histories_keep_guarantees(
    #[values(
        Fault::None,
        Fault::Fails(0.5, 0),
        Fault::Fails(0.5, 5_000),
        Fault::Slow(0.6)
    )]
    fault: Fault,
    #[values(30.0, 300.0)] per_s: f64,
) {
    let mut completed = 0;
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut rate = |max: f64| rng.random_range(0.0..max);
        let trouble = Trouble {
            kills: rate(0.6),
            freezes: rate(0.6),
            cuts: rate(0.6),
            store_outages: rate(0.3),
            restores: rate(0.15),
            lost_messages: rate(0.2),
        };
        let history = World::new(Plan {
            per_s,
            fault,
            trouble,
            ..plan(seed)
        })
        .play();
        let violation = find_violation(&history, fault != Fault::None);
        assert_eq!(violation, None, "seed {seed}, {trouble:?}");
        let end = last_status(&history).map(|(_, phase)| phase);
        completed += usize::from(end == Some(RolloutPhase::Completed));
    }
    // The histories are not so bad that nothing is ever completed.
    assert_eq!(completed >= 20, fault == Fault::None, "{completed} of 60");
}

/// Guards against a checker that sees nothing.
#[rstest]
#[case::exposure(vec![(10, Event::SentNew { in_contact: false }); 51], "exposure")]
#[case::late(
    [vec![(10, Event::Bad); 50], vec![(5_020, Event::SentNew { in_contact: true })]].concat(),
    "late"
)]
#[case::status_back(
    vec![
        (10, Event::Status { phase: RolloutPhase::RolledBack, old_running: 0 }),
        (20, Event::Status { phase: RolloutPhase::Canary, old_running: 0 }),
    ],
    "status"
)]
#[case::old_running(
    vec![(10, Event::Status { phase: RolloutPhase::Completed, old_running: 1 })],
    "completed"
)]
#[case::old_after_end(
    vec![
        (10, Event::Status { phase: RolloutPhase::Completed, old_running: 0 }),
        (20, Event::SentOld { in_contact: true }),
    ],
    "call to the old"
)]
fn checker_invalid_history_is_rejected(#[case] history: History, #[case] start: &str) {
    let violation = find_violation(&history, true).unwrap_or_default();
    assert!(violation.starts_with(start), "{violation}");
}
