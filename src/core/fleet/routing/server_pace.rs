//! Speed factors and slot time of one server at the time of a choice.

use std::time::Duration;

use super::BackendView;
use super::call_costs;
use crate::core::MonotonicTime;
use crate::core::fleet::server_speed::ServiceSpeed;
use crate::core::fleet::server_speed::SpeedFactor;
use crate::core::fleet::server_speed::WorkKind;

/// Speed factors and slot time of one server. In services that are not active, all of
/// them are those of a server of normal speed.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerPace {
    pub is_active: bool,
    pub prefill: SpeedFactor,
    pub decode: SpeedFactor,
    pub plain: SpeedFactor,
    /// Learned time for which a call holds a slot of a server of normal speed.
    hold_ms: Option<f64>,
    mean_decode: f64,
}

impl ServerPace {
    /// Returns the pace of a server, from what is known of its service.
    pub fn new(view: &BackendView, service: Option<&ServiceSpeed>, now: MonotonicTime) -> Self {
        let Some(service) = service.filter(|service| service.is_active(now)) else {
            return Self {
                is_active: false,
                prefill: SpeedFactor::NORMAL,
                decode: SpeedFactor::NORMAL,
                plain: SpeedFactor::NORMAL,
                hold_ms: None,
                mean_decode: 1.0,
            };
        };
        let [prefill, decode, plain] = view.speed.factors(now);
        Self {
            is_active: true,
            prefill,
            decode,
            plain,
            hold_ms: service.hold().map(|hold| hold.as_secs_f64() * 1_000.0),
            mean_decode: service.mean_factor(WorkKind::Decode),
        }
    }

    /// Returns how long a call holds a slot; `usual_ms` if that is not learned.
    pub fn slot_hold_ms(&self, kind: WorkKind, usual_ms: f64) -> f64 {
        self.hold_ms.unwrap_or(usual_ms) * self.factor(kind).value
    }

    /// Returns the factor of a kind of work.
    pub fn factor(&self, kind: WorkKind) -> SpeedFactor {
        match kind {
            WorkKind::Prefill => self.prefill,
            WorkKind::Decode => self.decode,
            WorkKind::Plain => self.plain,
        }
    }

    /// Returns the factor of the time to generate output, relative to the cost model.
    pub fn output_factor(&self) -> f64 {
        self.decode.value * self.mean_decode
    }

    /// Returns the largest factor.
    pub fn slowest(&self) -> f64 {
        let kinds = WorkKind::ALL.map(|kind| self.factor(kind).value);
        kinds.into_iter().fold(0.0, f64::max)
    }

    /// Estimates the calls at the server.
    pub fn estimate_calls(&self, view: &BackendView, now: MonotonicTime) -> f64 {
        if self.is_active {
            view.load.estimate_calls_in_full(now)
        } else {
            view.load.estimate_calls(now)
        }
    }

    /// Predicts the wait for a slot that each call holds for `hold_ms`.
    pub fn slot_wait_ms(&self, view: &BackendView, hold_ms: f64, now: MonotonicTime) -> f64 {
        let (load, slots) = (self.estimate_calls(view, now), view.member.slots);
        if self.is_active {
            let hold = Duration::from_secs_f64(hold_ms / 1_000.0);
            let deviation = view.load.deviation(hold, now);
            call_costs::uncertain_slot_wait_ms(load, deviation, slots, hold_ms)
        } else {
            call_costs::slot_wait_ms(load, slots, hold_ms)
        }
    }

    /// Estimates the time to prefill the prompts that the server has. A waiting call of
    /// unknown prompt takes `mean_ms` at a server of normal speed.
    pub fn estimate_prefill_ms(&self, view: &BackendView, mean_ms: f64, now: MonotonicTime) -> f64 {
        if self.is_active {
            let mean_ms = mean_ms * self.prefill.value;
            view.load.estimate_prefill_ms_in_full(mean_ms, now)
        } else {
            view.load.estimate_prefill_ms(mean_ms, now)
        }
    }

    /// Returns by how much the latest call of this process is late.
    pub fn overdue_ms(&self, view: &BackendView, now: MonotonicTime) -> f64 {
        if self.is_active {
            view.load.overdue(now).as_secs_f64() * 1_000.0
        } else {
            0.0
        }
    }
}
