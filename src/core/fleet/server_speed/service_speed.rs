//! Means over all servers of a service, which the speeds of its servers refer to.

use std::collections::HashMap;
use std::time::Duration;

use super::ResponseTimes;
use super::WorkKind;
use super::log_mean::LogMean;
use crate::core::MonotonicTime;

/// Time for which a service stays active after one of its servers stated its slowness
/// or differed clearly from the others.
const ACTIVE_TIME: Duration = Duration::from_secs(10);

/// Share of the latest observation in the service's mean. It is smaller than that in
/// a server's mean, since all servers of the service are observed.
const MEAN_STEP: f64 = 1.0 / 400.0;

/// Number of observations from which the learned time of a slot is used.
const MIN_HOLD_OBSERVATIONS: f64 = 8.0;

/// Number of responses of a route from which their mean is used.
const MIN_ROUTE_RESPONSES: f64 = 32.0;

/// Maximum number of routes whose response times are kept.
const MAX_ROUTES: usize = 64;

/// Range of the learned time for which a call holds a slot.
const MIN_HOLD: Duration = Duration::from_millis(1);
const MAX_HOLD: Duration = Duration::from_secs(20);

/// Speeds and times of a service as a whole.
#[derive(Debug, Clone, Default)]
pub struct ServiceSpeed {
    active_until: Option<MonotonicTime>,
    means: [(f64, f64); 3],
    hold: LogMean,
    routes: HashMap<String, ResponseTimes>,
    route_biases: HashMap<String, LogMean>,
    first_answers: ResponseTimes,
    answered_at: Option<MonotonicTime>,
    agents_heard_at: Option<MonotonicTime>,
}

impl ServiceSpeed {
    /// Records that a server states its slowness or differs clearly from the others.
    pub fn activate(&mut self, now: MonotonicTime) {
        self.active_until = Some(now + ACTIVE_TIME);
    }

    /// Returns whether the speeds of the servers are used.
    pub fn is_active(&self, now: MonotonicTime) -> bool {
        self.active_until.is_some_and(|until| now < until)
    }

    /// Adds the logarithm of the ratio of measured to expected time.
    pub(super) fn observe_work(&mut self, kind: WorkKind, log: f64) {
        self.apply_mean(
            kind,
            LogMean {
                mean: log.clamp(-3.0, 3.0),
                variance: 0.0,
                weight: 1.0,
            },
        );
    }

    /// Adds the observations that a mean holds.
    pub(super) fn apply_mean(&mut self, kind: WorkKind, added: LogMean) {
        let (mean, weight) = &mut self.means[kind.index()];
        if added.weight <= 0.0 {
            return;
        }
        *weight = (*weight + added.weight).min(1.0 / MEAN_STEP);
        *mean += (added.weight / *weight).min(1.0) * (added.mean - *mean);
    }

    /// Returns the mean logarithm of the ratio of measured to expected time.
    pub(super) fn mean_log(&self, kind: WorkKind) -> f64 {
        self.means[kind.index()].0
    }

    /// Returns the mean ratio of measured to expected time.
    pub fn mean_factor(&self, kind: WorkKind) -> f64 {
        self.mean_log(kind).exp()
    }

    /// Records how long a call held its slot, as at a server of normal speed.
    pub fn observe_hold(&mut self, time: Duration) {
        self.hold.observe_ms(time.as_secs_f64() * 1_000.0);
    }

    /// Returns how long a call holds a slot of a server of normal speed.
    pub fn hold(&self) -> Option<Duration> {
        if self.hold.weight < MIN_HOLD_OBSERVATIONS {
            return None;
        }
        let hold = Duration::from_secs_f64((self.hold.mean_value() / 1_000.0).min(1e6));
        Some(hold.clamp(MIN_HOLD, MAX_HOLD))
    }

    /// Records the response time of a call on a route.
    pub fn observe_response(&mut self, route: &str, time: Duration) {
        if let Some(times) = self.routes.get_mut(route) {
            times.observe(time);
        } else if self.routes.len() < MAX_ROUTES {
            let mut times = ResponseTimes::default();
            times.observe(time);
            self.routes.insert(route.into(), times);
        }
    }

    /// Records the logarithm of the ratio of measured to expected time of a response of
    /// a route. Returns the mean ratio of the route; `None` before enough responses.
    pub fn observe_route_bias(&mut self, route: &str, log: f64) -> Option<f64> {
        if let Some(bias) = self.route_biases.get_mut(route) {
            bias.observe(log);
            return (bias.weight >= MIN_ROUTE_RESPONSES).then(|| bias.mean.exp());
        }
        if self.route_biases.len() < MAX_ROUTES {
            let mut bias = LogMean::default();
            bias.observe(log);
            self.route_biases.insert(route.into(), bias);
        }
        None
    }

    /// Returns the median of the latest response times on a route.
    pub fn median_response_time(&self, route: &str) -> Option<Duration> {
        self.routes.get(route)?.median()
    }

    /// Returns the 95th percentile of the latest response times on a route.
    pub fn high_response_time(&self, route: &str) -> Option<Duration> {
        self.routes.get(route)?.high()
    }

    /// Records how long a server took for the head of a response.
    pub fn observe_first_answer(&mut self, time: Duration) {
        self.first_answers.observe(time);
    }

    /// Records that some server has answered.
    pub fn record_answer(&mut self, now: MonotonicTime) {
        self.answered_at = Some(now);
    }

    /// Returns the 95th percentile of the times until servers answer.
    pub fn usual_first_answer(&self) -> Option<Duration> {
        self.first_answers.high()
    }

    /// Records that an agent beside a server of the service has reported.
    pub fn record_agent_report(&mut self, now: MonotonicTime) {
        self.agents_heard_at = Some(now);
    }

    /// Returns when an agent beside a server of the service last reported.
    pub fn agents_heard_at(&self) -> Option<MonotonicTime> {
        self.agents_heard_at
    }

    /// Returns when a server of the service last answered.
    pub fn answered_at(&self) -> Option<MonotonicTime> {
        self.answered_at
    }
}
