//! Names and addresses of the entries from which this one has heard.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use crate::core::MonotonicTime;
use crate::mesh::KnownEntry;

/// Time without a message after which a peer is no longer known.
pub const PEER_EXPIRY: Duration = Duration::from_secs(15);

/// Entries that sent their state within [`PEER_EXPIRY`], with their peer
/// addresses.
#[derive(Debug, Default)]
pub struct KnownEntries {
    entries: Mutex<HashMap<String, (SocketAddr, MonotonicTime)>>,
}

impl KnownEntries {
    /// Records that an entry sent its state.
    pub fn record(&self, name: &str, address: SocketAddr, now: MonotonicTime) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.insert(name.into(), (address, now));
    }

    /// Records that a relay has heard an entry that is known.
    pub fn refresh(&self, name: &str, heard_at: MonotonicTime) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, last_heard_at)) = entries.get_mut(name) {
            *last_heard_at = heard_at.max(*last_heard_at);
        }
    }

    /// Removes an entry that is about to stop.
    pub fn remove(&self, name: &str) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.remove(name);
    }

    /// Returns the name of the entry at an address.
    pub fn find_name(&self, address: SocketAddr) -> Option<String> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let mut entries = entries.iter();
        let (name, _) = entries.find(|(_, (known, _))| *known == address)?;
        Some(name.clone())
    }

    /// Returns the address of the entry with a name.
    pub fn find_address(&self, name: &str) -> Option<SocketAddr> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.get(name).map(|(address, _)| *address)
    }

    /// Returns the names of the entries that were heard recently enough.
    pub fn list_names(&self, now: MonotonicTime) -> Vec<String> {
        let entries = self.list(now).into_iter();
        entries.map(|entry| entry.name).collect()
    }

    /// Returns the entries that were heard recently enough.
    pub fn list(&self, now: MonotonicTime) -> Vec<KnownEntry> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|_, (_, last_heard_at)| now.since(*last_heard_at) < PEER_EXPIRY);
        entries
            .iter()
            .map(|(name, (address, _))| KnownEntry {
                name: name.clone(),
                address: *address,
            })
            .collect()
    }
}
