//! Where the platform's services are.

use std::net::SocketAddr;
use std::time::Duration;

use super::Section;
use crate::http::ClientTimeouts;

/// Where the platform's services are, and bounds on waits for them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Addresses of the key-value store; empty where there is none.
    pub store: Vec<SocketAddr>,
    /// Address of the host list.
    pub hosts: Option<SocketAddr>,
    /// Time to connect.
    pub connect_timeout: Duration,
    /// Time until a call is answered.
    pub call_timeout: Duration,
    /// Time without a change after which a watch is opened anew.
    pub watch_timeout: Duration,
    /// Time for which an unused connection is kept.
    pub idle_timeout: Duration,
}

impl PlatformSettings {
    /// Reads the section.
    pub fn read(section: &mut Section) -> Self {
        let store = section.take("store", Vec::new());
        let hosts = section.take_optional("hosts");
        let mut millis = |name: &str, default: u64| {
            Duration::from_millis(section.take_number(name, default, 1..=3_600_000))
        };
        Self {
            store,
            hosts,
            connect_timeout: millis("connect_timeout_ms", 500),
            call_timeout: millis("call_timeout_ms", 1_500),
            watch_timeout: millis("watch_timeout_ms", 10_000),
            idle_timeout: millis("idle_timeout_ms", 10_000),
        }
    }

    /// Returns the bounds on a call.
    pub fn call_timeouts(&self) -> ClientTimeouts {
        ClientTimeouts {
            connect: self.connect_timeout,
            head: self.call_timeout,
            read: self.call_timeout,
            idle: self.idle_timeout,
        }
    }

    /// Returns the bounds on a watch.
    pub fn watch_timeouts(&self) -> ClientTimeouts {
        ClientTimeouts {
            read: self.watch_timeout,
            ..self.call_timeouts()
        }
    }
}
