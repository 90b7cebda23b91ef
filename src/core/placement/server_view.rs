//! A backend server as a planner knows it.

use xxhash_rust::xxh3::xxh3_64;

use super::CacheIdentity;
use super::ServerKey;
use super::ServerLoad;
use crate::core::MonotonicTime;
use crate::core::ServerName;

/// A backend server as a planner knows it.
#[derive(Debug)]
pub struct ServerView {
    /// Name of the server.
    pub name: ServerName,
    /// Pool that the server belongs to.
    pub pool: String,
    /// Availability zone of its host.
    pub zone: String,
    /// The server takes no new work.
    pub leaving: bool,
    /// Load of the server.
    pub load: ServerLoad,
    avoided_until: MonotonicTime,
    pub(super) identity: CacheIdentity,
    pub(super) epoch: u32,
    pub(super) seed: u64,
}

impl ServerView {
    /// Creates the view of a server that nothing has been heard of yet.
    pub fn new(name: ServerName, pool: &str, zone: &str) -> Self {
        Self {
            seed: xxh3_64(name.as_str().as_bytes()),
            name,
            pool: pool.into(),
            zone: zone.into(),
            leaving: false,
            avoided_until: MonotonicTime::ZERO,
            load: ServerLoad::default(),
            identity: CacheIdentity::default(),
            epoch: 0,
        }
    }

    /// Leaves the server out of plans until a time.
    pub fn avoid_until(&mut self, until: MonotonicTime) {
        self.avoided_until = until;
    }

    /// Tells whether the server may be given new work.
    pub fn accepts_work(&self, now: MonotonicTime) -> bool {
        !self.leaving && now >= self.avoided_until
    }

    /// Returns the memory of the view, in bytes, its place in the pool and in
    /// the scratch space of a plan included.
    pub fn memory_bytes(&self) -> usize {
        let texts = self.name.as_str().len() + self.pool.len() + self.zone.len();
        let places = size_of::<ServerKey>() + size_of::<u64>();
        size_of::<Self>() + texts + places + self.load.memory_bytes()
    }

    /// Returns the identity of the server's cache.
    pub fn identity(&self) -> CacheIdentity {
        self.identity
    }

    /// Takes note of the identity that the server reports; another one than
    /// before makes all that was learned of its cache worthless.
    pub fn set_identity(&mut self, identity: CacheIdentity) {
        if self.identity != identity {
            self.identity = identity;
            self.epoch += 1;
        }
    }
}
