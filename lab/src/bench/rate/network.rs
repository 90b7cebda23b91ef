//! Regions and availability zones of the entries, and the delay between them.

use std::time::Duration;

const SAME_ZONE_DELAY: Duration = Duration::from_micros(250);
const SAME_REGION_DELAY: Duration = Duration::from_micros(1_500);
const OTHER_REGION_DELAY: Duration = Duration::from_millis(25);

/// Larger fleets are spread over several regions.
const MAX_SINGLE_REGION_ENTRIES: usize = 64;

/// Regions and availability zones of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    zones: usize,
    regions: usize,
}

impl Network {
    /// Spreads entries over availability zones: three in one region, or 16 in
    /// 6 regions.
    pub fn new(entries: usize) -> Self {
        let (zones, regions) = match entries <= MAX_SINGLE_REGION_ENTRIES {
            true => (3, 1),
            false => (16, 6),
        };
        Self { zones, regions }
    }

    /// Returns the index of the availability zone of an entry.
    pub fn zone(&self, entry: usize) -> u16 {
        u16::try_from(entry % self.zones).unwrap_or(0)
    }

    /// Returns the one-way delay of a message between two entries.
    pub fn delay(&self, from: usize, to: usize) -> Duration {
        let (from, to) = (from % self.zones, to % self.zones);
        if from == to {
            SAME_ZONE_DELAY
        } else if from % self.regions == to % self.regions {
            SAME_REGION_DELAY
        } else {
            OTHER_REGION_DELAY
        }
    }
}
