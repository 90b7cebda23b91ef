//! Bytes of calls that this process has outstanding at each server.

use std::collections::HashMap;

use crate::core::fleet::BackendKey;

/// Bytes of a request for one token of its prompt.
const BYTES_PER_TOKEN: u64 = 4;

/// Bounds the bytes that are outstanding at each server. Every process that sends to
/// the servers takes an equal part of what a server holds.
#[derive(Debug)]
pub struct ServerBytes {
    default_bytes: u64,
    by_server: HashMap<BackendKey, u64>,
}

impl ServerBytes {
    /// Creates the table; a server that states no capacity holds `default_bytes`.
    pub fn new(default_bytes: u64) -> Self {
        Self {
            default_bytes,
            by_server: HashMap::new(),
        }
    }

    /// Returns whether a call of `bytes` may be sent to a server. `capacity_tokens` is
    /// what an engine holds, `senders` the number of processes that send to the server.
    /// One call at a time is always allowed if the server can hold it alone.
    pub fn has_room(
        &self,
        server: BackendKey,
        bytes: u64,
        capacity_tokens: Option<u64>,
        senders: usize,
    ) -> bool {
        let tokens = capacity_tokens.filter(|&tokens| tokens > 0);
        let capacity = tokens.map_or(self.default_bytes, |tokens| {
            tokens.saturating_mul(BYTES_PER_TOKEN)
        });
        let outstanding = self.outstanding(server);
        if outstanding == 0 {
            return bytes <= capacity;
        }
        let senders = u64::try_from(senders).unwrap_or(u64::MAX).max(1);
        outstanding.saturating_add(bytes) <= capacity / senders
    }

    /// Returns the bytes that are outstanding at a server.
    pub fn outstanding(&self, server: BackendKey) -> u64 {
        self.by_server.get(&server).copied().unwrap_or(0)
    }

    /// Counts a call that is sent.
    pub fn begin(&mut self, server: BackendKey, bytes: u64) {
        if bytes > 0 {
            *self.by_server.entry(server).or_default() += bytes;
        }
    }

    /// Ends the count of a call that was sent.
    pub fn end(&mut self, server: BackendKey, bytes: u64) {
        let Some(outstanding) = self.by_server.get_mut(&server) else {
            return;
        };
        *outstanding = outstanding.saturating_sub(bytes);
        if *outstanding == 0 {
            self.by_server.remove(&server);
        }
    }
}
