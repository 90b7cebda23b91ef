//! Bytes of responses that servers still send.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::Holder;
use super::held_bytes::subtract;
use crate::core::AccountName;

/// Bytes of responses that have not arrived whole, by server and account.
#[derive(Debug, Default)]
pub struct ArrivingResponses {
    by_server: HashMap<SocketAddr, HashMap<Option<AccountName>, usize>>,
}

impl ArrivingResponses {
    /// Returns whether `bytes` more of the server of `holder` fit its share of `share` bytes.
    /// An account may hold as much of it as stays free, so that others find room, but
    /// always one response.
    pub fn fits(&self, holder: &Holder, bytes: usize, share: usize) -> bool {
        let accounts = holder.server.and_then(|server| self.by_server.get(&server));
        let Some(accounts) = accounts else {
            return bytes <= share;
        };
        let total: usize = accounts.values().sum();
        let own = accounts.get(&holder.account).copied().unwrap_or(0);
        let free = share.checked_sub(total.saturating_add(bytes));
        free.is_some_and(|free| own == 0 || own.saturating_add(bytes) <= free)
    }

    /// Counts bytes of a response if a server still sends it.
    pub fn add(&mut self, holder: &Holder, bytes: usize) {
        let Some(server) = holder.server else {
            return;
        };
        let accounts = self.by_server.entry(server).or_default();
        *accounts.entry(holder.account.clone()).or_default() += bytes;
    }

    /// Ends the count of bytes of a response if a server still sends it.
    pub fn subtract(&mut self, holder: &Holder, bytes: usize) {
        let Some(server) = holder.server else {
            return;
        };
        let Some(accounts) = self.by_server.get_mut(&server) else {
            return;
        };
        subtract(accounts.entry(holder.account.clone()), bytes);
        if accounts.is_empty() {
            self.by_server.remove(&server);
        }
    }

    /// Returns the number of servers that still send responses.
    pub fn count_servers(&self) -> usize {
        self.by_server.len()
    }
}
