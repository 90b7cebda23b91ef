//! Where a call goes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;

use super::AgentReport;
use super::BackendKey;
use super::BackendView;
use super::CachedPartChange;
use super::Member;
use super::ModelName;
use super::Prompt;
use super::ReportedLoad;
use super::TargetVersion;
use super::VersionedSalt;
use super::call_costs;
use super::fetch_plan::PartSources;
use super::part_table::PartTable;
use super::prefill_time_factor::PrefillTimeFactor;
use super::target_history::Standing;
use super::target_history::TargetHistory;
use crate::core::AccountName;
use crate::core::MonotonicTime;
use crate::core::ServerName;
use crate::core::WeightsVersion;

/// Time after a newer version was named in which engines on the older one are
/// as good, since answers are still worth all.
const OLD_VERSION_FREE: Duration = Duration::from_millis(1_300);

/// Time after which no call is sent to an engine on an older version.
const OLD_VERSION_LIMIT: Duration = Duration::from_millis(4_500);

/// Cost of an older version between these, in milliseconds.
const OLD_VERSION_MS: f64 = 250.0;

/// Time to come back after when no server can be asked now.
const NO_SERVER_RETRY: Duration = Duration::from_millis(400);

/// Part of the time left by which the first token must be predicted.
const LATEST_START: f64 = 0.8;

/// A call that needs a server.
#[derive(Debug)]
pub struct DispatchRequest<'a> {
    /// Service that it goes to.
    pub service: &'a str,
    /// The prompt, of a call to a model.
    pub prompt: Option<&'a Prompt>,
    /// The account, if it shares no cached parts with others.
    pub isolated_account: Option<&'a AccountName>,
    /// Servers that were asked before.
    pub tried: &'a [BackendKey],
    /// Time that the caller still waits.
    pub time_left: Duration,
}

/// Where a call goes and how.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendChoice {
    /// The server.
    pub key: BackendKey,
    /// Its name.
    pub name: ServerName,
    /// Its address.
    pub address: SocketAddr,
    /// Salt of its cached parts, for a call to a model.
    pub salt: Option<VersionedSalt>,
    /// Weights version that the call is planned for.
    pub version: Option<WeightsVersion>,
    /// Where the server gets parts that it does not hold.
    pub fetch_from: Option<SocketAddr>,
    /// Store that the server saves parts to.
    pub save_to: Option<SocketAddr>,
    /// Prompt tokens that the server has to read.
    pub prefill_tokens: u32,
    /// Tokens among them that another engine has read.
    pub recomputed_tokens: u32,
    /// Predicted time to read the prompt alone.
    pub prefill_time: Duration,
    /// Predicted time to the first token.
    pub predicted_ttft: Duration,
    /// Calls that are believed to be at the server.
    pub load: f64,
    /// Age of the server's last load report.
    pub report_age: Option<Duration>,
}

/// Reason for which no server is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchError {
    /// No server may take the call now.
    NoServer(Duration),
    /// No server can begin before the caller leaves.
    Overloaded(Duration),
}

/// Chooses servers for calls by predicted time to the first token and by what
/// reading parts again costs the fleet.
#[derive(Debug)]
pub struct Dispatcher {
    zone: String,
    backends: SlotMap<BackendKey, BackendView>,
    names: HashMap<ServerName, BackendKey>,
    services: HashMap<String, Vec<BackendKey>>,
    wanted: HashMap<ModelName, TargetHistory>,
    paces: HashMap<ModelName, PrefillTimeFactor>,
    store: Option<SocketAddr>,
    store_lost: bool,
    store_unread: bool,
    store_parts: PartTable,
}

impl Dispatcher {
    /// Creates a dispatcher for an entry in an availability zone.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.into(),
            backends: SlotMap::with_key(),
            names: HashMap::new(),
            services: HashMap::new(),
            wanted: HashMap::new(),
            paces: HashMap::new(),
            store: None,
            store_lost: false,
            store_unread: false,
            store_parts: PartTable::default(),
        }
    }

    /// Takes over a server's record. Of two records with one address, the one
    /// of the earlier start is of a run that has ended.
    pub fn upsert_member(&mut self, member: Member) -> BackendKey {
        let key = self.put_record(member);
        self.mark_superseded(key);
        key
    }

    fn mark_superseded(&mut self, key: BackendKey) {
        let Some(view) = self.backends.get(key) else {
            return;
        };
        let (address, started_at_ms) = (view.member.address, view.member.started_at_ms);
        let mut is_superseded = false;
        for (other_key, other) in &mut self.backends {
            if other_key == key || other.member.address != address {
                continue;
            }
            is_superseded |= other.member.started_at_ms > started_at_ms;
            other.is_superseded |= other.member.started_at_ms < started_at_ms;
        }
        if let Some(view) = self.backends.get_mut(key) {
            view.is_superseded = is_superseded;
        }
    }

    fn put_record(&mut self, member: Member) -> BackendKey {
        if let Some(&key) = self.names.get(&member.name) {
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
        self.names.insert(name, key);
        self.services.entry(service).or_default().push(key);
        key
    }

    /// Removes a server.
    pub fn remove_member(&mut self, name: &ServerName) {
        let Some(key) = self.names.remove(name) else {
            return;
        };
        if let Some(view) = self.backends.remove(key)
            && let Some(keys) = self.services.get_mut(&view.member.service)
        {
            keys.retain(|&other| other != key);
        }
    }

    /// Takes note of a wanted version; `learned_at` is unknown where it was
    /// named before this process ran. True if it is newer than what is known.
    pub fn observe_target_version(
        &mut self,
        wanted: &TargetVersion,
        learned_at: Option<MonotonicTime>,
    ) -> bool {
        let history = self.wanted.entry(wanted.model.clone()).or_default();
        history.note(wanted, learned_at)
    }

    /// Lists the wanted versions.
    pub fn list_target_versions(&self) -> Vec<TargetVersion> {
        self.wanted
            .values()
            .filter_map(|history| history.newest().cloned())
            .collect()
    }

    /// Takes over where the store of kept KV cache is, if there is one.
    pub fn set_kv_cache_store(&mut self, store: Option<SocketAddr>) {
        if self.store != store {
            self.store = store;
            self.store_parts.clear();
        }
    }

    /// Returns where the store of kept KV cache is.
    pub fn kv_cache_store(&self) -> Option<SocketAddr> {
        self.store
    }

    /// Takes note that the store does not answer: fetches from it would only
    /// cost time until it does.
    pub fn mark_kv_cache_store_unreachable(&mut self) {
        self.store_lost = true;
    }

    /// Takes note that what the store holds cannot be followed, as it serves
    /// only so many readers: parts that own calls save are taken as held.
    pub fn mark_kv_cache_store_unwatched(&mut self) {
        self.store_lost = false;
        self.store_unread = true;
    }

    /// Takes note that the prompt of a call has been read, so that what it
    /// saves is on its way.
    pub fn record_saved_parts(&mut self, choice: &BackendChoice, prompt: &Prompt) {
        let (Some(salt), Some(_), true) = (&choice.salt, choice.save_to, self.store_unread) else {
            return;
        };
        let namespace = salt.namespace(&prompt.model);
        for part in prompt.shared_parts() {
            self.store_parts.apply(CachedPartChange {
                namespace,
                part: part.id,
                tokens: part.tokens,
            });
        }
    }

    /// Takes note of parts that the store holds; `is_whole` tells that it
    /// holds nothing else.
    pub fn observe_kv_cache_store(&mut self, changes: &[CachedPartChange], is_whole: bool) {
        self.store_lost = false;
        self.store_unread = false;
        self.store_parts.apply_all(changes, is_whole);
    }

    /// Takes note of what an agent says of its engine.
    pub fn observe_agent_report(
        &mut self,
        name: &ServerName,
        facts: AgentReport,
        now: MonotonicTime,
    ) {
        if let Some(view) = self.find_mut(name) {
            view.observe_agent_report(facts, now);
        }
    }

    /// Takes note of parts that an engine holds.
    pub fn observe_cached_parts(
        &mut self,
        name: &ServerName,
        changes: &[CachedPartChange],
        is_whole: bool,
    ) {
        if let Some(view) = self.find_mut(name) {
            view.observe_cached_parts(changes, is_whole);
        }
    }

    /// Takes note of the load in an answer.
    pub fn observe_load(&mut self, key: BackendKey, figures: ReportedLoad, now: MonotonicTime) {
        if let Some(view) = self.backends.get_mut(key) {
            view.load.observe(figures, now);
        }
    }

    /// Takes note of the weights version in an answer.
    pub fn observe_version(&mut self, key: BackendKey, model: &ModelName, version: WeightsVersion) {
        if let Some(view) = self.backends.get_mut(key) {
            view.observe_version(model, version);
        }
    }

    /// Lists the servers of a service, without runs known to have ended.
    pub fn list_service_backends(&self, service: &str) -> impl Iterator<Item = &BackendView> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .filter_map(|&key| self.backends.get(key))
            .filter(|view| !view.is_superseded)
    }

    /// Returns a server, unless its run is known to have ended.
    pub fn find_backend(&self, name: &ServerName) -> Option<&BackendView> {
        let key = self.names.get(name)?;
        self.backends.get(*key).filter(|view| !view.is_superseded)
    }

    /// Lists all servers, without runs known to have ended.
    pub fn list_backends(&self) -> impl Iterator<Item = &BackendView> {
        self.backends.values().filter(|view| !view.is_superseded)
    }

    /// Chooses the server of a call.
    ///
    /// # Errors
    ///
    /// No server may take the call, or none can begin in time.
    pub fn choose(
        &self,
        req: &DispatchRequest<'_>,
        now: MonotonicTime,
    ) -> Result<BackendChoice, DispatchError> {
        let keys = self.services.get(req.service);
        let keys = keys.map_or(&[][..], Vec::as_slice);
        let mut sources: HashMap<u64, PartSources<'_>> = HashMap::new();
        let mut best: Option<(f64, BackendChoice)> = None;
        for &key in keys.iter().filter(|key| !req.tried.contains(key)) {
            let Some(view) = self.backends.get(key).filter(|v| v.accepts_calls(now)) else {
                continue;
            };
            let rated = match req.prompt {
                None => Some(self.rate_plain(key, view, now)),
                Some(prompt) => self.rate_engine(key, view, prompt, req, &mut sources, now),
            };
            let Some((cost, choice)) = rated else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, choice));
            }
        }
        let (_, choice) = best.ok_or(DispatchError::NoServer(NO_SERVER_RETRY))?;
        if choice.predicted_ttft > req.time_left.mul_f64(LATEST_START) {
            return Err(DispatchError::Overloaded(choice.predicted_ttft));
        }
        Ok(choice)
    }

    /// Takes note that a call was sent.
    pub fn begin_call(
        &mut self,
        choice: &BackendChoice,
        prompt: Option<&Prompt>,
        now: MonotonicTime,
    ) {
        let Some(view) = self.backends.get_mut(choice.key) else {
            return;
        };
        view.load.begin(choice.prefill_time);
        if let (Some(prompt), Some(salt)) = (prompt, &choice.salt) {
            let namespace = salt.namespace(&prompt.model);
            for part in prompt.shared_parts() {
                view.expect_part(namespace, part.id, now);
            }
        }
    }

    /// Takes note that the first token of a call came after a time.
    pub fn record_first_token(
        &mut self,
        choice: &BackendChoice,
        model: &ModelName,
        passed: Duration,
    ) {
        let pace = self.paces.entry(model.clone()).or_default();
        pace.observe(passed, choice.prefill_time, choice.predicted_ttft);
    }

    /// Takes note that the prompt of a call has been read, or that it will
    /// not be.
    pub fn end_prefill(&mut self, choice: &BackendChoice) {
        if let Some(view) = self.backends.get_mut(choice.key) {
            view.load.end_prefill(choice.prefill_time);
        }
    }

    /// Takes note that a call has ended.
    pub fn end_call(&mut self, choice: &BackendChoice) {
        if let Some(view) = self.backends.get_mut(choice.key) {
            view.load.end();
        }
    }

    /// Takes note that a call did not run, so that its parts were not read.
    pub fn forget_expected_parts(&mut self, choice: &BackendChoice, prompt: Option<&Prompt>) {
        let Some(view) = self.backends.get_mut(choice.key) else {
            return;
        };
        if let (Some(prompt), Some(salt)) = (prompt, &choice.salt) {
            let namespace = salt.namespace(&prompt.model);
            for part in prompt.shared_parts() {
                view.forget_part(namespace, part.id);
            }
        }
    }

    /// Takes note that a server has answered, whatever it was.
    pub fn record_answer(&mut self, key: BackendKey, now: MonotonicTime) {
        if let Some(view) = self.backends.get_mut(key) {
            view.record_answer(now);
        }
    }

    /// Tells whether a call that has waited for `waited` at a server should
    /// take it for dead.
    pub fn is_suspected_dead(&self, key: BackendKey, waited: Duration, now: MonotonicTime) -> bool {
        self.backends
            .get(key)
            .is_none_or(|view| view.is_superseded || view.is_suspected_dead(waited, now))
    }

    /// Takes note of how a call went.
    pub fn record_outcome(&mut self, key: BackendKey, is_failure: bool) {
        if let Some(view) = self.backends.get_mut(key) {
            view.record_outcome(is_failure);
        }
    }

    /// Takes note that another server than the planned one answers at its
    /// address: no other call goes there until its record is renewed.
    pub fn mark_replaced(&mut self, key: BackendKey) {
        if let Some(view) = self.backends.get_mut(key) {
            view.is_superseded = true;
        }
    }

    /// Passes a server by for a while, after it could not be reached.
    pub fn record_unreachable(&mut self, key: BackendKey, now: MonotonicTime) {
        if let Some(view) = self.backends.get_mut(key) {
            view.record_unreachable(now);
        }
    }

    /// Drops what time has made void; to be called about once a second.
    pub fn remove_stale_expectations(&mut self, now: MonotonicTime) {
        for view in self.backends.values_mut() {
            view.remove_stale_expectations(now);
        }
    }

    fn usable_store(&self) -> Option<SocketAddr> {
        self.store.filter(|_| !self.store_lost)
    }

    fn find_mut(&mut self, name: &ServerName) -> Option<&mut BackendView> {
        let key = self.names.get(name)?;
        self.backends.get_mut(*key)
    }

    fn rate_plain(
        &self,
        key: BackendKey,
        view: &BackendView,
        now: MonotonicTime,
    ) -> (f64, BackendChoice) {
        let load = view.load.calls(now);
        let wait = call_costs::wait_for_slot(load, view.member.slots, call_costs::PLAIN_RUN_MS);
        let spread = load / f64::from(view.member.slots.max(1)) * call_costs::PLAIN_RUN_MS / 4.0;
        let cost = wait + spread + self.extra_cost(view);
        let choice = make_choice(key, view, load, wait, now);
        (cost, choice)
    }

    fn rate_engine<'a>(
        &self,
        key: BackendKey,
        view: &BackendView,
        prompt: &'a Prompt,
        req: &DispatchRequest<'_>,
        sources: &mut HashMap<u64, PartSources<'a>>,
        now: MonotonicTime,
    ) -> Option<(f64, BackendChoice)> {
        let version = view.version(&prompt.model, now)?;
        let version_cost = self.rate_version(&prompt.model, version, now)?;
        let salt = VersionedSalt::new(version, req.isolated_account);
        let namespace = salt.namespace(&prompt.model);
        let sources = sources.entry(namespace).or_insert_with(|| {
            let store = self.usable_store();
            let store = store.map(|address| (address, &self.store_parts));
            let engines = self.list_service_backends(req.service);
            PartSources::find(prompt, namespace, store, engines, now)
        });
        let plan = sources.plan(view, now);
        let load = view.load.calls(now);
        let prefill = plan.recomputed_tokens + plan.read_first;
        let pace = self.paces.get(&prompt.model).copied().unwrap_or_default();
        let reading = call_costs::prefill_ms(prompt, prefill) * pace.factor();
        let queued = view.load.prefill_ms(call_costs::MEAN_READING_MS, now);
        let wait =
            queued + call_costs::wait_for_slot(load, view.member.slots, call_costs::ENGINE_RUN_MS);
        let start = wait
            + reading
            + f64::from(plan.fetched) / call_costs::fetch_rate(plan.source, self.store);
        let cost = start
            + version_cost
            + load * call_costs::BESIDE_MS
            + f64::from(plan.recomputed_tokens) * call_costs::READ_AGAIN_MS_PER_TOKEN
            + call_costs::rate_switch(prompt, start, view, now)
            + call_costs::rate_home(&plan, sources.is_home(view))
            + call_costs::rate_memory(prompt, view, now)
            + self.extra_cost(view);
        let save_to = self.usable_store().filter(|_| sources.is_store_behind());
        let choice = BackendChoice {
            salt: Some(salt),
            version: Some(version),
            fetch_from: plan.source,
            save_to,
            prefill_tokens: prefill,
            prefill_time: Duration::from_secs_f64(reading / 1_000.0),
            recomputed_tokens: plan.recomputed_tokens,
            ..make_choice(key, view, load, start, now)
        };
        Some((cost, choice))
    }

    /// Rates a weights version; none if it may not be used any more.
    fn rate_version(
        &self,
        model: &ModelName,
        version: WeightsVersion,
        now: MonotonicTime,
    ) -> Option<f64> {
        let standing = self
            .wanted
            .get(model)
            .map_or(Standing::Current, |history| history.standing(version));
        let Standing::Behind(since) = standing else {
            return Some(0.0);
        };
        let age = now.since(since?);
        if age < OLD_VERSION_FREE {
            Some(0.0)
        } else if age < OLD_VERSION_LIMIT {
            Some(OLD_VERSION_MS)
        } else {
            None
        }
    }

    fn extra_cost(&self, view: &BackendView) -> f64 {
        let zone = if view.member.zone == self.zone {
            0.0
        } else {
            call_costs::OTHER_ZONE_MS
        };
        zone + view.failures * call_costs::FAILING_MS
    }
}

fn make_choice(
    key: BackendKey,
    view: &BackendView,
    load: f64,
    start_ms: f64,
    now: MonotonicTime,
) -> BackendChoice {
    BackendChoice {
        key,
        name: view.member.name.clone(),
        address: view.member.address,
        salt: None,
        version: None,
        fetch_from: None,
        save_to: None,
        prefill_tokens: 0,
        prefill_time: Duration::ZERO,
        recomputed_tokens: 0,
        predicted_ttft: Duration::from_secs_f64(start_ms.max(0.0) / 1_000.0),
        load,
        report_age: view.load.report_age(now),
    }
}
