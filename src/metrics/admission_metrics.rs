//! Metrics of calls that wait in a gateway for servers with room.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::core::fleet::AdmissionGauges;
use crate::core::fleet::RefusalReason;

/// Upper bounds of the buckets of waits, in seconds.
const WAIT_BUCKETS_S: [f64; 8] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 5.0];

/// Label of the figures of one service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Labels of the counter of refusals.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    service: String,
    reason: &'static str,
}

/// Metrics of calls that wait in a gateway for servers with room.
pub struct AdmissionMetrics {
    waiting: Family<ServiceLabels, Gauge>,
    peers: Family<ServiceLabels, Gauge>,
    error_s: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    lateness_s: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    refusals: Family<RefusalLabels, Counter>,
    wait: Histogram,
}

impl AdmissionMetrics {
    /// Registers the metrics.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            waiting: Family::default(),
            peers: Family::default(),
            error_s: Family::default(),
            lateness_s: Family::default(),
            refusals: Family::default(),
            wait: Histogram::new(WAIT_BUCKETS_S),
        };
        registry.register(
            "admission_waiting",
            "Calls that wait for a server with room",
            metrics.waiting.clone(),
        );
        registry.register(
            "admission_peers",
            "Other gateways that have told of calls that found no room",
            metrics.peers.clone(),
        );
        registry.register(
            "admission_prediction_error_seconds",
            "Mean absolute error of the predicted time to first token in the last second",
            metrics.error_s.clone(),
        );
        registry.register(
            "admission_prediction_lateness_seconds",
            "Mean time by which first tokens came later than predicted in the last second",
            metrics.lateness_s.clone(),
        );
        registry.register(
            "admission_refusals",
            "Calls refused by admission control",
            metrics.refusals.clone(),
        );
        registry.register(
            "admission_wait_seconds",
            "Waits of calls that did not start at once, whatever became of them",
            metrics.wait.clone(),
        );
        metrics
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, service: &str, reason: RefusalReason) {
        let labels = RefusalLabels {
            service: service.to_owned(),
            reason: reason.code(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Records how long a call waited.
    pub fn observe_wait(&self, wait: Duration) {
        self.wait.observe(wait.as_secs_f64());
    }

    /// Sets the gauges of all services.
    pub fn set_gauges(&self, gauges: &[AdmissionGauges]) {
        for figures in gauges {
            let labels = ServiceLabels {
                service: figures.service.clone(),
            };
            let to_gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
            self.waiting
                .get_or_create(&labels)
                .set(to_gauge(figures.waiting));
            self.peers
                .get_or_create(&labels)
                .set(to_gauge(figures.peers));
            self.error_s
                .get_or_create(&labels)
                .set(figures.prediction_error.as_secs_f64());
            self.lateness_s
                .get_or_create(&labels)
                .set(figures.prediction_lateness.as_secs_f64());
        }
    }
}

impl fmt::Debug for AdmissionMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdmissionMetrics").finish_non_exhaustive()
    }
}
