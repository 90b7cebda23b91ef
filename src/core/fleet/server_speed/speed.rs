//! Speed of one server run, relative to its service.

use std::time::Duration;

use super::ServiceSpeed;
use super::SpeedNotice;
use super::WorkKind;
use super::log_mean::LogMean;
use crate::core::MonotonicTime;
use crate::core::fleet::RunKey;

/// Slowness of a server that works at its normal speed, in percent.
const NORMAL_PERCENT: f64 = 100.0;

/// Time in which a stated figure loses most of its meaning. Neighbours that slow a
/// server were seen to change every 600 ms.
const STATED_DECAY: Duration = Duration::from_millis(600);

/// Weight of a new figure in the usual one.
const USUAL_WEIGHT: f64 = 0.05;

/// Age from which the stated figure is no longer used at all.
const STATED_MAX_AGE: Duration = Duration::from_secs(10);

/// A measured speed counts only if it differs from the mean of the service by more
/// than this factor and by more than four standard errors, from at least
/// `MIN_OBSERVATIONS`. With fewer errors or observations, some of 40 even servers with
/// an ordinary spread of work were taken for uneven ones.
const CLEAR_FACTOR: f64 = 1.15;
const CLEAR_ERRORS: f64 = 4.0;
const MIN_OBSERVATIONS: f64 = 24.0;

/// Error of a factor that was measured for another kind of work only.
const MAX_LOG_ERROR: f64 = 0.5;

/// Range of the factor; beyond it, a figure is more likely wrong than the server so
/// slow.
const MIN_FACTOR: f64 = 0.2;
const MAX_FACTOR: f64 = 10.0;

/// Multiple of the usual time that work takes at a server at the moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedFactor {
    /// The multiple; 1 for a server that is as fast as the mean of its service.
    pub value: f64,
    /// Standard error of its logarithm.
    pub error: f64,
}

impl SpeedFactor {
    /// The factor of a server of which nothing is known.
    pub const NORMAL: Self = Self {
        value: 1.0,
        error: 0.0,
    };
}

/// Speed of one run of a server: the slowness that it states and the times that its
/// work has taken.
#[derive(Debug, Clone, Default)]
pub struct ServerSpeed {
    stated: Option<(f64, MonotonicTime)>,
    usual_stated: Option<f64>,
    /// Mean distance of the stated figure from the usual one.
    stated_spread: f64,
    measured: [LogMean; 3],
    /// Logarithms of the clear factors, as of the last refresh.
    clear_logs: [Option<f64>; 3],
    /// Measurements since the last ones that were sent to other entries.
    unsent: [LogMean; 3],
}

impl ServerSpeed {
    /// Records the slowness that the server states, in percent; 0 is ignored.
    pub fn observe_stated(&mut self, percent: u16, now: MonotonicTime) {
        if percent == 0 {
            return;
        }
        let slowness = (f64::from(percent) / NORMAL_PERCENT).clamp(MIN_FACTOR, MAX_FACTOR);
        let usual = self.usual_stated.get_or_insert(slowness);
        let distance = (slowness - *usual).abs();
        *usual += USUAL_WEIGHT * (slowness - *usual);
        self.stated_spread += USUAL_WEIGHT * (distance - self.stated_spread);
        self.stated = Some((slowness, now));
    }

    /// Sets the usual slowness that an agent has seen over a longer time, in percent.
    pub fn observe_usual(&mut self, percent: u16) {
        let usual = f64::from(percent) / NORMAL_PERCENT;
        self.usual_stated = Some(usual.clamp(MIN_FACTOR, MAX_FACTOR));
    }

    /// Returns the usual slowness in percent, if the server states it.
    pub fn usual_percent(&self) -> Option<u16> {
        self.usual_stated
            .map(|usual| (usual * NORMAL_PERCENT).round() as u16)
    }

    /// Returns whether the server has stated its slowness lately.
    pub fn states_slowness(&self, now: MonotonicTime) -> bool {
        self.stated
            .is_some_and(|(_, at)| now.since(at) < STATED_MAX_AGE)
    }

    /// Records work that took `measured`, for which a server of normal speed was
    /// predicted to take `expected`.
    pub fn observe_work(
        &mut self,
        kind: WorkKind,
        measured: Duration,
        expected: Duration,
        service: &mut ServiceSpeed,
        now: MonotonicTime,
    ) {
        if measured.is_zero() || expected.is_zero() {
            return;
        }
        let ratio = measured.as_secs_f64() / expected.as_secs_f64();
        let log = (ratio / self.current_slowness(now)).ln();
        self.measured[kind.index()].observe(log);
        self.unsent[kind.index()].observe(log);
        service.observe_work(kind, log);
    }

    /// Adds what another entry has measured.
    pub fn apply_notice(&mut self, notice: &SpeedNotice, service: &mut ServiceSpeed) {
        let received = notice.to_mean();
        self.measured[notice.kind.index()].merge(received);
        service.apply_mean(notice.kind, received);
    }

    /// Returns the number of observations that were not sent to other entries.
    pub fn count_unsent(&self) -> f64 {
        self.unsent.iter().map(|mean| mean.weight).sum()
    }

    /// Takes what was not sent to other entries.
    pub fn take_notices(&mut self, run: RunKey) -> Vec<SpeedNotice> {
        let unsent = std::mem::take(&mut self.unsent);
        WorkKind::ALL
            .into_iter()
            .zip(unsent)
            .filter(|(_, mean)| mean.weight >= 1.0)
            .map(|(kind, mean)| SpeedNotice::new(run, kind, mean))
            .collect()
    }

    /// Compares the server's measured times with the means of its service. Choices use
    /// the result, so that they need not compare them for each server.
    pub fn refresh(&mut self, service: &ServiceSpeed) {
        self.clear_logs = WorkKind::ALL.map(|kind| self.find_clear_log(kind, service));
    }

    /// Returns the factor by which the server's measured times differ from the mean of its
    /// service; `None` if they do not clearly.
    pub fn clear_factor(&self) -> Option<f64> {
        self.clear_logs.into_iter().flatten().next().map(f64::exp)
    }

    /// Returns the factors for all kinds of work, by [`WorkKind::index`]. Exactly 1 if the
    /// server neither states its slowness nor differs clearly from its service.
    pub fn factors(&self, now: MonotonicTime) -> [SpeedFactor; 3] {
        let slowness = self.current_slowness(now);
        let forgotten = if self.stated.is_some() {
            1.0 - self.stated_weight(now)
        } else {
            0.0
        };
        let any_log = self.clear_logs.into_iter().flatten().next();
        WorkKind::ALL.map(|kind| {
            let measured = &self.measured[kind.index()];
            // A kind without observations of its own is as fast as the others.
            let log = if measured.weight >= MIN_OBSERVATIONS {
                self.clear_logs[kind.index()]
            } else {
                any_log
            };
            let log_error = log.map_or(0.0, |_| measured.error().min(MAX_LOG_ERROR));
            SpeedFactor {
                value: (log.map_or(1.0, f64::exp) * slowness).clamp(MIN_FACTOR, MAX_FACTOR),
                error: log_error.hypot(forgotten * self.stated_spread),
            }
        })
    }

    /// Returns the logarithm of the measured factor if it is clear.
    fn find_clear_log(&self, kind: WorkKind, service: &ServiceSpeed) -> Option<f64> {
        let measured = &self.measured[kind.index()];
        let log = measured.mean - service.mean_log(kind);
        let is_clear = measured.weight >= MIN_OBSERVATIONS
            && log.abs() > CLEAR_FACTOR.ln()
            && log.abs() > CLEAR_ERRORS * measured.error();
        is_clear.then_some(log)
    }

    /// Returns the slowness now, from the stated figure and its usual value.
    fn current_slowness(&self, now: MonotonicTime) -> f64 {
        let (Some((stated, _)), Some(usual)) = (self.stated, self.usual_stated) else {
            return 1.0;
        };
        if !self.states_slowness(now) {
            return 1.0;
        }
        usual + (stated - usual) * self.stated_weight(now)
    }

    fn stated_weight(&self, now: MonotonicTime) -> f64 {
        self.stated.map_or(0.0, |(_, at)| {
            (-now.since(at).as_secs_f64() / STATED_DECAY.as_secs_f64()).exp()
        })
    }
}
