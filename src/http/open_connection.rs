//! Log line of a connection that is cut while its request is handled.

use std::net::SocketAddr;

use super::caller_activity::CallerActivity;

/// Connection that is served. Dropped in the meantime, as at the end of a drain, it is
/// logged if its caller has no whole response yet.
pub(super) struct OpenConnection {
    caller: SocketAddr,
    activity: CallerActivity,
    is_finished: bool,
}

impl OpenConnection {
    /// Begins to serve the connection of `caller`.
    pub fn new(caller: SocketAddr, activity: CallerActivity) -> Self {
        Self {
            caller,
            activity,
            is_finished: false,
        }
    }

    /// Ends the service of the connection.
    pub fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let (is_handling, blocked) = self.activity.describe_response();
        if self.is_finished || !(is_handling || blocked.is_some()) {
            return;
        }
        log::warn!(
            "http: connection cut caller={} is_handling={is_handling} blocked_ms={}",
            self.caller,
            blocked.map_or(-1, |blocked| blocked.as_millis() as i64),
        );
    }
}
