//! Draws the rollout of a soak from its seed, and what is seen of it.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Distinguishes the random numbers of the rollout from those of the faults, which
/// stay the same with and without it.
const ROLLOUT_SEED: u64 = 0x726f_6c6c;

/// Shortest and longest duration of an order, in milliseconds.
const MIN_DURATION_MS: u64 = 2_500;
const MAX_DURATION_MS: u64 = 5_000;

/// Bounds on the calls to a bad build, as the gateways' settings have them.
pub const EXPOSURE_SHARE: f64 = 0.1;
pub const EXPOSURE_SLACK: f64 = 50.0;

/// A rollout that the operator orders during a soak.
#[derive(Debug, Clone, Copy)]
pub struct PlannedRollout {
    /// Time of the order, counted from when callers start.
    pub at: Duration,
    /// Duration in the order.
    pub duration: Duration,
    /// Whether the new build fails more than half of its calls.
    pub is_bad: bool,
}

impl PlannedRollout {
    /// Draws a rollout within the first half of `total_time`.
    pub fn draw(seed: u64, total_time: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ ROLLOUT_SEED);
        let latest_ms = (total_time / 2).as_millis().max(1) as u64;
        Self {
            at: Duration::from_millis(rng.random_range(0..latest_ms)),
            duration: Duration::from_millis(rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS)),
            is_bad: rng.random_bool(0.5),
        }
    }
}

/// What was observed of a rollout.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObservedRollout {
    /// Whether the new build was bad.
    pub is_bad: bool,
    /// States that the gateways wrote, in order.
    pub states: Vec<String>,
    /// Requests that reached the new servers from the order to its deadline.
    pub sent_to_new: u64,
    /// Calls that callers began in this time.
    pub calls: u64,
}

impl ObservedRollout {
    /// Returns what is wrong with the rollout, if anything.
    pub fn find_problem(&self) -> Option<String> {
        let limit = EXPOSURE_SHARE * self.calls as f64 + EXPOSURE_SLACK;
        if self.is_bad && self.sent_to_new as f64 > limit {
            return Some(format!(
                "{} of {} calls at the new build",
                self.sent_to_new, self.calls
            ));
        }
        let mut ends = self.states.iter().filter(|state| *state != "running");
        let Some(end) = ends.next() else {
            return Some(format!("not ended: {:?}", self.states));
        };
        let first_end = self.states.iter().position(|state| state == end);
        let after_end = self.states.iter().skip(first_end.unwrap_or(0));
        // The end is written again after the store was restored.
        let is_kept = after_end.into_iter().all(|state| state == end);
        (!is_kept).then(|| format!("went back: {:?}", self.states))
    }
}
