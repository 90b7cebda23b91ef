//! State of a gateway: configuration, members, dispatching and quotas.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;

use crate::core::MonotonicTime;
use crate::core::fleet::AdmissionQueue;
use crate::core::fleet::BackendChoice;
use crate::core::fleet::BackendView;
use crate::core::fleet::CacheIsolation;
use crate::core::fleet::CallDigest;
use crate::core::fleet::Configuration;
use crate::core::fleet::Directory;
use crate::core::fleet::DispatchError;
use crate::core::fleet::DispatchRequest;
use crate::core::fleet::Dispatcher;
use crate::core::fleet::FleetQuota;
use crate::core::fleet::FleetRetryBudget;
use crate::core::fleet::MemberChange;
use crate::core::fleet::MemberLog;
use crate::core::fleet::Prompt;
use crate::core::fleet::Quarantine;
use crate::core::fleet::RolloutTable;
use crate::core::fleet::RouteTable;
use crate::core::fleet::StreamOrigins;
use crate::core::fleet::Suspect;
use crate::core::fleet::TargetVersion;
use crate::core::fleet::TrialRequest;
use crate::metrics::GatewayGauges;
use crate::settings::GatewaySettings;

/// State of a gateway. One lock guards all of it, since each request reads most
/// of it, for microseconds.
#[derive(Debug)]
pub struct GatewayState {
    /// Routes and keys in force; `None` before the first configuration.
    pub route_table: Option<Arc<RouteTable>>,
    /// The configuration in force, encoded as in the store, for peers.
    pub raw_configuration: Bytes,
    /// Since when a peer has had a newer configuration; `None` if no peer has.
    pub configuration_behind_since: Option<MonotonicTime>,
    /// Backend servers listed in the store.
    pub directory: Directory,
    /// When the store was last found to be restored from an older copy.
    pub store_restored_at: Option<MonotonicTime>,
    /// Changes of the backend servers that took effect, for peers.
    pub member_log: MemberLog,
    /// Whether the backend servers are learned from a peer at present, not from
    /// the store.
    pub follows_peer_members: bool,
    /// Prompt parts and calls that crash servers.
    pub quarantine: Quarantine,
    /// Builds at which streams began.
    pub streams: StreamOrigins,
    /// Rollouts of services' builds.
    pub rollouts: RolloutTable,
    /// Chooses the server of each call.
    pub dispatcher: Dispatcher,
    /// Calls that wait for servers with room; `None` if calls are sent at once.
    pub admission: Option<AdmissionQueue>,
    /// Rate limits of the accounts.
    pub quota: FleetQuota,
    /// Retry budgets of the services.
    pub retries: FleetRetryBudget,
    /// Whether the members have been read, from the store or from a peer.
    pub has_members: bool,
    /// How far each area was read, from the store or a peer, by `Area::index`.
    pub progress: [AreaProgress; 2],
}

/// How far an area was read, from the store or a peer.
#[derive(Debug, Clone, Copy, Default)]
pub struct AreaProgress {
    /// Revision of the newest record that was read.
    pub newest_revision: u64,
    /// Revision up to which everything was read.
    pub complete_revision: u64,
    /// Since when a peer has had a newer record than `complete_revision`.
    pub behind_since: Option<MonotonicTime>,
}

impl GatewayState {
    /// Creates the state of a gateway without configuration and members.
    pub fn new(settings: &GatewaySettings) -> Self {
        let (name, bounds) = (settings.name.as_str(), &settings.bounds);
        let window_s = bounds.retry_window.as_secs_f64();
        let create_budget = if settings.is_first_start {
            FleetRetryBudget::new
        } else {
            FleetRetryBudget::after_restart
        };
        let mut retries = create_budget(bounds.retry_ratio, bounds.retry_extra, window_s);
        if settings.has_other_seeds() {
            retries = retries.awaiting_others();
        }
        let mut dispatcher = Dispatcher::for_entry(&settings.zone, name);
        dispatcher.set_version_time(bounds.version_time);
        Self {
            route_table: None,
            raw_configuration: Bytes::new(),
            configuration_behind_since: None,
            directory: Directory::default(),
            store_restored_at: None,
            member_log: MemberLog::default(),
            follows_peer_members: false,
            quarantine: Quarantine::for_process(name),
            streams: StreamOrigins::default(),
            rollouts: RolloutTable::within(bounds.rollback_time),
            dispatcher,
            admission: None,
            quota: FleetQuota::new(bounds.quota_overage, bounds.quota_slack),
            retries,
            has_members: false,
            progress: [AreaProgress::default(); 2],
        }
    }

    /// Chooses the server of a call, unless it or a part of its prompt is quarantined.
    /// `digest` is the digest of the call, needed if the quarantine is active.
    ///
    /// # Errors
    ///
    /// The call must not be sent, or no server accepts it.
    pub fn choose_server(
        &mut self,
        req: &DispatchRequest<'_>,
        digest: Option<CallDigest>,
        now: MonotonicTime,
    ) -> Result<BackendChoice, DispatchError> {
        self.check_quarantine(req, digest, now)?;
        self.record_run(now);
        let choice = self.dispatcher.choose(req, now)?;
        if let Some(digest) = digest {
            self.quarantine.record_send(digest, now);
        }
        Ok(choice)
    }

    /// Checks that neither a call nor a part of its prompt is quarantined. `digest` is
    /// the digest of the call, needed if the quarantine is active.
    ///
    /// # Errors
    ///
    /// The call must not be sent.
    pub fn check_quarantine(
        &mut self,
        req: &DispatchRequest<'_>,
        digest: Option<CallDigest>,
        now: MonotonicTime,
    ) -> Result<(), DispatchError> {
        let Some(digest) = digest else {
            return Ok(());
        };
        let parts = req.prompt.map_or(&[][..], Prompt::shared_parts);
        match self.quarantine.find_quarantined(parts, digest, now) {
            Some((Suspect::Part(_), left)) => return Err(DispatchError::QuarantinedPart(left)),
            Some((Suspect::Call(_), left)) => return Err(DispatchError::QuarantinedCall(left)),
            None => {}
        }
        if self.quarantine.is_suspected(digest)
            && let Some(delay) = self
                .quarantine
                .find_trial_delay(&self.describe_trial(req, digest, now), now)
        {
            return Err(DispatchError::QuarantinedCall(delay));
        }
        Ok(())
    }

    /// Describes a call under which servers have crashed, and the servers that could be
    /// lost to it.
    fn describe_trial(
        &self,
        req: &DispatchRequest<'_>,
        digest: CallDigest,
        now: MonotonicTime,
    ) -> TrialRequest {
        let servers = self.dispatcher.list_service_backends(req.service);
        let (crashed, others): (Vec<_>, Vec<_>) =
            servers.partition(|view| self.quarantine.has_crashed(view.run()));
        let usable = others.iter().filter(|view| view.accepts_calls(now));
        TrialRequest {
            call: digest,
            is_resend: !req.tried.is_empty(),
            usable_servers: usable.count(),
            crashed_servers: crashed.len(),
        }
    }

    /// Records that a server has answered, with whatever status.
    pub fn record_answer(&mut self, choice: &BackendChoice, now: MonotonicTime) {
        if self.dispatcher.lists_run(choice) {
            self.dispatcher.record_answer(choice.key, now);
        }
        self.quarantine.record_answer(choice.run, now);
    }

    /// Records that the store was restored from an older copy. Servers that it lacks
    /// have time to write themselves again.
    pub fn record_restore(&mut self, now: MonotonicTime) {
        self.store_restored_at = Some(now);
        self.directory.record_store_failure();
    }

    /// Records that the store has answered, so that the list of servers is up to
    /// date.
    pub fn record_store_answer(&mut self, now: MonotonicTime) {
        self.directory.record_store_answer(now);
        self.streams.builds.confirm(now);
    }

    /// Returns the version of the configuration in force; 0 without one.
    pub fn configuration_version(&self) -> u64 {
        self.route_table
            .as_ref()
            .map_or(0, |table| table.configuration().version)
    }

    /// Puts a configuration in force unless the one in force is as new or newer.
    /// Returns whether it did.
    pub fn apply_configuration(
        &mut self,
        configuration: Arc<Configuration>,
        raw: Bytes,
        now: MonotonicTime,
    ) -> bool {
        if configuration.version <= self.configuration_version() {
            return false;
        }
        self.quota.set_accounts(&configuration.accounts, now);
        if let Some(admission) = &mut self.admission {
            admission.set_accounts(&configuration.accounts);
        }
        let services = configuration.services.iter();
        let kv_stores: Vec<SocketAddr> = services
            .filter_map(|service| service.kv_cache_store.as_ref())
            .map(|store| store.address)
            .collect();
        self.dispatcher.set_kv_cache_stores(&kv_stores);
        let services = configuration.services.iter();
        self.dispatcher
            .set_services(services.map(|service| service.name.as_str()));
        let isolation = CacheIsolation::from_accounts(&configuration.accounts);
        self.dispatcher.set_cache_isolation(isolation);
        let timeouts = configuration.routes.iter().map(|route| route.timeout);
        if let Some(longest) = timeouts.max() {
            self.streams.set_longest_timeout(longest);
        }
        self.raw_configuration = raw;
        self.configuration_behind_since = None;
        self.route_table = Some(Arc::new(RouteTable::new(configuration)));
        true
    }

    /// Counts servers, agents and entries for the metrics. Records that name no used
    /// server are left out.
    pub fn read_gauges(&self, now: MonotonicTime) -> GatewayGauges {
        let count = |is_counted: fn(&BackendView, MonotonicTime) -> bool| {
            let views = self.dispatcher.list_backends();
            views.filter(|view| is_counted(view, now)).count() as u64
        };
        let quarantined: Vec<Suspect> = self.quarantine.list_quarantined(now).collect();
        let quarantined_calls = quarantined.iter().filter_map(|s| s.as_call()).count() as u64;
        GatewayGauges {
            config_version: self.configuration_version(),
            servers_listed: count(|_, _| true),
            servers_usable: count(BackendView::accepts_calls),
            agents_reporting: count(BackendView::has_recent_agent_report),
            entries: self.quota.count_entries() as u64,
            limited_servers: self.dispatcher.server_limits.count() as u64,
            quarantined_parts: quarantined.len() as u64 - quarantined_calls,
            quarantined_calls,
        }
    }

    /// Adopts target versions that the store or another process has told, and logs those
    /// that are new. Each one was named after the known ones were last confirmed, however
    /// long it was on its way; before the first confirmation, it is unknown when.
    pub fn learn_targets<'a>(
        &mut self,
        targets: impl IntoIterator<Item = &'a TargetVersion>,
        source: impl Display,
        now: MonotonicTime,
    ) {
        self.record_run(now);
        let named_after = self.dispatcher.targets_confirmed.at();
        for target in targets {
            if !self.dispatcher.observe_target_version(target, named_after) {
                continue;
            }
            let max_age = named_after.map(|at| now.since(at).as_millis());
            log::info!(
                "weights: wanted model={} version={} revision={} max_age_ms={} source={source}",
                target.model,
                target.version,
                target.revision,
                max_age.map_or("unknown".into(), |ms| ms.to_string()),
            );
        }
    }

    /// Records that this process runs, so that a standstill is noticed.
    pub fn record_run(&mut self, now: MonotonicTime) {
        self.dispatcher.targets_confirmed.record_run(now);
    }

    /// Records that all of the operator's records in the store were read, as they were at
    /// `read_at` or later, and what is new among them was applied.
    pub fn record_operator_records_read(&mut self, read_at: MonotonicTime, now: MonotonicTime) {
        self.record_run(now);
        let confirmed = &mut self.dispatcher.targets_confirmed;
        confirmed.record_full_read(read_at, now);
    }

    /// Records that changes of the operator's records may have been missed, until they
    /// are read again.
    pub fn record_operator_records_lost(&mut self) {
        self.dispatcher.targets_confirmed.record_lost();
    }

    /// Records that the store has answered a ping sent at `sent_at`.
    pub fn record_ping_answer(&mut self, sent_at: MonotonicTime, now: MonotonicTime) {
        self.record_store_answer(now);
        self.dispatcher.targets_confirmed.record_ping(sent_at);
    }

    /// Records that a peer which has read the operator's records knows no newer target
    /// versions.
    pub fn record_peer_targets(&mut self, now: MonotonicTime) {
        self.record_run(now);
        self.dispatcher.targets_confirmed.record_peer(now);
    }

    /// Logs changes of the members and passes them on to the dispatcher.
    pub fn apply_member_changes(
        &mut self,
        changes: impl IntoIterator<Item = MemberChange>,
        now: MonotonicTime,
    ) {
        for change in changes {
            self.member_log.push(change.clone());
            match change {
                MemberChange::Listed(member) => {
                    log::info!(
                        "members: listed server={} service={} address={} state={:?} build={} models={:?}",
                        member.name,
                        member.service,
                        member.address,
                        member.state,
                        member.build,
                        member.models,
                    );
                    self.streams.builds.insert(&member, now);
                    self.dispatcher.upsert_member(member);
                }
                MemberChange::Removed(name) => {
                    log::info!("members: gone server={name}");
                    self.streams.builds.remove(&name, now);
                    self.dispatcher.remove_member(&name);
                }
            }
        }
    }
}
