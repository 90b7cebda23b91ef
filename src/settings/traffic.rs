//! Bounds on traffic.

use std::time::Duration;

use super::Section;
use crate::http::ClientTimeouts;
use crate::http::ServerLimits;

/// Bounds on traffic at one listener and towards the next process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficSettings {
    /// Threads that serve traffic.
    pub threads: usize,
    /// Connections open at once on each thread.
    pub max_connections: usize,
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time in which a request's head must arrive.
    pub head_timeout: Duration,
    /// Time in which a request's body must arrive.
    pub body_timeout: Duration,
    /// Time to connect to the next process.
    pub connect_timeout: Duration,
    /// Time until the next process answers at all.
    pub answer_timeout: Duration,
    /// Time between two chunks from the next process.
    pub gap_timeout: Duration,
    /// Time for which an unused connection is kept.
    pub idle_timeout: Duration,
    /// Time between leaving the list and closing the listener; longer than
    /// others keep a connection unused, so that none of them sends on one
    /// that is being closed.
    pub drain_linger: Duration,
    /// Time that a drain waits for running requests.
    pub drain_timeout: Duration,
}

/// Default waits for the next process.
#[derive(Debug, Clone, Copy)]
struct Waits {
    answer_ms: u64,
    gap_ms: u64,
}

const TOWARDS_AGENT: Waits = Waits {
    answer_ms: 3_000,
    gap_ms: 3_000,
};

const TOWARDS_SERVER: Waits = Waits {
    answer_ms: 60_000,
    gap_ms: 60_000,
};

impl TrafficSettings {
    /// Reads the section.
    pub fn read(section: &mut Section) -> Self {
        Self::read_with(section, TOWARDS_AGENT)
    }

    /// Reads the section of an agent, whose next process is a backend server:
    /// it sends no heartbeats while it computes a long prompt.
    pub fn read_for_agent(section: &mut Section) -> Self {
        Self::read_with(section, TOWARDS_SERVER)
    }

    fn read_with(section: &mut Section, waits: Waits) -> Self {
        let mut millis = |name: &str, default: u64| {
            Duration::from_millis(section.take_number(name, default, 1..=3_600_000))
        };
        let head_timeout = millis("head_timeout_ms", 5_000);
        let body_timeout = millis("body_timeout_ms", 30_000);
        let connect_timeout = millis("connect_timeout_ms", 500);
        let answer_timeout = millis("answer_timeout_ms", waits.answer_ms);
        let gap_timeout = millis("gap_timeout_ms", waits.gap_ms);
        let idle_timeout = millis("idle_timeout_ms", 2_000);
        let drain_linger = millis("drain_linger_ms", 3_000);
        let drain_timeout = millis("drain_timeout_ms", 60_000);
        let mut count = |name: &str, default: u64, least: u64, most: u64| {
            usize::try_from(section.take_number(name, default, least..=most)).unwrap_or(usize::MAX)
        };
        Self {
            threads: count("threads", 2, 1, 64),
            max_connections: count("max_connections", 4_096, 1, 65_536),
            max_head_bytes: count("max_head_bytes", 32_768, 8_192, 1_048_576),
            max_body_bytes: count("max_body_bytes", 8_388_608, 1_024, 268_435_456),
            head_timeout,
            body_timeout,
            connect_timeout,
            answer_timeout,
            gap_timeout,
            idle_timeout,
            drain_linger,
            drain_timeout,
        }
    }

    /// Returns the bounds of the listener.
    pub fn server_limits(&self) -> ServerLimits {
        ServerLimits {
            max_connections: self.max_connections,
            max_head_bytes: self.max_head_bytes,
            head_timeout: self.head_timeout,
            dead_peer_timeout: self.body_timeout,
            drain_timeout: self.drain_timeout,
        }
    }

    /// Returns the bounds towards the next process.
    pub fn client_timeouts(&self) -> ClientTimeouts {
        ClientTimeouts {
            connect: self.connect_timeout,
            head: self.answer_timeout,
            read: self.gap_timeout,
            idle: self.idle_timeout,
        }
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    #[test]
    fn read_linger_outlasts_idle_connections() {
        let mut section = Section::open("traffic", json!({}));
        let settings = TrafficSettings::read(&mut section);
        assert!(settings.drain_linger > settings.idle_timeout);
    }
}
