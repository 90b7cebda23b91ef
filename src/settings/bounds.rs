//! Limits on retries and quotas that hold for all gateways of a fleet
//! together.

use std::time::Duration;

use super::Section;

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
}

impl BoundSettings {
    /// Reads the section `bounds`.
    pub fn read(section: &mut Section) -> Self {
        let window_s: f64 = section.take("retry_window_s", 10.0);
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
        }
    }
}
