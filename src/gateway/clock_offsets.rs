//! Logs how far the clocks of other processes differ, so that their logs can be
//! compared.

use std::collections::HashMap;
use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::core::ServerName;

/// Minimum change of an offset that is logged, in milliseconds. Messages are
/// under way for a few milliseconds, or for tens of them if a process is busy.
const MIN_LOGGED_CHANGE_MS: i64 = 100;

/// Maximum number of clocks that are tracked, since clocks of engine runs that
/// have ended are not removed one by one.
const MAX_TRACKED_CLOCKS: usize = 4_096;

/// Process that a clock belongs to.
#[derive(Debug, Clone, Copy)]
pub enum ClockOwner<'a> {
    /// Another entry, by name.
    Entry(&'a str),
    /// The agent beside a server.
    Agent(&'a ServerName),
}

impl fmt::Display for ClockOwner<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Entry(name) => write!(f, "entry={name}"),
            Self::Agent(name) => write!(f, "server={name}"),
        }
    }
}

/// Offsets of other processes' clocks from this one's, as last logged.
#[derive(Debug, Default)]
pub struct ClockOffsets {
    logged_ms: Mutex<HashMap<String, i64>>,
}

impl ClockOffsets {
    /// Compares the time stated in a message that has just arrived with this
    /// process's time, and logs the offset if it has changed. A clock that was
    /// never logged has a small offset.
    pub fn record(&self, owner: ClockOwner<'_>, stated_ms: u64, own_ms: u64) {
        let ahead_ms = stated_ms.wrapping_sub(own_ms).cast_signed();
        let name = match owner {
            ClockOwner::Entry(name) => name,
            ClockOwner::Agent(name) => name.as_str(),
        };
        let mut logged = self
            .logged_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let before_ms = logged.get(name).copied().unwrap_or(0);
        if (ahead_ms - before_ms).abs() >= MIN_LOGGED_CHANGE_MS {
            if logged.len() >= MAX_TRACKED_CLOCKS {
                logged.clear();
            }
            log::info!("clocks: differ {owner} ahead_ms={ahead_ms} before_ms={before_ms}");
            logged.insert(name.into(), ahead_ms);
        }
    }
}
