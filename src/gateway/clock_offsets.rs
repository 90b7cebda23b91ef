//! Clocks of other processes, for whoever reads their logs side by side.

use std::collections::HashMap;
use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::core::ServerName;

/// Difference from which on a clock is logged anew. News travel for some
/// milliseconds, in a busy process for some tens.
const MIN_LOGGED_CHANGE_MS: i64 = 100;

/// Clocks remembered at most; runs of engines end and leave theirs behind.
const MAX_TRACKED_CLOCKS: usize = 4_096;

/// Whose clock it is.
#[derive(Debug, Clone, Copy)]
pub enum ClockOwner<'a> {
    /// Of another entry.
    Entry(&'a str),
    /// Of the agent beside a server.
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

/// By how much other processes' clocks are ahead, as logged last.
#[derive(Debug, Default)]
pub struct ClockOffsets {
    logged_ms: Mutex<HashMap<String, i64>>,
}

impl ClockOffsets {
    /// Takes note of a time stated in news that have just come, and logs the
    /// difference once it has changed. Without a line it is small.
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
