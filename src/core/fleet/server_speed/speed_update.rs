//! What entries tell each other of the speeds of servers.

use serde::Deserialize;
use serde::Serialize;

use super::WorkKind;
use super::log_mean::LogMean;
use crate::core::fleet::RunKey;

/// Factor between logarithms and the whole numbers in messages.
const SCALE: f64 = 1_000.0;

/// What one entry has itself measured of one run and kind of work in a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedNotice {
    /// Run of the server.
    pub run: RunKey,
    /// Kind of work.
    pub kind: WorkKind,
    /// Mean logarithm of measured to expected time, in thousandths.
    pub mean_milli: i16,
    /// Variance of the logarithm, in thousandths.
    pub variance_milli: u16,
    /// Number of observations.
    pub count: u8,
}

/// What an entry has measured in its latest window. It may be repeated, lost and
/// reordered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedUpdate {
    /// Number of the window, which rises; each window counts once.
    pub window: u64,
    /// Measurements, those with most observations first.
    pub notices: Vec<SpeedNotice>,
}

impl SpeedNotice {
    /// Encodes a mean.
    pub(super) fn new(run: RunKey, kind: WorkKind, mean: LogMean) -> Self {
        Self {
            run,
            kind,
            mean_milli: (mean.mean * SCALE).round() as i16,
            variance_milli: (mean.variance * SCALE).round() as u16,
            count: mean.weight.round() as u8,
        }
    }

    /// Decodes the mean.
    pub(super) fn to_mean(self) -> LogMean {
        LogMean {
            mean: (f64::from(self.mean_milli) / SCALE).clamp(-3.0, 3.0),
            variance: f64::from(self.variance_milli) / SCALE,
            weight: f64::from(self.count),
        }
    }
}
