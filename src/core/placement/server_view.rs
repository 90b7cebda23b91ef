//! State of one backend server in a planner.

use xxhash_rust::xxh3::xxh3_64;

use super::CacheIdentity;
use super::ServerKey;
use super::ServerLoad;
use crate::core::MonotonicTime;
use crate::core::ServerName;

/// State of one backend server in a planner.
#[derive(Debug)]
pub struct ServerView {
    /// Name of the server.
    pub name: ServerName,
    /// Pool that the server belongs to.
    pub pool: String,
    /// Availability zone of its host.
    pub zone: String,
    /// The server is draining and takes no new requests.
    pub leaving: bool,
    /// Estimated load of the server.
    pub load: ServerLoad,
    avoided_until: MonotonicTime,
    pub(super) identity: CacheIdentity,
    /// Number of changes of `identity` so far.
    pub(super) cache_epoch: u32,
    /// Hash of the name, which seeds the server's rendezvous scores.
    pub(super) name_hash: u64,
}

impl ServerView {
    /// Creates the state of a server that has not reported yet.
    pub fn new(name: ServerName, pool: &str, zone: &str) -> Self {
        Self {
            name_hash: xxh3_64(name.as_str().as_bytes()),
            name,
            pool: pool.into(),
            zone: zone.into(),
            leaving: false,
            avoided_until: MonotonicTime::ZERO,
            load: ServerLoad::default(),
            identity: CacheIdentity::default(),
            cache_epoch: 0,
        }
    }

    /// Excludes the server from plans until `until`.
    pub fn avoid_until(&mut self, until: MonotonicTime) {
        self.avoided_until = until;
    }

    /// Returns whether the server may be given new requests at time `now`.
    pub fn accepts_work(&self, now: MonotonicTime) -> bool {
        !self.leaving && now >= self.avoided_until
    }

    /// Returns the memory used for the server, in bytes, including its entries
    /// in the pool and in the planner's scratch map.
    pub fn memory_bytes(&self) -> usize {
        let strings = self.name.as_str().len() + self.pool.len() + self.zone.len();
        let keys = size_of::<ServerKey>() + size_of::<u64>();
        size_of::<Self>() + strings + keys + self.load.memory_bytes()
    }

    /// Returns the identity of the server's cache, as last reported.
    pub fn identity(&self) -> CacheIdentity {
        self.identity
    }

    /// Sets the identity that the server reports. If it has changed, the server
    /// is no longer expected to have anything cached that was sent before.
    pub fn set_identity(&mut self, identity: CacheIdentity) {
        if self.identity != identity {
            self.identity = identity;
            self.cache_epoch += 1;
        }
    }
}
