//! Traffic between availability zones.

use super::Section;

/// Maximum of the cost of a megabyte, in milliseconds. A prompt of 1 MB then outweighs any
/// wait that a caller accepts.
const MAX_COST_MS_PER_MB: f64 = 10_000.0;

/// What traffic between availability zones costs.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneSettings {
    /// Cost of a megabyte of 1e6 bytes that passes between zones, as the delay in
    /// milliseconds that is worth as much.
    pub cost_ms_per_mb: f64,
}

impl ZoneSettings {
    /// Reads the section `zones`.
    pub fn read(section: &mut Section) -> Self {
        let cost_ms_per_mb = section.take("cost_ms_per_mb", 0.0);
        if !(0.0..=MAX_COST_MS_PER_MB).contains(&cost_ms_per_mb) {
            let problem = format!("must be from 0 to {MAX_COST_MS_PER_MB}");
            section.add_error("cost_ms_per_mb", &problem);
        }
        Self { cost_ms_per_mb }
    }
}
