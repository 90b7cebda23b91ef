//! Limits on retries, quotas and rollouts that hold for all gateways of a fleet
//! together.

use std::time::Duration;

use super::Section;
use crate::core::fleet::DEFAULT_VERSION_TIME;

/// Limits that the operator of a fleet sets for all gateways together.
#[derive(Debug, Clone, PartialEq)]
pub struct BoundSettings {
    /// Retries allowed per service, as a fraction of the requests for it.
    pub retry_ratio: f64,
    /// Retries allowed per service and window in addition to the ratio.
    pub retry_extra: f64,
    /// Window in which retries are counted; 0.1 s to one hour.
    pub retry_window: Duration,
    /// Tolerated excess over an account's rate, as a fraction of the rate.
    pub quota_overage: f64,
    /// Tolerated excess over an account's burst, in tokens.
    pub quota_slack: f64,
    /// Share of a service's requests that a build under rollout may get before it is
    /// known to be good; 0 to 1.
    pub rollout_exposure_share: f64,
    /// Requests that such a build may get in addition.
    pub rollout_exposure_slack: f64,
    /// Time from the 50th bad response of a build under rollout within which it gets
    /// no more requests.
    pub rollback_time: Duration,
    /// Time within which all engines have to be at a new weights version.
    pub version_time: Duration,
}

impl BoundSettings {
    /// Reads the section `bounds`.
    pub fn read(section: &mut Section) -> Self {
        let window_s: f64 = section.take("retry_window_s", 10.0);
        let exposure_share: f64 = section.take("rollout_exposure_share", 0.1);
        let exposure_slack: f64 = section.take("rollout_exposure_slack", 0.0);
        let rollback_ms = section.take_number("rollback_ms", 5_000, 100..=3_600_000);
        // The value is ignored. A file rendered from the template ends the
        // section with this field, because JSON allows no comma after the
        // last one.
        let _: String = section.take("comment", String::new());
        Self {
            retry_ratio: section.take("retry_ratio", 0.1),
            retry_extra: section.take("retry_extra", 20.0),
            retry_window: Duration::from_secs_f64(window_s.clamp(0.1, 3_600.0)),
            quota_overage: section.take("quota_overage", 0.0),
            quota_slack: section.take("quota_slack", 0.0),
            rollout_exposure_share: exposure_share.clamp(0.0, 1.0),
            rollout_exposure_slack: exposure_slack.max(0.0),
            rollback_time: Duration::from_millis(rollback_ms),
            version_time: read_version_time(section),
        }
    }
}

/// Reads the time within which all engines have to be at a new weights version.
pub(super) fn read_version_time(section: &mut Section) -> Duration {
    let default_ms = u64::try_from(DEFAULT_VERSION_TIME.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(section.take_number("version_ms", default_ms, 1_000..=3_600_000))
}
