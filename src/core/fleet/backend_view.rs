//! What this process believes of one backend server.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::CachedPartChange;
use super::Member;
use super::MemberState;
use super::ModelName;
use super::PartId;
use super::ReportedLoad;
use super::backend_load::BackendLoad;
use super::part_table::PartTable;
use crate::core::MonotonicTime;
use crate::core::WeightsVersion;

/// Silence after which an agent's facts are not trusted any more; agents
/// answer at least twice a second.
const AGENT_SILENCE: Duration = Duration::from_millis(1_500);

/// Time in which a part that was sent to an engine appears in its events.
const EXPECTED_FOR: Duration = Duration::from_millis(1_500);

/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// First pause after a failed connection; doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(150);
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Time without any answer of a server after which a call that waits at it
/// takes it for dead: several times what an answer takes.
const SUSPECT_SILENCE: Duration = Duration::from_millis(700);

/// What the agent beside an engine says of it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The engine takes new calls; false shortly before and during a change
    /// of weights.
    pub is_accepting: bool,
    /// The engine answers its agent.
    pub is_alive: bool,
    /// Milliseconds until the engine changes its weights, if it is behind.
    pub switch_in_ms: Option<u32>,
    /// Weights versions that the engine serves.
    pub versions: Vec<(ModelName, WeightsVersion)>,
    /// Load of the engine.
    pub load: ReportedLoad,
    /// Milliseconds that the prompts announced by entries still take to read.
    #[serde(rename = "reading_ms")]
    pub prefill_ms: u32,
    /// Tokens of KV cache that cannot yield.
    pub used_tokens: u64,
    /// Tokens of KV cache altogether.
    pub capacity_tokens: u64,
}

/// What this process believes of one backend server.
#[derive(Debug)]
pub struct BackendView {
    /// What the server says of itself in the store.
    pub member: Member,
    /// Another run of a server answers at its address.
    pub(super) is_superseded: bool,
    pub(super) load: BackendLoad,
    pub(super) failures: f64,
    pub(super) paused_until: Option<MonotonicTime>,
    pause: Duration,
    answered_at: Option<MonotonicTime>,
    agent: Option<(AgentReport, MonotonicTime)>,
    seen_versions: HashMap<ModelName, WeightsVersion>,
    held: PartTable,
    expected: HashMap<(u64, PartId), MonotonicTime>,
}

impl BackendView {
    /// Creates the view of a server of which only its record is known.
    pub(super) fn new(member: Member) -> Self {
        Self {
            member,
            is_superseded: false,
            load: BackendLoad::default(),
            failures: 0.0,
            paused_until: None,
            pause: FIRST_PAUSE,
            answered_at: None,
            agent: None,
            seen_versions: HashMap::new(),
            held: PartTable::default(),
            expected: HashMap::new(),
        }
    }

    /// Takes over a new record; one of another start forgets what was known
    /// of the engine's memory.
    pub(super) fn update(&mut self, member: Member) {
        if self.member.started_at_ms != member.started_at_ms {
            self.agent = None;
            self.seen_versions.clear();
            self.held.clear();
            self.expected.clear();
            self.failures = 0.0;
            self.paused_until = None;
        }
        self.member = member;
    }

    /// Tells whether the server may be sent new calls.
    pub fn accepts_calls(&self, now: MonotonicTime) -> bool {
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        let agent_allows = self
            .fresh_agent(now)
            .is_none_or(|facts| facts.is_accepting && facts.is_alive);
        let is_ready = self.member.state == MemberState::Ready && !self.is_superseded;
        is_ready && !is_paused && agent_allows
    }

    /// Returns the weights version that the server is believed to have.
    pub(super) fn version(&self, model: &ModelName, now: MonotonicTime) -> Option<WeightsVersion> {
        let find = |versions: &[(ModelName, WeightsVersion)]| {
            let found = versions.iter().find(|(name, _)| name == model);
            found.map(|(_, version)| *version)
        };
        if let Some(version) = self.fresh_agent(now).and_then(|f| find(&f.versions)) {
            return Some(version);
        }
        let listed = find(&self.member.models);
        let seen = self.seen_versions.get(model).copied();
        listed.max(seen)
    }

    /// Takes note of the weights version in an answer.
    pub(super) fn observe_version(&mut self, model: &ModelName, version: WeightsVersion) {
        let seen = self.seen_versions.entry(model.clone()).or_insert(version);
        *seen = version.max(*seen);
    }

    /// Takes note of what the agent says.
    pub(super) fn observe_agent_report(&mut self, facts: AgentReport, now: MonotonicTime) {
        self.load.observe(facts.load, now);
        let reading = Duration::from_millis(u64::from(facts.prefill_ms));
        self.load.observe_reading(reading, now);
        self.agent = Some((facts, now));
    }

    /// Takes note of parts that the engine holds; `is_whole` tells that
    /// nothing else is held.
    pub(super) fn observe_cached_parts(&mut self, changes: &[CachedPartChange], is_whole: bool) {
        self.held.apply_all(changes, is_whole);
        for change in changes {
            self.forget_part(change.namespace, change.part);
        }
    }

    /// Expects a part that was just sent to be held soon.
    pub(super) fn expect_part(&mut self, namespace: u64, part: PartId, now: MonotonicTime) {
        self.expected.insert((namespace, part), now);
    }

    /// Withdraws the expectation of a part whose call did not run.
    pub(super) fn forget_part(&mut self, namespace: u64, part: PartId) {
        self.expected.remove(&(namespace, part));
    }

    /// Drops expectations that have not come true.
    pub(super) fn remove_stale_expectations(&mut self, now: MonotonicTime) {
        self.expected
            .retain(|_, sent| now.since(*sent) < EXPECTED_FOR);
    }

    /// Tells whether the server holds a part, or is about to.
    pub(super) fn holds(&self, namespace: u64, part: PartId, now: MonotonicTime) -> bool {
        let key = (namespace, part);
        let is_expected = self
            .expected
            .get(&key)
            .is_some_and(|sent| now.since(*sent) < EXPECTED_FOR);
        is_expected || self.held.holds(namespace, part)
    }

    /// Tells whether the server has read a part, as its events say.
    pub(super) fn has_read(&self, namespace: u64, part: PartId) -> bool {
        self.held.holds(namespace, part)
    }

    /// Time until the server changes its weights, if it is about to.
    pub(super) fn time_until_switch(&self, now: MonotonicTime) -> Option<Duration> {
        let (facts, heard_at) = self.agent.as_ref()?;
        let told = Duration::from_millis(u64::from(facts.switch_in_ms?));
        Some(told.saturating_sub(now.since(*heard_at)))
    }

    /// Tokens of KV cache that are free or can yield.
    pub(super) fn free_tokens(&self, now: MonotonicTime) -> Option<u64> {
        let facts = self.fresh_agent(now)?;
        Some(facts.capacity_tokens.saturating_sub(facts.used_tokens))
    }

    /// Takes note of how a call went.
    pub(super) fn record_outcome(&mut self, is_failure: bool) {
        let newest = if is_failure { 1.0 } else { 0.0 };
        self.failures += FAILURE_WEIGHT * (newest - self.failures);
        if !is_failure {
            self.pause = FIRST_PAUSE;
        }
    }

    /// Takes note that the server has answered, whatever it was.
    pub(super) fn record_answer(&mut self, now: MonotonicTime) {
        self.answered_at = Some(now);
    }

    /// Tells whether a call that has waited for `waited` should take the
    /// server for dead: its agent says so, or it answers nobody.
    pub(super) fn is_suspected_dead(&self, waited: Duration, now: MonotonicTime) -> bool {
        if self.fresh_agent(now).is_some_and(|facts| !facts.is_alive) {
            return true;
        }
        let is_mute = self
            .answered_at
            .is_none_or(|at| now.since(at) >= SUSPECT_SILENCE);
        waited >= SUSPECT_SILENCE && is_mute
    }

    /// Passes the server by for a while, after it could not be reached.
    pub(super) fn record_unreachable(&mut self, now: MonotonicTime) {
        self.paused_until = Some(now + self.pause);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    /// Tells whether the news of the agent beside the server are fresh.
    pub fn has_recent_agent_report(&self, now: MonotonicTime) -> bool {
        self.fresh_agent(now).is_some()
    }

    fn fresh_agent(&self, now: MonotonicTime) -> Option<&AgentReport> {
        self.agent
            .as_ref()
            .filter(|(_, heard_at)| now.since(*heard_at) < AGENT_SILENCE)
            .map(|(facts, _)| facts)
    }
}
