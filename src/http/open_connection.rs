//! Connection of a listener while it is served.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::Notify;

use super::caller_activity::CallerActivity;
use super::open_connections::ConnectionKey;
use super::open_connections::OpenConnections;

/// Connection that is served. It leaves the table when dropped; if that happens before its
/// service has finished, as at the end of a drain, it is logged if its caller has no whole
/// response yet.
pub struct OpenConnection {
    table: OpenConnections,
    key: ConnectionKey,
    caller: SocketAddr,
    activity: CallerActivity,
    closed: Arc<Notify>,
    is_finished: bool,
}

impl OpenConnection {
    /// Begins the service of the connection `key` of `table`, which ends for another one
    /// once `closed` is notified.
    pub(super) fn new(
        table: OpenConnections,
        key: ConnectionKey,
        caller: SocketAddr,
        activity: CallerActivity,
        closed: Arc<Notify>,
    ) -> Self {
        Self {
            table,
            key,
            caller,
            activity,
            closed,
            is_finished: false,
        }
    }

    /// Waits until the connection is to be closed for another one.
    pub async fn closed_for_other(&self) {
        self.closed.notified().await;
    }

    /// Ends the service of the connection.
    pub fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.remove(self.key);
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
