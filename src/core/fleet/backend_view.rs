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
const AGENT_REPORT_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Time in which a part that was sent to an engine appears in its events.
const EXPECTATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// First pause after a failed connection; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(150);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Time without any answer of a server after which a call that waits at it
/// takes it for dead: several times what an answer takes.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(700);

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
    pub(super) failure_ratio: f64,
    pub(super) backoff_until: Option<MonotonicTime>,
    backoff: Duration,
    answered_at: Option<MonotonicTime>,
    agent: Option<(AgentReport, MonotonicTime)>,
    observed_versions: HashMap<ModelName, WeightsVersion>,
    cached_parts: PartTable,
    expected_parts: HashMap<(u64, PartId), MonotonicTime>,
}

impl BackendView {
    /// Creates the view of a server of which only its record is known.
    pub(super) fn new(member: Member) -> Self {
        Self {
            member,
            is_superseded: false,
            load: BackendLoad::default(),
            failure_ratio: 0.0,
            backoff_until: None,
            backoff: MIN_BACKOFF,
            answered_at: None,
            agent: None,
            observed_versions: HashMap::new(),
            cached_parts: PartTable::default(),
            expected_parts: HashMap::new(),
        }
    }

    /// Takes over a new record; one of another start forgets what was known
    /// of the engine's memory.
    pub(super) fn update(&mut self, member: Member) {
        if self.member.started_at_ms != member.started_at_ms {
            self.agent = None;
            self.observed_versions.clear();
            self.cached_parts.clear();
            self.expected_parts.clear();
            self.failure_ratio = 0.0;
            self.backoff_until = None;
        }
        self.member = member;
    }

    /// Tells whether the server may be sent new calls.
    pub fn accepts_calls(&self, now: MonotonicTime) -> bool {
        let is_backing_off = self.backoff_until.is_some_and(|until| now < until);
        let agent_allows = self
            .recent_agent_report(now)
            .is_none_or(|report| report.is_accepting && report.is_alive);
        let is_ready = self.member.state == MemberState::Ready && !self.is_superseded;
        is_ready && !is_backing_off && agent_allows
    }

    /// Returns the weights version that the server is believed to have.
    pub(super) fn find_version(
        &self,
        model: &ModelName,
        now: MonotonicTime,
    ) -> Option<WeightsVersion> {
        let find = |versions: &[(ModelName, WeightsVersion)]| {
            let found = versions.iter().find(|(name, _)| name == model);
            found.map(|(_, version)| *version)
        };
        if let Some(version) = self
            .recent_agent_report(now)
            .and_then(|report| find(&report.versions))
        {
            return Some(version);
        }
        let registered = find(&self.member.models);
        let observed = self.observed_versions.get(model).copied();
        registered.max(observed)
    }

    /// Takes note of the weights version in an answer.
    pub(super) fn observe_version(&mut self, model: &ModelName, version: WeightsVersion) {
        let observed = self
            .observed_versions
            .entry(model.clone())
            .or_insert(version);
        *observed = version.max(*observed);
    }

    /// Takes note of what the agent says.
    pub(super) fn observe_agent_report(&mut self, report: AgentReport, now: MonotonicTime) {
        self.load.observe_report(report.load, now);
        let prefill_time = Duration::from_millis(u64::from(report.prefill_ms));
        self.load.observe_prefill(prefill_time, now);
        self.agent = Some((report, now));
    }

    /// Takes note of parts that the engine holds; `is_whole` tells that
    /// nothing else is held.
    pub(super) fn observe_cached_parts(&mut self, changes: &[CachedPartChange], is_whole: bool) {
        self.cached_parts.apply_all(changes, is_whole);
        for change in changes {
            self.cancel_expected_part(change.namespace, change.part);
        }
    }

    /// Expects a part that was just sent to be held soon.
    pub(super) fn expect_part(&mut self, namespace: u64, part: PartId, now: MonotonicTime) {
        self.expected_parts.insert((namespace, part), now);
    }

    /// Withdraws the expectation of a part whose call did not run.
    pub(super) fn cancel_expected_part(&mut self, namespace: u64, part: PartId) {
        self.expected_parts.remove(&(namespace, part));
    }

    /// Drops expectations that have not come true.
    pub(super) fn remove_stale_expectations(&mut self, now: MonotonicTime) {
        self.expected_parts
            .retain(|_, sent_at| now.since(*sent_at) < EXPECTATION_TIMEOUT);
    }

    /// Tells whether the server holds a part, or is about to.
    pub(super) fn has_or_expects_part(
        &self,
        namespace: u64,
        part: PartId,
        now: MonotonicTime,
    ) -> bool {
        let key = (namespace, part);
        let is_expected = self
            .expected_parts
            .get(&key)
            .is_some_and(|sent_at| now.since(*sent_at) < EXPECTATION_TIMEOUT);
        is_expected || self.cached_parts.contains(namespace, part)
    }

    /// Tells whether the server has read a part, as its events say.
    pub(super) fn has_part(&self, namespace: u64, part: PartId) -> bool {
        self.cached_parts.contains(namespace, part)
    }

    /// Time until the server changes its weights, if it is about to.
    pub(super) fn time_until_switch(&self, now: MonotonicTime) -> Option<Duration> {
        let (report, received_at) = self.agent.as_ref()?;
        let announced = Duration::from_millis(u64::from(report.switch_in_ms?));
        Some(announced.saturating_sub(now.since(*received_at)))
    }

    /// Tokens of KV cache that are free or can yield.
    pub(super) fn free_tokens(&self, now: MonotonicTime) -> Option<u64> {
        let report = self.recent_agent_report(now)?;
        Some(report.capacity_tokens.saturating_sub(report.used_tokens))
    }

    /// Takes note of how a call went.
    pub(super) fn record_outcome(&mut self, is_failure: bool) {
        let outcome = if is_failure { 1.0 } else { 0.0 };
        self.failure_ratio += FAILURE_WEIGHT * (outcome - self.failure_ratio);
        if !is_failure {
            self.backoff = MIN_BACKOFF;
        }
    }

    /// Takes note that the server has answered, whatever it was.
    pub(super) fn record_answer(&mut self, now: MonotonicTime) {
        self.answered_at = Some(now);
    }

    /// Tells whether a call that has waited for `waited` should take the
    /// server for dead: its agent says so, or it answers nobody.
    pub(super) fn is_suspected_dead(&self, waited: Duration, now: MonotonicTime) -> bool {
        if self
            .recent_agent_report(now)
            .is_some_and(|report| !report.is_alive)
        {
            return true;
        }
        let is_silent = self
            .answered_at
            .is_none_or(|at| now.since(at) >= LIVENESS_TIMEOUT);
        waited >= LIVENESS_TIMEOUT && is_silent
    }

    /// Passes the server by for a while, after it could not be reached.
    pub(super) fn record_unreachable(&mut self, now: MonotonicTime) {
        self.backoff_until = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Tells whether the news of the agent beside the server are fresh.
    pub fn has_recent_agent_report(&self, now: MonotonicTime) -> bool {
        self.recent_agent_report(now).is_some()
    }

    fn recent_agent_report(&self, now: MonotonicTime) -> Option<&AgentReport> {
        self.agent
            .as_ref()
            .filter(|(_, received_at)| now.since(*received_at) < AGENT_REPORT_MAX_AGE)
            .map(|(report, _)| report)
    }
}
