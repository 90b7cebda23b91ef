//! Open connections of a listener, and which of them ends when there are too many.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::timeout;

use super::caller_activity::CallerActivity;
use super::open_connection::OpenConnection;
use crate::core::ConnectionView;
use crate::core::choose_least_useful;

/// Minimum time between two log lines about connections that were closed for others.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of an open connection.
    pub(super) struct ConnectionKey;
}

/// Time to wait for the end of a connection before another one is closed.
const CLOSE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Open connections of a listener, up to a limit. Clones share them.
#[derive(Debug, Clone)]
pub struct OpenConnections {
    permits: Arc<Semaphore>,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    connections: SlotMap<ConnectionKey, Entry>,
    /// Connections closed for others since the last log line, and when that was written.
    unlogged: u64,
    logged_at: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    caller: SocketAddr,
    activity: CallerActivity,
    closed: Arc<Notify>,
}

impl OpenConnections {
    /// Creates the table of a listener with at most `max_connections`.
    pub fn new(max_connections: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(max_connections)),
            state: Arc::default(),
        }
    }

    /// Returns a permit for a new connection if there is room.
    pub fn try_permit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }

    /// Returns a permit for a new connection. Without room, closes the least useful
    /// connection, or waits until one ends if all are needed.
    pub async fn make_room(&self) -> OwnedSemaphorePermit {
        loop {
            if let Some(permit) = self.try_permit() {
                return permit;
            }
            self.close_least_useful();
            let permit = Arc::clone(&self.permits).acquire_owned();
            if let Ok(Ok(permit)) = timeout(CLOSE_RETRY_DELAY, permit).await {
                return permit;
            }
        }
    }

    /// Adds the connection of `caller`.
    pub fn open(&self, caller: SocketAddr, activity: CallerActivity) -> OpenConnection {
        let closed = Arc::new(Notify::new());
        let key = self.lock().connections.insert(Entry {
            caller,
            activity: activity.clone(),
            closed: Arc::clone(&closed),
        });
        OpenConnection::new(self.clone(), key, caller, activity, closed)
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&self, key: ConnectionKey) {
        self.lock().connections.remove(key);
    }

    /// Returns whether a response is not written whole on some connection.
    pub fn has_unwritten_response(&self) -> bool {
        let state = self.lock();
        let mut entries = state.connections.values();
        entries.any(|entry| entry.activity.has_unwritten_response())
    }

    /// Closes the least useful connection in favour of a new one, unless all are needed.
    pub fn close_least_useful(&self) {
        let mut state = self.lock();
        let views: Vec<ConnectionView<ConnectionKey>> = state
            .connections
            .iter()
            .map(|(key, entry)| {
                let (usage, used_for) = entry.activity.current_use();
                ConnectionView {
                    key,
                    host: entry.caller.ip(),
                    usage,
                    used_for,
                }
            })
            .collect();
        let Some(key) = choose_least_useful(&views) else {
            return;
        };
        // Taken out at once, so that the next choice is another one.
        let Some(entry) = state.connections.remove(key) else {
            return;
        };
        entry.closed.notify_one();
        state.log_closed(&entry, views.len());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn log_closed(&mut self, entry: &Entry, open: usize) {
        self.unlogged += 1;
        if self.logged_at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        self.logged_at = Some(Instant::now());
        let (usage, used_for) = entry.activity.current_use();
        log::warn!(
            "http: closed connections for others count={} open={open} last_caller={} last_use={usage:?} used_ms={}",
            self.unlogged,
            entry.caller,
            used_for.as_millis(),
        );
        self.unlogged = 0;
    }
}
