//! Requests that a connection has carried, by which late responses are told from new ones.

/// Maximum number of requests over one connection.
const MAX_REQUESTS: usize = 256;

/// Requests that a connection has carried.
#[derive(Debug, Default)]
pub(super) struct ConnectionHistory {
    requests: usize,
    /// Hashes of the names of the requests.
    names: Vec<u64>,
    /// Highest number of a state that a response has stated.
    state_number: u64,
}

impl ConnectionHistory {
    /// Records a request whose responses bear a name with this hash, or none.
    pub fn record_request(&mut self, name_hash: Option<u64>) {
        self.requests += 1;
        self.names.extend(name_hash);
    }

    /// Returns how many requests the connection has carried.
    pub fn requests(&self) -> usize {
        self.requests
    }

    /// Returns whether a request may be sent: none of its name was sent before, and not too
    /// many in all. A late response to the earlier one would pass for that to this one.
    pub fn allows(&self, name_hash: Option<u64>) -> bool {
        let is_known = name_hash.is_some_and(|name| self.names.contains(&name));
        self.requests < MAX_REQUESTS && !is_known
    }

    /// Records the number of the state that a response states. Returns false if an earlier
    /// response has stated a newer one.
    pub fn advance_state(&mut self, number: u64) -> bool {
        let is_newest = number >= self.state_number;
        self.state_number = self.state_number.max(number);
        is_newest
    }
}
