//! Chooses the backend server of each call and tracks the state of all servers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;

use super::AgentReport;
use super::BackendKey;
use super::BackendView;
use super::CacheIsolation;
use super::CachedPartChange;
use super::ReportedLoad;
use super::VersionedSalt;
use super::backend_view::liveness_timeout;
use super::call_costs;
use super::fetch_plan::PartSources;
use super::fetch_plan::VersionedNamespace;
use super::kv_cache_stores::KvCacheStores;
use super::prefill_time_factor::PrefillTimeFactor;
use super::server_pace::ServerPace;
use crate::core::AccountName;
use crate::core::MonotonicTime;
use crate::core::ServerName;
use crate::core::WeightsVersion;
use crate::core::fleet::Build;
use crate::core::fleet::BuildFilter;
use crate::core::fleet::DEFAULT_VERSION_TIME;
use crate::core::fleet::LimitNotice;
use crate::core::fleet::Member;
use crate::core::fleet::ModelName;
use crate::core::fleet::Prompt;
use crate::core::fleet::RunKey;
use crate::core::fleet::ServerLimits;
use crate::core::fleet::TargetVersion;
use crate::core::fleet::TargetsConfirmed;
use crate::core::fleet::server_limits::RunLimits;
use crate::core::fleet::server_speed::HotParts;
use crate::core::fleet::server_speed::ServiceSpeed;
use crate::core::fleet::server_speed::SpeedEvidence;
use crate::core::fleet::server_speed::WorkKind;
use crate::core::fleet::weights::TargetHistory;
use crate::core::fleet::weights::VersionStatus;
use crate::core::fleet::zone_balance::ServiceZones;

/// Time after this process learns of a newer version during which engines on
/// the older one cost nothing extra, since their responses are still worth as
/// much.
const OUTDATED_VERSION_GRACE: Duration = Duration::from_millis(1_300);

/// Share of the time allowed for a new version, from when this process learns of it,
/// after which no call is sent to an engine on an older one.
const OUTDATED_VERSION_MAX_SHARE: f64 = 0.75;

/// Cost of an older version between these times, in milliseconds.
const OUTDATED_VERSION_COST_MS: f64 = 250.0;

/// Time after which a caller should retry when no server is available.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Largest share of the remaining time that the predicted time to first token
/// may take.
const MAX_TTFT_SHARE: f64 = 0.8;

/// A call that needs a backend server.
#[derive(Debug)]
pub struct DispatchRequest<'a> {
    /// Name of the service that the call goes to.
    pub service: &'a str,
    /// Prompt, for a call to a model.
    pub prompt: Option<&'a Prompt>,
    /// The call's account, if it has one.
    pub account: Option<&'a AccountName>,
    /// Whether the account was isolated when the call was read.
    pub was_isolated: bool,
    /// Servers that earlier attempts were sent to; they are not chosen again.
    pub tried: &'a [BackendKey],
    /// Build at which the stream of the call began, if it goes on with one; servers
    /// of other builds are not chosen.
    pub build: Option<&'a Build>,
    /// Builds at which the call may run.
    pub builds: BuildFilter,
    /// Length of the body, if it is known.
    pub body_bytes: Option<u64>,
    /// Time until the caller's deadline.
    pub time_left: Duration,
}

impl DispatchRequest<'_> {
    fn allows_build(&self, build: &Build) -> bool {
        self.build.is_none_or(|begun| begun == build) && self.builds.allows(build)
    }
}

/// Chosen server and how it obtains the prompt's parts, with the predictions
/// that led to the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendChoice {
    /// Key of the server.
    pub key: BackendKey,
    /// Name of the server.
    pub name: ServerName,
    /// Address that the call is sent to.
    pub address: SocketAddr,
    /// Run of the server.
    pub run: RunKey,
    /// Version of the server's software.
    pub build: Build,
    /// Salt of the cached parts, for a call to a model.
    pub salt: Option<VersionedSalt>,
    /// Weights version that the choice assumes.
    pub version: Option<WeightsVersion>,
    /// Engine or KV cache store from which the server fetches the parts that it
    /// has not cached.
    pub fetch_from: Option<SocketAddr>,
    /// KV cache store that the server saves parts to.
    pub save_to: Option<SocketAddr>,
    /// Prompt tokens that the server has to prefill.
    pub prefill_tokens: u32,
    /// Tokens among them that another engine has already computed.
    pub recomputed_tokens: u32,
    /// Predicted time to prefill the prompt, without queueing and fetching.
    pub prefill_time: Duration,
    /// Predicted time to first token.
    pub predicted_ttft: Duration,
    /// Predicted time to the end of the response.
    pub predicted_end: Duration,
    /// Factor of the server's speed in the prediction of the prefill.
    pub prefill_factor: f64,
    /// Whether the response shows when the server begins it, as a stream does.
    pub shows_start: bool,
    /// Estimated number of calls at the server.
    pub load: f64,
    /// Age of the server's last load report.
    pub report_age: Option<Duration>,
    /// Part of `predicted_ttft` until the server begins the call's own work.
    pub predicted_wait: Duration,
    /// Estimated bytes that the call moves.
    pub moved_bytes: u64,
}

/// Reason why no server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchError {
    /// No server accepts calls now; retry after the given time.
    NoServer(Duration),
    /// The servers want no calls; the first pause ends after the given time.
    Paused(Duration),
    /// The servers take no more calls than they get; the first one takes a call after
    /// the given time.
    Limited(Duration),
    /// A part of the prompt is quarantined for the given time.
    QuarantinedPart(Duration),
    /// The call is quarantined, or must not be sent before servers that have crashed
    /// under it are known to be well, for the given time.
    QuarantinedCall(Duration),
    /// No server can start in time; holds the predicted time to first token at
    /// the best one.
    Overloaded(Duration),
}

/// Chooses the server with the lowest cost: predicted time to first token, plus
/// costs to the fleet such as prefilling parts that another engine has already
/// computed.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) zone: String,
    pub(super) backends: SlotMap<BackendKey, BackendView>,
    /// Services that the configuration in force names; `None` before the first one.
    pub(super) services: Option<HashSet<String>>,
    keys_by_name: HashMap<ServerName, BackendKey>,
    pub(super) keys_by_service: HashMap<String, Vec<BackendKey>>,
    target_versions: HashMap<ModelName, TargetHistory>,
    prefill_factors: HashMap<ModelName, PrefillTimeFactor>,
    kv_cache_stores: KvCacheStores,
    cache_isolation: CacheIsolation,
    run_limits: RunLimits,
    /// Time within which all engines have to be at a new weights version.
    version_time: Duration,
    pub(super) service_speeds: HashMap<String, ServiceSpeed>,
    pub(super) speed_evidence: SpeedEvidence,
    hot_parts: HotParts,
    pub(super) service_zones: HashMap<String, ServiceZones>,
    /// Cost of a megabyte that passes between zones.
    pub(super) zone_cost_ms_per_mb: f64,
    /// Limits that servers name on the calls of all entries together.
    pub server_limits: ServerLimits,
    /// When the known target versions were last the newest.
    pub targets_confirmed: TargetsConfirmed,
}

impl Dispatcher {
    /// Creates a dispatcher without servers for an entry in the given
    /// availability zone. The entry has no name, so it must be the only one.
    pub fn new(zone: &str) -> Self {
        Self::for_entry(zone, "")
    }

    /// Creates a dispatcher without servers for the entry `name` in the given
    /// availability zone.
    pub fn for_entry(zone: &str, name: &str) -> Self {
        Self {
            zone: zone.into(),
            backends: SlotMap::with_key(),
            services: None,
            keys_by_name: HashMap::new(),
            keys_by_service: HashMap::new(),
            target_versions: HashMap::new(),
            prefill_factors: HashMap::new(),
            kv_cache_stores: KvCacheStores::default(),
            cache_isolation: CacheIsolation::default(),
            run_limits: RunLimits::default(),
            version_time: DEFAULT_VERSION_TIME,
            service_speeds: HashMap::new(),
            speed_evidence: SpeedEvidence::default(),
            hot_parts: HotParts::default(),
            service_zones: HashMap::new(),
            zone_cost_ms_per_mb: 0.0,
            server_limits: ServerLimits::new(name, MonotonicTime::ZERO),
            targets_confirmed: TargetsConfirmed::default(),
        }
    }

    /// Sets the time within which all engines have to be at a new weights version.
    pub fn set_version_time(&mut self, version_time: Duration) {
        self.version_time = version_time;
    }

    /// Inserts or updates a server's record. Of two records with the same
    /// address, the one with the earlier start belongs to a run that has ended, unless
    /// the other one names no server to use.
    pub fn upsert_member(&mut self, member: Member) -> BackendKey {
        let address = member.address;
        let old_address = self.find_record(&member.name).map(|old| old.address);
        let key = self.upsert_record(member);
        if let Some(view) = self.backends.get_mut(key) {
            let run = view.run();
            view.is_leaving = self.run_limits.is_leaving(run);
            view.paused_until = self.run_limits.paused_until(run);
            view.is_limited = self.server_limits.calls_per_s(run).is_some();
        }
        self.update_uses(address);
        if let Some(old_address) = old_address.filter(|old| *old != address) {
            self.update_uses(old_address);
        }
        key
    }

    fn find_record(&self, name: &ServerName) -> Option<&Member> {
        let key = self.keys_by_name.get(name)?;
        self.backends.get(*key).map(|view| &view.member)
    }

    fn upsert_record(&mut self, member: Member) -> BackendKey {
        if let Some(&key) = self.keys_by_name.get(&member.name) {
            let is_moved = self
                .backends
                .get(key)
                .is_some_and(|view| view.member.service != member.service);
            if !is_moved {
                if let Some(view) = self.backends.get_mut(key) {
                    view.update(member);
                }
                return key;
            }
            self.remove_member(&member.name);
        }
        let (name, service) = (member.name.clone(), member.service.clone());
        let key = self.backends.insert(BackendView::new(member));
        self.keys_by_name.insert(name, key);
        self.keys_by_service.entry(service).or_default().push(key);
        key
    }

    /// Removes a server and everything known about it.
    pub fn remove_member(&mut self, name: &ServerName) {
        let Some(key) = self.keys_by_name.remove(name) else {
            return;
        };
        let Some(view) = self.backends.remove(key) else {
            return;
        };
        if let Some(keys) = self.keys_by_service.get_mut(&view.member.service) {
            keys.retain(|&other| other != key);
        }
        self.update_uses(view.member.address);
    }

    /// Records a target version and returns whether it is newer than the known
    /// ones. It was named after `named_after`, or at an unknown time.
    pub fn observe_target_version(
        &mut self,
        target: &TargetVersion,
        named_after: Option<MonotonicTime>,
    ) -> bool {
        let history = self
            .target_versions
            .entry(target.model.clone())
            .or_default();
        history.add_if_newer(target, named_after)
    }

    /// Returns the newest target version of each model.
    pub fn list_target_versions(&self) -> Vec<TargetVersion> {
        self.target_versions
            .values()
            .filter_map(|history| history.newest().cloned())
            .collect()
    }

    /// Sets the addresses of the KV cache stores. What is known of those that
    /// stay is kept.
    pub fn set_kv_cache_stores(&mut self, addresses: &[SocketAddr]) {
        self.kv_cache_stores.set_addresses(addresses);
    }

    /// Sets which accounts are isolated, for all calls that are sent from now on.
    pub fn set_cache_isolation(&mut self, isolation: CacheIsolation) {
        self.cache_isolation = isolation;
    }

    /// Returns whether a KV cache store has this address.
    pub fn is_kv_cache_store(&self, address: SocketAddr) -> bool {
        self.kv_cache_stores.contains(address)
    }

    /// Returns the name of the server that is used at an address.
    pub fn find_name_at(&self, address: SocketAddr) -> Option<&ServerName> {
        let mut used = self.backends.values().filter(|view| view.is_used());
        let view = used.find(|view| view.member.address == address)?;
        Some(&view.member.name)
    }

    /// Returns the addresses of the KV cache stores.
    pub fn list_kv_cache_stores(&self) -> Vec<SocketAddr> {
        self.kv_cache_stores.addresses()
    }

    /// Records that a KV cache store does not answer. Until it does, nothing is
    /// fetched from it or saved to it, since attempts would only cost time.
    pub fn mark_kv_cache_store_unreachable(&mut self, address: SocketAddr) {
        if let Some(store) = self.kv_cache_stores.find_mut(address) {
            store.is_unreachable = true;
        }
    }

    /// Records that a KV cache store is reachable, but that its parts cannot be
    /// watched, because it serves a limited number of readers. Parts saved by
    /// calls of this process are then assumed to be stored.
    pub fn mark_kv_cache_store_unwatched(&mut self, address: SocketAddr) {
        if let Some(store) = self.kv_cache_stores.find_mut(address) {
            store.is_unreachable = false;
            store.is_unwatched = true;
        }
    }

    /// Records that a call's prompt has been prefilled, so that the engine is
    /// saving its parts. Has an effect only while the KV cache store is not
    /// watched.
    pub fn record_saved_parts(&mut self, choice: &BackendChoice, prompt: &Prompt) {
        let (Some(salt), Some(address)) = (&choice.salt, choice.save_to) else {
            return;
        };
        let store = self.kv_cache_stores.find_mut(address);
        let Some(store) = store.filter(|store| store.is_unwatched) else {
            return;
        };
        let namespace = salt.namespace(&prompt.model);
        for part in prompt.shared_parts() {
            store.parts.apply(CachedPartChange {
                namespace,
                part: part.id,
                tokens: part.tokens,
            });
        }
    }

    /// Applies changes of the parts in a KV cache store, which is then reachable
    /// and watched; `is_whole` means that it holds no others.
    pub fn observe_kv_cache_store(
        &mut self,
        address: SocketAddr,
        changes: &[CachedPartChange],
        is_whole: bool,
    ) {
        if let Some(store) = self.kv_cache_stores.find_mut(address) {
            store.observe(changes, is_whole);
        }
    }

    /// Passes an agent's report to its server's view; ignored for unknown
    /// servers.
    pub fn observe_agent_report(
        &mut self,
        name: &ServerName,
        report: AgentReport,
        now: MonotonicTime,
    ) {
        let is_backlog = self.targets_confirmed.is_reading_backlog(now);
        if let Some(view) = self.find_backend_mut(name) {
            view.observe_agent_report(report, now);
            view.is_report_backlog = is_backlog;
        }
        let Some(key) = self.keys_by_name.get(name).copied() else {
            return;
        };
        self.activate_if_stated(key, now);
        if let Some(speed) = self.find_service_speed(key) {
            speed.record_agent_report(now);
        }
    }

    /// Applies changes of an engine's cached parts; `is_whole` means that it
    /// has no others.
    pub fn observe_cached_parts(
        &mut self,
        name: &ServerName,
        changes: &[CachedPartChange],
        is_whole: bool,
    ) {
        if let Some(view) = self.find_backend_mut(name) {
            view.observe_cached_parts(changes, is_whole);
        }
    }

    /// Updates a server's load from the report in a response.
    pub fn observe_load(&mut self, key: BackendKey, load: ReportedLoad, now: MonotonicTime) {
        if let Some(view) = self.backends.get_mut(key) {
            view.load.observe_report(load, now);
            if let Some(percent) = load.slowness {
                view.speed.observe_stated(percent, now);
            }
        }
        self.activate_if_stated(key, now);
    }

    /// Updates a server's weights version from a response.
    pub fn observe_version(&mut self, key: BackendKey, model: &ModelName, version: WeightsVersion) {
        if let Some(view) = self.backends.get_mut(key) {
            view.observe_version(model, version);
        }
    }

    /// Returns the used servers of a service.
    pub fn list_service_backends(&self, service: &str) -> impl Iterator<Item = &BackendView> {
        let keys = self
            .keys_by_service
            .get(service)
            .map_or(&[][..], Vec::as_slice);
        keys.iter()
            .filter_map(|&key| self.backends.get(key))
            .filter(|view| view.is_used())
    }

    /// Lists the servers of a service that accept calls.
    pub fn list_accepting(&self, service: &str, now: MonotonicTime) -> Vec<BackendKey> {
        let keys = self.keys_by_service.get(service);
        let keys = keys.map_or(&[][..], Vec::as_slice).iter().copied();
        let accepts = |key: &BackendKey| {
            let view = self.backends.get(*key);
            view.is_some_and(|view| view.accepts_calls(now))
        };
        keys.filter(accepts).collect()
    }

    /// Returns the server with a name if it is used.
    pub fn find_backend(&self, name: &ServerName) -> Option<&BackendView> {
        let key = self.keys_by_name.get(name)?;
        self.backends.get(*key).filter(|view| view.is_used())
    }

    /// Returns all used servers.
    pub fn list_backends(&self) -> impl Iterator<Item = &BackendView> {
        self.backends.values().filter(|view| view.is_used())
    }

    /// Chooses the server with the lowest cost for a call.
    ///
    /// # Errors
    ///
    /// No server accepts the call, or none is predicted to start in time.
    pub fn choose(
        &self,
        req: &DispatchRequest<'_>,
        now: MonotonicTime,
    ) -> Result<BackendChoice, DispatchError> {
        let keys = self.keys_by_service.get(req.service);
        let keys = keys.map_or(&[][..], Vec::as_slice);
        let speed = self.service_speeds.get(req.service);
        let zone_cost = self.zone_cost(req);
        let mut sources: HashMap<u64, PartSources<'_>> = HashMap::new();
        let mut best: Option<(f64, BackendChoice)> = None;
        for &key in keys.iter().filter(|key| !req.tried.contains(key)) {
            let Some(view) = self.backends.get(key).filter(|v| v.accepts_calls(now)) else {
                continue;
            };
            if view.is_limited && !self.server_limits.allows_call(view.run(), now) {
                continue;
            }
            if !req.allows_build(&view.member.build) {
                continue;
            }
            let evaluated = match req.prompt {
                None => Some(self.evaluate_plain_call(key, view, speed, now)),
                Some(prompt) => {
                    self.evaluate_engine_call((key, view), prompt, req, speed, &mut sources, now)
                }
            };
            let Some((cost_ms, choice)) = evaluated else {
                continue;
            };
            let cost_ms = cost_ms + self.silence_cost_ms(view, speed, now) + zone_cost.of(view);
            if best
                .as_ref()
                .is_none_or(|(lowest_ms, _)| cost_ms < *lowest_ms)
            {
                best = Some((cost_ms, choice));
            }
        }
        let (_, mut choice) = best.ok_or_else(|| self.explain_no_server(keys, req, now))?;
        choice.moved_bytes = req.moved_bytes();
        if choice.predicted_ttft > req.time_left.mul_f64(MAX_TTFT_SHARE) {
            return Err(DispatchError::Overloaded(choice.predicted_ttft));
        }
        Ok(choice)
    }

    /// Returns why no server of `keys` was chosen.
    fn explain_no_server(
        &self,
        keys: &[BackendKey],
        req: &DispatchRequest<'_>,
        now: MonotonicTime,
    ) -> DispatchError {
        let views = keys.iter().filter_map(|key| self.backends.get(*key));
        let views: Vec<&BackendView> = views
            .filter(|view| req.allows_build(&view.member.build))
            .collect();
        let pause = views.iter().filter_map(|view| view.pause_left(now)).min();
        let limit = views
            .iter()
            .filter(|view| view.is_limited && view.accepts_calls(now))
            .map(|view| self.server_limits.time_until_call(view.run(), now))
            .filter(|time_left| !time_left.is_zero())
            .min();
        match (pause, limit) {
            (None, None) => DispatchError::NoServer(NO_SERVER_RETRY_AFTER),
            (Some(pause), None) => DispatchError::Paused(pause),
            (None, Some(limit)) => DispatchError::Limited(limit),
            (Some(pause), Some(limit)) if pause < limit => DispatchError::Paused(pause),
            (Some(_), Some(limit)) => DispatchError::Limited(limit),
        }
    }

    /// Records that a call was sent: it adds to the server's load, and its
    /// shared parts are expected in the server's cache.
    pub fn begin_call(
        &mut self,
        choice: &BackendChoice,
        prompt: Option<&Prompt>,
        now: MonotonicTime,
    ) {
        let Some(view) = self.backends.get_mut(choice.key) else {
            return;
        };
        if let Some(last) = prompt.and_then(|prompt| prompt.shared_parts().last()) {
            self.hot_parts.record_call(last.id, now);
        }
        if view.is_limited {
            self.server_limits.take_call(choice.run, now);
        }
        // Other calls show their start only by their end, and their work differs.
        let work = choice.predicted_end.saturating_sub(choice.predicted_ttft);
        let (due_after, answer_after) = if prompt.is_some() && choice.shows_start {
            (choice.predicted_ttft, choice.predicted_ttft)
        } else {
            (choice.predicted_end + work, choice.predicted_end)
        };
        view.load.begin_call(choice.prefill_time, now + due_after);
        view.answer_gap.record_send(answer_after, now);
        if let (Some(prompt), Some(salt)) = (prompt, &choice.salt) {
            let namespace = salt.namespace(&prompt.model);
            for part in prompt.shared_parts() {
                view.expect_part(namespace, part.id, now);
            }
        }
        let has_left = view.member.zone != self.zone;
        let service = view.member.service.clone();
        self.record_zone(&service, choice.moved_bytes, has_left, now);
    }

    /// Adjusts the model's prefill time factor by the measured time to first
    /// token.
    pub fn record_first_token(
        &mut self,
        choice: &BackendChoice,
        model: &ModelName,
        ttft: Duration,
    ) {
        let prefill_factor = self.prefill_factors.entry(model.clone()).or_default();
        prefill_factor.observe(ttft, choice.prefill_time, choice.predicted_ttft);
    }

    /// Removes the call's prefill time from the load, after its first token or
    /// when it will not be prefilled.
    pub fn end_prefill(&mut self, choice: &BackendChoice) {
        if let Some(view) = self.backends.get_mut(choice.key) {
            view.load.end_prefill(choice.prefill_time);
        }
    }

    /// Removes an ended call from the server's load.
    pub fn end_call(&mut self, choice: &BackendChoice) {
        if let Some(view) = self.backends.get_mut(choice.key) {
            view.load.end_call();
            if view.load.own_calls() == 0 {
                view.answer_gap.record_idle();
            }
        }
    }

    /// Stops expecting the parts of a call that did not run, also those that
    /// another running call with the same parts would still bring.
    pub fn forget_expected_parts(&mut self, choice: &BackendChoice, prompt: Option<&Prompt>) {
        let Some(view) = self.backends.get_mut(choice.key) else {
            return;
        };
        if let (Some(prompt), Some(salt)) = (prompt, &choice.salt) {
            let namespace = salt.namespace(&prompt.model);
            for part in prompt.shared_parts() {
                view.cancel_expected_part(namespace, part.id);
            }
        }
    }

    /// Records that a server has answered, with whatever status.
    pub fn record_answer(&mut self, key: BackendKey, now: MonotonicTime) {
        if let Some(view) = self.backends.get_mut(key) {
            view.record_answer(now);
        }
        if let Some(speed) = self.find_service_speed(key) {
            speed.record_answer(now);
        }
    }

    /// Returns whether a call that has waited for `waited` should treat the server as dead.
    /// A server that was removed, superseded or replaced may go on with its calls, so those
    /// that get something of it stay.
    pub fn is_suspected_dead(&self, key: BackendKey, waited: Duration, now: MonotonicTime) -> bool {
        let Some(view) = self.backends.get(key) else {
            return waited >= liveness_timeout(1.0);
        };
        view.is_suspected_dead(waited, self.pace_of(view, now).slowest(), now)
    }

    /// Updates a server's failure ratio by the outcome of a call.
    pub fn record_outcome(&mut self, key: BackendKey, is_failure: bool) {
        if let Some(view) = self.backends.get_mut(key) {
            view.record_outcome(is_failure);
        }
    }

    /// Records that a run leaves, as it has said itself. It gets no new calls, also
    /// if its record is written again. Returns the server's name if that is new and
    /// it is listed.
    pub fn record_leaving(&mut self, run: RunKey, now: MonotonicTime) -> Option<ServerName> {
        if !self.run_limits.record_leaving(run, now) {
            return None;
        }
        let view = self.backends.values_mut().find(|view| view.run() == run)?;
        view.is_leaving = true;
        Some(view.member.name.clone())
    }

    /// Records that a run wants no calls for a time.
    pub fn record_pause(&mut self, choice: &BackendChoice, pause: Duration, now: MonotonicTime) {
        let until = self.run_limits.record_pause(choice.run, pause, now);
        let view = self.backends.get_mut(choice.key);
        if let Some(view) = view.filter(|view| view.run() == choice.run) {
            view.paused_until = Some(until);
        }
    }

    /// Returns whether the record of a server is still that of the run to which a call was
    /// sent. What an earlier run answers says nothing of a later one.
    pub fn lists_run(&self, choice: &BackendChoice) -> bool {
        let view = self.backends.get(choice.key);
        view.is_some_and(|view| view.run() == choice.run)
    }

    /// Records that the listed run of a server wants no requests for a time.
    pub fn record_engine_pause(&mut self, name: &ServerName, pause: Duration, now: MonotonicTime) {
        let Some(run) = self.find_backend(name).map(BackendView::run) else {
            return;
        };
        let until = self.run_limits.record_pause(run, pause, now);
        if let Some(view) = self.find_backend_mut(name) {
            view.paused_until = Some(until);
        }
    }

    /// Records the limit that a server names in an answer to a call sent at `sent_at`,
    /// or that it names none. Returns whether it changed.
    pub fn record_server_limit(
        &mut self,
        choice: &BackendChoice,
        calls_per_s: Option<f64>,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        let run = choice.run;
        let is_changed = self
            .server_limits
            .record_answer(run, calls_per_s, sent_at, now);
        if is_changed {
            self.server_limits.refresh(now);
            if let Some(view) = self.backends.get_mut(choice.key) {
                view.is_limited = view.run() == run && calls_per_s.is_some();
            }
        }
        is_changed
    }

    /// Applies limits that another entry tells of. Returns the names of the listed
    /// servers whose limits changed, with the limits in calls a second.
    pub fn apply_limit_notices(
        &mut self,
        notices: &[LimitNotice],
        now: MonotonicTime,
    ) -> Vec<(ServerName, Option<f64>)> {
        let changed = self.server_limits.apply_notices(notices, now);
        if changed.is_empty() {
            return Vec::new();
        }
        self.server_limits.refresh(now);
        let mut servers = Vec::new();
        for view in self.backends.values_mut() {
            let run = view.run();
            if changed.contains(&run) {
                let calls_per_s = self.server_limits.calls_per_s(run);
                view.is_limited = calls_per_s.is_some();
                servers.push((view.member.name.clone(), calls_per_s));
            }
        }
        servers
    }

    /// Returns the listed runs that have said that they leave.
    pub fn list_leaving_runs(&self) -> Vec<RunKey> {
        let leaving = self.backends.values().filter(|view| view.is_leaving);
        leaving.map(BackendView::run).collect()
    }

    /// Starts a server's backoff after a failed connection.
    pub fn record_unreachable(&mut self, key: BackendKey, now: MonotonicTime) {
        if let Some(view) = self.backends.get_mut(key) {
            view.record_unreachable(now);
        }
    }

    /// Removes expected parts that did not appear in time and what is no longer
    /// needed of earlier runs; to be called at regular intervals.
    pub fn remove_stale_expectations(&mut self, now: MonotonicTime) {
        self.run_limits.expire(now);
        self.server_limits.refresh(now);
        for view in self.backends.values_mut() {
            view.remove_stale_expectations(now);
        }
    }

    fn find_backend_mut(&mut self, name: &ServerName) -> Option<&mut BackendView> {
        let key = self.keys_by_name.get(name)?;
        self.backends.get_mut(*key)
    }

    fn evaluate_plain_call(
        &self,
        key: BackendKey,
        view: &BackendView,
        speed: Option<&ServiceSpeed>,
        now: MonotonicTime,
    ) -> (f64, BackendChoice) {
        let pace = ServerPace::new(view, speed, now);
        let load = pace.estimate_calls(view, now);
        let hold_ms = pace.slot_hold_ms(WorkKind::Plain, call_costs::PLAIN_SLOT_HOLD_MS);
        let wait_ms = pace.slot_wait_ms(view, hold_ms, now) + pace.overdue_ms(view, now);
        // Spreads calls over servers with free slots, whose wait is 0.
        let spread_ms = load / f64::from(view.member.slots.max(1)) * hold_ms / 4.0;
        // The work itself takes longer at a slow server, also if a slot is free.
        let work_ms = if pace.is_active { hold_ms } else { 0.0 };
        let cost_ms = wait_ms + spread_ms + work_ms + self.server_cost_ms(view);
        let choice = BackendChoice {
            predicted_end: milliseconds(wait_ms + hold_ms),
            ..build_choice(key, view, load, wait_ms, now)
        };
        (cost_ms, choice)
    }

    fn evaluate_engine_call<'a>(
        &self,
        (key, view): (BackendKey, &BackendView),
        prompt: &'a Prompt,
        req: &DispatchRequest<'_>,
        speed: Option<&ServiceSpeed>,
        sources: &mut HashMap<u64, PartSources<'a>>,
        now: MonotonicTime,
    ) -> Option<(f64, BackendChoice)> {
        let version = view.find_version(&prompt.model, now)?;
        let status = self.status_of(&prompt.model, version);
        let version_cost_ms = self.version_cost_ms(status, now)?;
        let salt = self
            .cache_isolation
            .find_salt(version, req.account, req.was_isolated);
        let namespace = salt.namespace(&prompt.model);
        let sources = sources.entry(namespace).or_insert_with(|| {
            let store = self.kv_cache_stores.find_for(prompt);
            let store = store.map(|store| (store.address, &store.parts));
            let engines = self.list_service_backends(req.service);
            let salted = VersionedNamespace {
                namespace,
                version,
                status,
                confirmed_at: self.targets_confirmed.at(),
            };
            PartSources::find(prompt, salted, store, engines, now)
        });
        let pace = ServerPace::new(view, speed, now);
        let load = pace.estimate_calls(view, now);
        let queued_prefill_ms = pace.estimate_prefill_ms(view, call_costs::ASSUMED_PREFILL_MS, now);
        let hold_ms = pace.slot_hold_ms(WorkKind::Decode, call_costs::ENGINE_SLOT_HOLD_MS);
        let wait_ms = queued_prefill_ms + pace.slot_wait_ms(view, hold_ms, now);
        let plan = sources.plan_fetch(view, milliseconds(wait_ms), now);
        let prefill_tokens = plan.recomputed_tokens + plan.new_tokens;
        let prefill_factor = self
            .prefill_factors
            .get(&prompt.model)
            .copied()
            .unwrap_or_default();
        let prefill_ms = call_costs::predict_prefill_ms(prompt, prefill_tokens)
            * prefill_factor.value()
            * pace.prefill.value;
        let is_from_store = plan
            .source
            .is_some_and(|source| self.kv_cache_stores.contains(source));
        let ttft_ms = wait_ms
            + prefill_ms
            + f64::from(plan.fetched_tokens) / call_costs::fetch_tokens_per_ms(is_from_store);
        let cost_ms = ttft_ms
            + version_cost_ms
            + load * call_costs::CONCURRENT_CALL_COST_MS * pace.decode.value
            + call_costs::slow_decode_cost_ms(prompt, pace.decode.value)
            + f64::from(plan.recomputed_tokens)
                * call_costs::RECOMPUTE_COST_MS_PER_TOKEN
                * self.copy_share(prompt, pace, now)
            + call_costs::switch_cost_ms(prompt, ttft_ms, view, now)
            + call_costs::affinity_cost_ms(&plan, sources.is_preferred(view))
            + call_costs::memory_cost_ms(prompt, view, now)
            + self.server_cost_ms(view);
        let save_to = sources.find_incomplete_store();
        let choice = BackendChoice {
            predicted_wait: Duration::from_secs_f64(wait_ms.max(0.0) / 1_000.0),
            salt: Some(salt),
            version: Some(version),
            fetch_from: plan.source,
            save_to,
            prefill_tokens,
            prefill_time: Duration::from_secs_f64(prefill_ms / 1_000.0),
            predicted_end: milliseconds(
                ttft_ms + call_costs::predict_output_ms(prompt) * pace.output_factor(),
            ),
            prefill_factor: pace.prefill.value,
            recomputed_tokens: plan.recomputed_tokens,
            ..build_choice(key, view, load, ttft_ms, now)
        };
        Some((cost_ms, choice))
    }

    fn status_of(&self, model: &ModelName, version: WeightsVersion) -> VersionStatus {
        self.target_versions
            .get(model)
            .map_or(VersionStatus::Current, |history| history.status_of(version))
    }

    /// Returns the cost of a weights version, or `None` if it must not be used:
    /// it has been outdated for too long or since an unknown time.
    fn version_cost_ms(&self, status: VersionStatus, now: MonotonicTime) -> Option<f64> {
        let VersionStatus::Outdated(since) = status else {
            return Some(0.0);
        };
        let age = now.since(since?);
        if age < OUTDATED_VERSION_GRACE {
            Some(0.0)
        } else if age < self.version_time.mul_f64(OUTDATED_VERSION_MAX_SHARE) {
            Some(OUTDATED_VERSION_COST_MS)
        } else {
            None
        }
    }

    /// Returns the share of the cost of computing parts again that a call bears. Less
    /// than 1 for prompts in demand, so that they spread over more engines when those
    /// that hold them are busy.
    fn copy_share(&self, prompt: &Prompt, pace: ServerPace, now: MonotonicTime) -> f64 {
        match prompt.shared_parts().last() {
            Some(last) if pace.is_active => self.hot_parts.copy_share(last.id, now),
            _ => 1.0,
        }
    }

    fn server_cost_ms(&self, view: &BackendView) -> f64 {
        let zone = if view.member.zone == self.zone {
            0.0
        } else {
            call_costs::OTHER_ZONE_COST_MS
        };
        zone + view.failure_ratio * call_costs::FAILURE_COST_MS
    }
}

fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}

fn build_choice(
    key: BackendKey,
    view: &BackendView,
    load: f64,
    ttft_ms: f64,
    now: MonotonicTime,
) -> BackendChoice {
    BackendChoice {
        key,
        name: view.member.name.clone(),
        address: view.member.address,
        run: view.run(),
        build: view.member.build.clone(),
        salt: None,
        version: None,
        fetch_from: None,
        save_to: None,
        prefill_tokens: 0,
        prefill_time: Duration::ZERO,
        recomputed_tokens: 0,
        predicted_ttft: milliseconds(ttft_ms),
        predicted_end: milliseconds(ttft_ms),
        prefill_factor: 1.0,
        shows_start: true,
        load,
        report_age: view.load.report_age(now),
        predicted_wait: Duration::from_secs_f64(ttft_ms.max(0.0) / 1_000.0),
        moved_bytes: 0,
    }
}
