//! Metrics of a gateway.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::AdmissionMetrics;
use super::MeshMetrics;
use super::PREFIX;
use super::encode_registry;
use crate::logs::dropped_line_count;

/// Upper bounds of the buckets of both time histograms, in seconds.
const TIME_BUCKETS_S: [f64; 10] = [0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.6, 1.2, 3.0, 12.0];

/// Labels of the counters of calls and attempts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

/// Labels of the prediction errors: the time that was predicted, `first` token or
/// `end`, and whether the response was `early` or `late`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PredictionLabels {
    of: &'static str,
    side: &'static str,
}

/// Label of the `beliefs` gauges: what each one counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct GaugeLabels {
    of: &'static str,
}

/// Label of the counter of orders that are not started.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

/// Label of the gauges of rollouts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Values that the gauges show at the time of a scrape. They reflect what this
/// gateway knows and may lag behind the rest of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct GatewayGauges {
    /// Version of the configuration in force; zero before the first one.
    pub config_version: u64,
    /// Backend servers listed in the store.
    pub servers_listed: u64,
    /// Backend servers to which calls may be sent now.
    pub servers_usable: u64,
    /// Agents whose last report is recent enough to be used.
    pub agents_reporting: u64,
    /// Gateways that share the rate limits, including this one.
    pub entries: u64,
    /// Servers that name a limit on the calls of all entries.
    pub limited_servers: u64,
    /// Prompt parts that are quarantined because they crash servers.
    pub quarantined_parts: u64,
    /// Calls that are quarantined because they crash servers.
    pub quarantined_calls: u64,
}

/// What a gateway holds for its callers, and what followed from it.
#[derive(Debug, Clone, Copy)]
pub struct MemoryGauges {
    /// Bytes of bodies, responses and streams that are held now.
    pub held_bytes: u64,
    /// Bytes that may be held.
    pub limit_bytes: u64,
    /// Bodies and responses for which there was no room.
    pub refused: u64,
    /// Responses and chunks that had to wait for room.
    pub waits: u64,
    /// Readers that were disconnected since they stopped reading.
    pub stopped_readers: u64,
}

/// Metrics of a gateway.
pub struct GatewayMetrics {
    /// Control messages.
    pub mesh: MeshMetrics,
    /// Metrics of calls that wait for servers with room.
    pub admission: AdmissionMetrics,
    registry: Registry,
    calls: Family<OutcomeLabels, Counter>,
    attempts: Family<OutcomeLabels, Counter>,
    retries: Counter,
    rejected_retries: Counter,
    dropped_log_lines: Gauge,
    fleet_counts: Family<GaugeLabels, Gauge>,
    memory: Family<GaugeLabels, Gauge>,
    first_event_time: Histogram,
    call_time: Histogram,
    prediction_errors: Family<PredictionLabels, Histogram>,
    hedges: Family<OutcomeLabels, Counter>,
    config_version: Gauge,
    rejected_rollouts: Family<ReasonLabels, Counter>,
    rollout_phases: Family<ServiceLabels, Gauge>,
    rollout_leaders: Family<ServiceLabels, Gauge>,
    zone_left_calls: Family<ServiceLabels, Counter>,
    zone_left_shares: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
}

impl GatewayMetrics {
    /// Registers the metrics, all at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let mesh = MeshMetrics::register(&mut registry);
        let calls = Family::<OutcomeLabels, Counter>::default();
        let attempts = Family::<OutcomeLabels, Counter>::default();
        registry.register(
            "attempts",
            "Attempts at backend servers by outcome",
            attempts.clone(),
        );
        let retries = Counter::default();
        registry.register(
            "repeats",
            "Retries taken from the operator's retry budget",
            retries.clone(),
        );
        let rejected_retries = Counter::default();
        registry.register(
            "repeats_rejected",
            "Retries for which the operator's retry budget had none left",
            rejected_retries.clone(),
        );
        let dropped_log_lines = Gauge::default();
        registry.register(
            "log_lines_dropped",
            "Log lines dropped because standard output was too slow",
            dropped_log_lines.clone(),
        );
        let fleet_counts = Family::<GaugeLabels, Gauge>::default();
        registry.register(
            "beliefs",
            "Backend servers (listed, usable), agents that reported recently and gateways, as known to this gateway",
            fleet_counts.clone(),
        );
        let memory = Family::<GaugeLabels, Gauge>::default();
        registry.register(
            "memory",
            "Bytes held for callers (held_bytes, limit_bytes), and since the start: bodies refused for lack of room, waits for room, readers disconnected because they stopped reading",
            memory.clone(),
        );
        let first_event_time = Histogram::new(TIME_BUCKETS_S);
        let call_time = Histogram::new(TIME_BUCKETS_S);
        let config_version = Gauge::default();
        registry.register("calls", "Calls by outcome", calls.clone());
        registry.register(
            "first_event_seconds",
            "Time from the arrival of a call's head to the first event of its response",
            first_event_time.clone(),
        );
        registry.register(
            "call_seconds",
            "Time from the arrival of a call's head to the end of its response",
            call_time.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            config_version.clone(),
        );
        let rejected_rollouts = Family::<ReasonLabels, Counter>::default();
        registry.register(
            "rollout_orders_rejected",
            "Orders to move a service to a build that are not started, by reason",
            rejected_rollouts.clone(),
        );
        let rollout_phases = Family::<ServiceLabels, Gauge>::default();
        registry.register(
            "rollout_phase",
            "Phase of a rollout: 0 to 2 shares, 3 whole, 4 closing, 5 completed, 6 rolled back",
            rollout_phases.clone(),
        );
        let rollout_leaders = Family::<ServiceLabels, Gauge>::default();
        registry.register(
            "rollout_led",
            "Whether this gateway leads the rollout of a service",
            rollout_leaders.clone(),
        );
        let zone_left_calls = Family::<ServiceLabels, Counter>::default();
        registry.register(
            "zone_left_calls",
            "Calls sent to servers of other availability zones",
            zone_left_calls.clone(),
        );
        let zone_left_shares = Family::<ServiceLabels, Gauge<f64, AtomicU64>>::default();
        registry.register(
            "zone_left_share",
            "Share of calls that is to leave the availability zone",
            zone_left_shares.clone(),
        );
        let prediction_errors = Family::<PredictionLabels, Histogram>::new_with_constructor(|| {
            Histogram::new(TIME_BUCKETS_S)
        });
        registry.register(
            "prediction_error_seconds",
            "Difference of the predicted and the observed time to the first event or the end of a response",
            prediction_errors.clone(),
        );
        let hedges = Family::<OutcomeLabels, Counter>::default();
        registry.register(
            "hedges",
            "Second sends of calls whose response was late, by outcome",
            hedges.clone(),
        );
        let admission = AdmissionMetrics::register(&mut registry);
        Self {
            mesh,
            admission,
            registry,
            calls,
            attempts,
            retries,
            rejected_retries,
            dropped_log_lines,
            fleet_counts,
            memory,
            first_event_time,
            call_time,
            prediction_errors,
            hedges,
            config_version,
            rejected_rollouts,
            rollout_phases,
            rollout_leaders,
            zone_left_calls,
            zone_left_shares,
        }
    }

    /// Counts an order to move a service to a build that is not started.
    pub fn count_rejected_rollout(&self, reason: &'static str) {
        let labels = ReasonLabels { reason };
        self.rejected_rollouts.get_or_create(&labels).inc();
    }

    /// Sets the phase of a rollout, and whether this gateway leads it.
    pub fn set_rollout(&self, service: &str, phase: i64, is_leader: bool) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        self.rollout_phases.get_or_create(&labels).set(phase);
        self.rollout_leaders
            .get_or_create(&labels)
            .set(i64::from(is_leader));
    }

    /// Shows the share of a service's calls that is to leave the zone, and counts the
    /// calls that have left.
    pub fn record_zone_share(&self, service: &str, share: f64, left: u64) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        self.zone_left_shares.get_or_create(&labels).set(share);
        self.zone_left_calls.get_or_create(&labels).inc_by(left);
    }

    /// Counts a call that has ended, and records the time since the arrival of its
    /// head.
    pub fn count_call(&self, outcome: &'static str, elapsed: Duration) {
        self.calls.get_or_create(&OutcomeLabels { outcome }).inc();
        self.call_time.observe(elapsed.as_secs_f64());
    }

    /// Counts one attempt at a backend server by its outcome.
    pub fn count_attempt(&self, outcome: &'static str) {
        self.attempts
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a retry that the operator's retry budget allowed.
    pub fn count_retry(&self) {
        self.retries.inc();
    }

    /// Counts a retry for which the operator's retry budget had none left.
    pub fn count_rejected_retry(&self) {
        self.rejected_retries.inc();
    }

    /// Records the error of a prediction of the time until `of`: `first` event or `end`.
    pub fn observe_prediction(&self, of: &'static str, predicted: Duration, observed: Duration) {
        let side = if observed > predicted {
            "late"
        } else {
            "early"
        };
        self.prediction_errors
            .get_or_create(&PredictionLabels { of, side })
            .observe(predicted.abs_diff(observed).as_secs_f64());
    }

    /// Counts a second send of a call by its outcome: `won`, `lost`, or why none was
    /// made.
    pub fn count_hedge(&self, outcome: &'static str) {
        self.hedges.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Records the time from the arrival of a call's head to the first event of
    /// its stream.
    pub fn observe_first_event(&self, elapsed: Duration) {
        self.first_event_time.observe(elapsed.as_secs_f64());
    }

    /// Sets the gauges of the memory.
    pub fn set_memory(&self, gauges: &MemoryGauges) {
        for (of, count) in [
            ("held_bytes", gauges.held_bytes),
            ("limit_bytes", gauges.limit_bytes),
            ("refused", gauges.refused),
            ("waits", gauges.waits),
            ("stopped_readers", gauges.stopped_readers),
        ] {
            self.memory
                .get_or_create(&GaugeLabels { of })
                .set(to_gauge(count));
        }
    }

    /// Sets the gauges and encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self, gauges: &GatewayGauges) -> String {
        self.config_version.set(to_gauge(gauges.config_version));
        self.dropped_log_lines.set(to_gauge(dropped_line_count()));
        for (of, count) in [
            ("servers_listed", gauges.servers_listed),
            ("servers_used", gauges.servers_usable),
            ("agents_heard", gauges.agents_reporting),
            ("entries", gauges.entries),
            ("servers_limited", gauges.limited_servers),
            ("quarantined_parts", gauges.quarantined_parts),
            ("quarantined_calls", gauges.quarantined_calls),
        ] {
            self.fleet_counts
                .get_or_create(&GaugeLabels { of })
                .set(to_gauge(count));
        }
        encode_registry(&self.registry)
    }
}

fn to_gauge(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for GatewayMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayMetrics").finish_non_exhaustive()
    }
}
