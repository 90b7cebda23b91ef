//! Limits and timeouts of a traffic listener and of calls to the next process.

use std::time::Duration;

use super::Section;
use crate::http::ClientTimeouts;
use crate::http::ReaderLimits;
use crate::http::ServerLimits;

/// Limits and timeouts at the traffic listener, and towards the next process:
/// the agent for an entry, the backend server for an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficSettings {
    /// Threads that serve traffic.
    pub threads: usize,
    /// Limit on open connections of each thread.
    pub max_connections: usize,
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time in which a request's head must arrive.
    pub head_timeout: Duration,
    /// Time in which a request's body must arrive. Also the time after which a caller
    /// that acknowledges nothing, or takes nothing of its response, is disconnected.
    pub body_timeout: Duration,
    /// Time to connect to the next process.
    pub connect_timeout: Duration,
    /// Time in which the next process must begin its response; the setting
    /// `answer_timeout_ms`.
    pub response_timeout: Duration,
    /// Longest time between two chunks of a response from the next process; the
    /// setting `gap_timeout_ms`.
    pub read_timeout: Duration,
    /// Time for which an unused connection to the next process is kept.
    pub idle_timeout: Duration,
    /// Time from leaving the host list until the listener closes. Should be
    /// longer than the `idle_timeout` of the processes that call this one, so
    /// that none of them sends a request on a connection that is being closed.
    pub drain_linger: Duration,
    /// Time for which a drain waits for running requests.
    pub drain_timeout: Duration,
}

/// Default timeouts of responses from the next process, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct NextProcessTimeouts {
    response_ms: u64,
    read_ms: u64,
}

/// Defaults of an entry, whose next process is an agent.
const AGENT_TIMEOUTS: NextProcessTimeouts = NextProcessTimeouts {
    response_ms: 3_000,
    read_ms: 3_000,
};

/// Defaults of an agent, whose next process is a backend server.
const SERVER_TIMEOUTS: NextProcessTimeouts = NextProcessTimeouts {
    response_ms: 60_000,
    read_ms: 60_000,
};

impl TrafficSettings {
    /// Reads the section `traffic` of an entry.
    pub fn read_for_entry(section: &mut Section) -> Self {
        Self::read_with_timeouts(section, AGENT_TIMEOUTS)
    }

    /// Reads the section `traffic` of an agent. Its default timeouts are longer,
    /// because a backend server sends no heartbeats while it computes a long
    /// prompt.
    pub fn read_for_agent(section: &mut Section) -> Self {
        Self::read_with_timeouts(section, SERVER_TIMEOUTS)
    }

    fn read_with_timeouts(section: &mut Section, timeouts: NextProcessTimeouts) -> Self {
        let mut millis = |name: &str, default: u64| {
            Duration::from_millis(section.take_number(name, default, 1..=3_600_000))
        };
        let head_timeout = millis("head_timeout_ms", 5_000);
        let body_timeout = millis("body_timeout_ms", 30_000);
        let connect_timeout = millis("connect_timeout_ms", 500);
        let response_timeout = millis("answer_timeout_ms", timeouts.response_ms);
        let read_timeout = millis("gap_timeout_ms", timeouts.read_ms);
        let idle_timeout = millis("idle_timeout_ms", 2_000);
        let drain_linger = millis("drain_linger_ms", 3_000);
        let drain_timeout = millis("drain_timeout_ms", 60_000);
        let mut count = |name: &str, default: u64, min: u64, max: u64| {
            usize::try_from(section.take_number(name, default, min..=max)).unwrap_or(usize::MAX)
        };
        Self {
            threads: count("threads", 2, 1, 64),
            max_connections: count("max_connections", 4_096, 1, 65_536),
            max_head_bytes: count("max_head_bytes", 32_768, 8_192, 1_048_576),
            max_body_bytes: count("max_body_bytes", 8_388_608, 1_024, 268_435_456),
            head_timeout,
            body_timeout,
            connect_timeout,
            response_timeout,
            read_timeout,
            idle_timeout,
            drain_linger,
            drain_timeout,
        }
    }

    /// Returns the limits of the traffic listener.
    pub fn server_limits(&self) -> ServerLimits {
        ServerLimits {
            max_connections: self.max_connections,
            max_head_bytes: self.max_head_bytes,
            head_timeout: self.head_timeout,
            dead_peer_timeout: self.body_timeout,
            drain_timeout: self.drain_timeout,
            reader: Some(ReaderLimits::without_budget(self.body_timeout)),
        }
    }

    /// Returns the timeouts of calls to the next process.
    pub fn client_timeouts(&self) -> ClientTimeouts {
        ClientTimeouts {
            connect: self.connect_timeout,
            head: self.response_timeout,
            read: self.read_timeout,
            idle: self.idle_timeout,
        }
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    /// A listener that closed earlier would fail requests sent on idle
    /// connections.
    #[test]
    fn read_drain_linger_exceeds_idle_timeout() {
        let mut section = Section::new("traffic", json!({}));
        let settings = TrafficSettings::read_for_entry(&mut section);
        assert!(settings.drain_linger > settings.idle_timeout);
    }
}
