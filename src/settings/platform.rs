//! Addresses of the platform's store and host list, and timeouts of calls to
//! them.

use std::net::SocketAddr;
use std::time::Duration;

use super::Section;
use crate::http::ClientTimeouts;

/// Addresses of the platform's services, and timeouts of calls to them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Addresses of the key-value store's replicas; empty if there is no store.
    pub store: Vec<SocketAddr>,
    /// Address of the service that lists the hosts; `None` if there is none.
    pub hosts: Option<SocketAddr>,
    /// Time in which a connection must be made.
    pub connect_timeout: Duration,
    /// Time in which the response to a call must begin, and longest gap within
    /// it.
    pub call_timeout: Duration,
    /// Time without any data after which a watch is opened again.
    pub watch_timeout: Duration,
    /// Time for which an unused connection is kept; no call to the platform leaves one.
    pub idle_timeout: Duration,
}

impl PlatformSettings {
    /// Reads the section `platform`.
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

    /// Returns the timeouts of a call.
    pub fn call_timeouts(&self) -> ClientTimeouts {
        ClientTimeouts {
            connect: self.connect_timeout,
            head: self.call_timeout,
            read: self.call_timeout,
            idle: self.idle_timeout,
        }
    }

    /// Returns the timeouts of a watch: those of a call, but with
    /// `watch_timeout` between two messages.
    pub fn watch_timeouts(&self) -> ClientTimeouts {
        ClientTimeouts {
            read: self.watch_timeout,
            ..self.call_timeouts()
        }
    }
}
