//! Store with the claim to one group of engines.

use teaseldrum::core::fleet::CLAIM_TTL;
use teaseldrum::core::fleet::ClaimGrant;

/// Store with the item of one claim.
#[derive(Debug, Default, Clone, Copy)]
pub struct ClaimStore {
    pub revision: u64,
    /// Rises with each restore; claims of an earlier one are void.
    pub era: u64,
    next_lease: u64,
    /// Revision of the item, its lease and the end of the lease in ms.
    item: Option<(u64, u64, u64)>,
}

impl ClaimStore {
    pub fn expire(&mut self, ms: u64) {
        self.item = self.item.filter(|(_, _, end_ms)| *end_ms > ms);
    }

    pub fn acquire(&mut self, ms: u64) -> Option<ClaimGrant> {
        if self.item.is_some() {
            return None;
        }
        self.revision += 1;
        self.next_lease += 1;
        let lease = self.next_lease;
        self.item = Some((self.revision, lease, ms + CLAIM_TTL.as_millis() as u64));
        Some(ClaimGrant {
            fence: self.fence(),
            lease,
        })
    }

    /// Revision as the adapter passes it on, with the era above it.
    pub fn fence(&self) -> u64 {
        (self.era << 40) | self.revision
    }

    /// Goes back to an earlier copy of the items, whose leases go on.
    pub fn restore(&mut self, copy: Self) {
        *self = Self {
            era: self.era + 1,
            ..copy
        };
    }

    pub fn refresh(&mut self, held: ClaimGrant) -> Option<u64> {
        let (revision, lease, end_ms) = self.item?;
        if ((self.era << 40) | revision, lease) != (held.fence, held.lease) {
            return None;
        }
        self.revision += 1;
        self.item = Some((self.revision, lease, end_ms));
        Some(self.fence())
    }

    pub fn renew(&mut self, grant: ClaimGrant, ms: u64) -> bool {
        match &mut self.item {
            Some((_, held, end_ms)) if *held == grant.lease && grant.fence >> 40 == self.era => {
                *end_ms = ms + CLAIM_TTL.as_millis() as u64;
                true
            }
            _ => false,
        }
    }

    pub fn release(&mut self, lease: u64) {
        self.item = self.item.filter(|(_, held, _)| *held != lease);
    }
}
