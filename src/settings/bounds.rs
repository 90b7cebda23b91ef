//! Bounds that the operator of a fleet sets on all entries together.

use std::time::Duration;

use super::Section;

/// Bounds that the operator of a fleet sets on all entries together.
#[derive(Debug, Clone, PartialEq)]
pub struct BoundSettings {
    /// Repeated sends to a service as a part of the requests for it.
    pub retry_ratio: f64,
    /// Repeated sends in each window besides.
    pub retry_extra: f64,
    /// The window of repeated sends.
    pub retry_window: Duration,
    /// Part above an account's rate that is tolerated.
    pub quota_overage: f64,
    /// Tokens above an account's burst that are tolerated.
    pub quota_slack: f64,
}

impl BoundSettings {
    /// Reads the section.
    pub fn read(section: &mut Section) -> Self {
        let window_s: f64 = section.take("retry_window_s", 10.0);
        // A rendered file ends the section with it, since JSON bears no
        // comma after the last field.
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
