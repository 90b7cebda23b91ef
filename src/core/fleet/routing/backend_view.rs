//! Tracks what this process knows about one backend server: its record, agent
//! reports, cached parts, failures and liveness.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeStruct;

use super::CachedPartChange;
use super::RecordUse;
use super::ReportedLoad;
use super::backend_load::BackendLoad;
use super::part_table::PartTable;
use super::record_use::MIN_REPLACED_PERIOD;
use crate::core::MonotonicTime;
use crate::core::WeightsVersion;
use crate::core::fleet::Member;
use crate::core::fleet::MemberState;
use crate::core::fleet::ModelName;
use crate::core::fleet::PartId;
use crate::core::fleet::RunKey;
use crate::core::fleet::server_speed::AnswerGap;
use crate::core::fleet::server_speed::ServerSpeed;

/// Age from which an agent's report is ignored, except for the announced time
/// of an order and for the load estimate. Agents answer at least twice a
/// second.
const AGENT_REPORT_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Time within which a part sent to an engine appears in the engine's cache
/// events.
const EXPECTATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Weight of the latest outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// Backoff after the first failed connection; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(150);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Time without any answer from a server after which a waiting call treats it
/// as dead: several times a normal response time.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum factor by which [`LIVENESS_TIMEOUT`] is longer at a slow server: neighbours
/// were seen to slow servers by 2.5 times, some of which are slow themselves.
const MAX_LIVENESS_FACTOR: f64 = 4.0;

/// Report of the agent beside an engine.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct AgentReport {
    /// Whether the engine takes new calls; false shortly before and during a
    /// change of weights.
    pub is_accepting: bool,
    /// Whether the engine answers its agent.
    pub is_alive: bool,
    /// Milliseconds until the engine is ordered to change its weights, if they
    /// are outdated.
    pub switch_in_ms: Option<u32>,
    /// Weights version that the engine serves for each model.
    pub versions: Vec<(ModelName, WeightsVersion)>,
    /// Running and queued calls at the engine.
    pub load: ReportedLoad,
    /// Remaining milliseconds to prefill the prompts that entries have
    /// announced.
    #[serde(rename = "reading_ms")]
    pub prefill_ms: u32,
    /// Tokens in the KV cache that cannot be evicted.
    pub used_tokens: u64,
    /// Size of the KV cache, in tokens.
    pub capacity_tokens: u64,
    /// Slowness that the engine has usually stated, in percent; `None` if it states none.
    #[serde(default)]
    pub usual_slowness: Option<u16>,
    /// Term for which the agent needs a fencing token, since its engine is outdated.
    #[serde(default)]
    pub term_without_fence: Option<u64>,
}

/// Leaves out the last fields while they are empty, so that an earlier release can read
/// the message. Fields are encoded by position.
impl Serialize for AgentReport {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let has_term = self.term_without_fence.is_some();
        let has_slowness = has_term || self.usual_slowness.is_some();
        let count = 8 + usize::from(has_slowness) + usize::from(has_term);
        let mut fields = serializer.serialize_struct("AgentReport", count)?;
        fields.serialize_field("is_accepting", &self.is_accepting)?;
        fields.serialize_field("is_alive", &self.is_alive)?;
        fields.serialize_field("switch_in_ms", &self.switch_in_ms)?;
        fields.serialize_field("versions", &self.versions)?;
        fields.serialize_field("load", &self.load)?;
        fields.serialize_field("reading_ms", &self.prefill_ms)?;
        fields.serialize_field("used_tokens", &self.used_tokens)?;
        fields.serialize_field("capacity_tokens", &self.capacity_tokens)?;
        if has_slowness {
            fields.serialize_field("usual_slowness", &self.usual_slowness)?;
        }
        if has_term {
            fields.serialize_field("term_without_fence", &self.term_without_fence)?;
        }
        fields.end()
    }
}

/// Known state of one backend server.
#[derive(Debug)]
pub struct BackendView {
    /// The server's membership record.
    pub member: Member,
    /// Whether the configuration in force names its service.
    pub(super) has_known_service: bool,
    /// Whether a later run is listed at its address.
    pub(super) is_superseded: bool,
    /// Until when it gets no calls since another server has answered at its address.
    pub(super) replaced_until: Option<MonotonicTime>,
    /// Length of the next such period.
    pub(super) replaced_period: Duration,
    /// Whether another server has answered at its address since the record last changed,
    /// also after the period in which it gets no calls.
    pub(super) is_refuted: bool,
    /// Use of the record as last logged.
    pub(super) logged_use: RecordUse,
    /// Whether this run has said that it leaves, whatever its record says.
    pub(super) is_leaving: bool,
    /// Until when this run wants no calls, if it has asked for a pause.
    pub(super) paused_until: Option<MonotonicTime>,
    /// Whether this run names a limit on the calls that it takes.
    pub(super) is_limited: bool,
    pub(super) load: BackendLoad,
    pub(super) speed: ServerSpeed,
    pub(super) answer_gap: AnswerGap,
    /// Whether the log says that the server's speed differs, or that it is silent.
    pub(super) is_logged_uneven: bool,
    pub(super) is_logged_silent: bool,
    pub(super) failure_ratio: f64,
    pub(super) backoff_until: Option<MonotonicTime>,
    backoff: Duration,
    answered_at: Option<MonotonicTime>,
    agent_report: Option<(AgentReport, MonotonicTime)>,
    /// Since when the agent has said that the server is down; `None` if it does not say so.
    reported_down_since: Option<MonotonicTime>,
    /// Whether the report may have come while this process stood still.
    pub(super) is_report_backlog: bool,
    observed_versions: HashMap<ModelName, WeightsVersion>,
    cached_parts: PartTable,
    expected_parts: HashMap<(u64, PartId), MonotonicTime>,
}

impl BackendView {
    /// Creates the view of a server of which only the record is known.
    pub(super) fn new(member: Member) -> Self {
        Self {
            member,
            has_known_service: true,
            is_superseded: false,
            replaced_until: None,
            replaced_period: MIN_REPLACED_PERIOD,
            is_refuted: false,
            logged_use: RecordUse::Used,
            is_leaving: false,
            paused_until: None,
            is_limited: false,
            load: BackendLoad::default(),
            speed: ServerSpeed::default(),
            answer_gap: AnswerGap::default(),
            is_logged_uneven: false,
            is_logged_silent: false,
            failure_ratio: 0.0,
            backoff_until: None,
            backoff: MIN_BACKOFF,
            answered_at: None,
            agent_report: None,
            reported_down_since: None,
            is_report_backlog: false,
            observed_versions: HashMap::new(),
            cached_parts: PartTable::default(),
            expected_parts: HashMap::new(),
        }
    }

    /// Replaces the record. What answers of another server have shown ends with the one
    /// before. A different start time means a restart: the agent report, versions, cached
    /// and expected parts, speed and failure ratio of the earlier run are dropped, and an
    /// exclusion by backoff ends. The load and the length of the next backoff stay.
    pub(super) fn update(&mut self, member: Member) {
        if self.member.started_at_ms != member.started_at_ms {
            self.agent_report = None;
            self.reported_down_since = None;
            self.observed_versions.clear();
            self.cached_parts.clear();
            self.expected_parts.clear();
            self.failure_ratio = 0.0;
            self.backoff_until = None;
            self.speed = ServerSpeed::default();
            self.answer_gap = AnswerGap::default();
        }
        self.replaced_until = None;
        self.replaced_period = MIN_REPLACED_PERIOD;
        self.is_refuted = false;
        self.member = member;
    }

    /// Returns the key of the server's current run.
    pub fn run(&self) -> RunKey {
        RunKey::new(&self.member.name, self.member.started_at_ms)
    }

    /// Returns the calls of this process that are running at the server.
    pub fn own_calls(&self) -> u32 {
        self.load.own_calls()
    }

    /// Returns whether new calls may be sent to the server.
    pub fn accepts_calls(&self, now: MonotonicTime) -> bool {
        let is_backing_off = self.backoff_until.is_some_and(|until| now < until);
        let agent_allows = self
            .recent_agent_report(now)
            .is_none_or(|report| report.is_accepting && report.is_alive);
        self.is_in_service() && !is_backing_off && agent_allows && !self.is_paused(now)
    }

    /// Returns whether the record names a server that is used, or why it does not.
    pub fn record_use(&self) -> RecordUse {
        match self.replaced_until {
            _ if !self.has_known_service => RecordUse::UnknownService,
            _ if self.is_superseded => RecordUse::Superseded,
            Some(until) => RecordUse::Replaced { until },
            None => RecordUse::Used,
        }
    }

    /// Returns whether the record names a server that is used.
    pub(super) fn is_used(&self) -> bool {
        self.record_use() == RecordUse::Used
    }

    /// Returns whether the server takes calls at all. Which services get calls is up to
    /// the routes, also for calls that began under an earlier configuration.
    fn is_in_service(&self) -> bool {
        let is_current_run = !self.is_superseded && self.replaced_until.is_none();
        self.member.state == MemberState::Ready && is_current_run && !self.is_leaving
    }

    /// Returns whether the server wants no requests from this process now.
    pub fn is_paused(&self, now: MonotonicTime) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns the time until the end of the pause that the server has asked for;
    /// `None` if it is out of service or not paused.
    pub(super) fn pause_left(&self, now: MonotonicTime) -> Option<Duration> {
        let until = self.paused_until.filter(|_| self.is_in_service())?;
        (now < until).then(|| until.since(now))
    }

    /// Returns the server's weights version: from a recent agent report, or
    /// else the newer one of its record and its responses.
    pub(super) fn find_version(
        &self,
        model: &ModelName,
        now: MonotonicTime,
    ) -> Option<WeightsVersion> {
        if let Some(version) = self.reported_version(model, now) {
            return Some(version);
        }
        let registered = self.member.models.iter().find(|(name, _)| name == model);
        let registered = registered.map(|(_, version)| *version);
        let observed = self.observed_versions.get(model).copied();
        registered.max(observed)
    }

    /// Returns the server's weights version according to a recent report of its agent.
    pub fn reported_version(
        &self,
        model: &ModelName,
        now: MonotonicTime,
    ) -> Option<WeightsVersion> {
        let report = self.recent_agent_report(now)?;
        let found = report.versions.iter().find(|(name, _)| name == model);
        found.map(|(_, version)| *version)
    }

    /// Keeps the highest weights version seen in a response.
    pub(super) fn observe_version(&mut self, model: &ModelName, version: WeightsVersion) {
        let observed = self
            .observed_versions
            .entry(model.clone())
            .or_insert(version);
        *observed = version.max(*observed);
    }

    /// Stores the agent's report and updates the load estimate from it.
    pub(super) fn observe_agent_report(&mut self, report: AgentReport, now: MonotonicTime) {
        self.load.observe_report(report.load, now);
        if let Some(percent) = report.load.slowness {
            self.speed.observe_stated(percent, now);
        }
        if let Some(percent) = report.usual_slowness {
            self.speed.observe_usual(percent);
        }
        let prefill_time = Duration::from_millis(u64::from(report.prefill_ms));
        self.load.observe_prefill(prefill_time, now);
        self.reported_down_since = if report.is_alive {
            None
        } else {
            self.reported_down_since.or(Some(now))
        };
        self.agent_report = Some((report, now));
    }

    /// Applies changes of the engine's cached parts; `is_whole` means that no
    /// others are cached. Parts in `changes` are no longer expected.
    pub(super) fn observe_cached_parts(&mut self, changes: &[CachedPartChange], is_whole: bool) {
        self.cached_parts.apply_all(changes, is_whole);
        for change in changes {
            self.cancel_expected_part(change.namespace, change.part);
        }
    }

    /// Marks a part that was just sent as expected in the engine's cache.
    pub(super) fn expect_part(&mut self, namespace: u64, part: PartId, now: MonotonicTime) {
        self.expected_parts.insert((namespace, part), now);
    }

    /// Removes an expected part, whichever call was to bring it.
    pub(super) fn cancel_expected_part(&mut self, namespace: u64, part: PartId) {
        self.expected_parts.remove(&(namespace, part));
    }

    /// Removes expected parts that have not appeared within
    /// [`EXPECTATION_TIMEOUT`].
    pub(super) fn remove_stale_expectations(&mut self, now: MonotonicTime) {
        self.expected_parts
            .retain(|_, sent_at| now.since(*sent_at) < EXPECTATION_TIMEOUT);
    }

    /// Returns whether the engine has cached a part or is expected to do so
    /// soon.
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

    /// Returns whether the engine has cached a part, according to its events.
    pub(super) fn has_part(&self, namespace: u64, part: PartId) -> bool {
        self.cached_parts.contains(namespace, part)
    }

    /// Returns the time until the engine is ordered to change its weights, if
    /// that is announced. The time counts down from the last report, whatever
    /// its age.
    pub(super) fn time_until_order(&self, now: MonotonicTime) -> Option<Duration> {
        let (report, received_at) = self.agent_report.as_ref()?;
        let announced = Duration::from_millis(u64::from(report.switch_in_ms?));
        Some(announced.saturating_sub(now.since(*received_at)))
    }

    /// Returns the KV cache tokens that are free or can be evicted.
    pub(super) fn free_tokens(&self, now: MonotonicTime) -> Option<u64> {
        let report = self.recent_agent_report(now)?;
        Some(report.capacity_tokens.saturating_sub(report.used_tokens))
    }

    /// Updates the failure ratio; a success resets the backoff.
    pub(super) fn record_outcome(&mut self, is_failure: bool) {
        let outcome = if is_failure { 1.0 } else { 0.0 };
        self.failure_ratio += FAILURE_WEIGHT * (outcome - self.failure_ratio);
        if !is_failure {
            self.backoff = MIN_BACKOFF;
        }
    }

    /// Records that the server has answered, with whatever status.
    pub(super) fn record_answer(&mut self, now: MonotonicTime) {
        self.answered_at = Some(now);
        self.answer_gap.record_answer(now);
    }

    /// Returns how long ago the agent last reported and the server has not answered
    /// since; `None` if there is no report.
    pub(super) fn agent_silence(&self, now: MonotonicTime) -> Option<Duration> {
        let (_, received_at) = self.agent_report.as_ref()?;
        let heard_at = self
            .answered_at
            .map_or(*received_at, |at| at.max(*received_at));
        Some(now.since(heard_at))
    }

    /// Returns whether a call that has waited for `waited` should treat the server as dead.
    /// Either its agent has said that it is down, and the call has got nothing since; an
    /// agent may be wrong about a server that still sends. Or the call has waited for
    /// [`LIVENESS_TIMEOUT`] and the server has answered no call in that time. The time is
    /// longer by the factor `slowness` of a server that works slowly.
    pub(super) fn is_suspected_dead(
        &self,
        waited: Duration,
        slowness: f64,
        now: MonotonicTime,
    ) -> bool {
        let is_reported_down = self
            .recent_agent_report(now)
            .is_some_and(|report| !report.is_alive);
        let is_down_since = |since| waited >= now.since(since);
        if is_reported_down && self.reported_down_since.is_some_and(is_down_since) {
            return true;
        }
        let liveness_timeout = liveness_timeout(slowness);
        // What answers at the address of an earlier run is another server.
        let is_other_run = self.is_superseded || self.replaced_until.is_some();
        let is_silent = self
            .answered_at
            .is_none_or(|at| now.since(at) >= liveness_timeout);
        waited >= liveness_timeout && (is_silent || is_other_run)
    }

    /// Excludes the server for the backoff period after a failed connection,
    /// and doubles the next one.
    pub(super) fn record_unreachable(&mut self, now: MonotonicTime) {
        self.backoff_until = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Returns whether the agent's last report is recent enough to be used.
    pub fn has_recent_agent_report(&self, now: MonotonicTime) -> bool {
        self.recent_agent_report(now).is_some()
    }

    /// Returns when the agent's last report came, if it is recent enough to be used and
    /// did not wait to be read.
    pub(super) fn vouched_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.recent_agent_report(now)?;
        let (_, received_at) = self.agent_report.as_ref()?;
        (!self.is_report_backlog).then_some(*received_at)
    }

    /// Returns the term for which the server's agent needs a fencing token, if any.
    pub fn agent_term_without_fence(&self, now: MonotonicTime) -> Option<u64> {
        self.recent_agent_report(now)?.term_without_fence
    }

    fn recent_agent_report(&self, now: MonotonicTime) -> Option<&AgentReport> {
        self.agent_report
            .as_ref()
            .filter(|(_, received_at)| now.since(*received_at) < AGENT_REPORT_MAX_AGE)
            .map(|(report, _)| report)
    }
}

/// Returns the time without an answer after which a server is suspected dead that is
/// slower than usual by the factor `slowness`.
pub(super) fn liveness_timeout(slowness: f64) -> Duration {
    LIVENESS_TIMEOUT.mul_f64(slowness.clamp(1.0, MAX_LIVENESS_FACTOR))
}
