//! Settings of a gateway.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;

use super::BoundSettings;
use super::ListenSettings;
use super::LogSettings;
use super::Section;
use super::SettingsError;
use super::section::read_json;
use crate::http::ClientTimeouts;

/// Time to make a connection to a server: zones are milliseconds apart, and a
/// lost packet is sent again after a fraction of a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which an unused connection to a server is kept, unless the server
/// states less; below the idle time of common servers.
const KEEP_IDLE: Duration = Duration::from_secs(4);

/// Longest wait for an answer; each call brings a shorter one of its own.
const MOST_WAIT: Duration = Duration::from_secs(600);

/// Part of the memory that request bodies may take.
const BODY_MEMORY_SHARE: f64 = 0.25;

/// Descriptors that are kept for files and for connections of the gateway's
/// own; the others are split between callers and servers.
const OWN_DESCRIPTORS: usize = 300;

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Addresses that it listens on.
    pub listen: GatewayListen,
    /// Control addresses of some other entries.
    pub seeds: Vec<SocketAddr>,
    /// Port that agents beside engines take control messages on.
    pub agent_port: u16,
    /// Address of the store that configuration and members are in.
    pub store: SocketAddr,
    /// Memory that the process may take, in megabytes.
    pub memory_mb: u64,
    /// Descriptors that the process may open.
    pub descriptors: u64,
    /// Time from a stop's announcement to its end.
    pub stop_timeout: Duration,
    /// Bounds on all entries together.
    pub bounds: BoundSettings,
    /// What is logged and how.
    pub log: LogSettings,
}

/// Addresses that a gateway listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayListen {
    /// Callers.
    pub traffic: SocketAddr,
    /// The balancer's question for readiness.
    pub health: SocketAddr,
    /// Control messages of other entries.
    pub peers: SocketAddr,
    /// Readers of metrics; served beside readiness where left out.
    pub metrics: Option<SocketAddr>,
}

impl GatewaySettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not JSON or has faulty fields.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read_json(path)?)
    }

    /// Reads settings from JSON.
    ///
    /// # Errors
    ///
    /// The JSON has faulty fields; all of them are returned.
    pub fn parse(value: &Value) -> Result<Self, SettingsError> {
        Section::read_whole(value.clone(), Self::read)
    }

    /// Bounds on the waits for servers.
    pub fn client_timeouts(&self) -> ClientTimeouts {
        ClientTimeouts {
            connect: CONNECT_TIMEOUT,
            head: MOST_WAIT,
            read: MOST_WAIT,
            idle: KEEP_IDLE,
        }
    }

    /// Bytes that request bodies may take together.
    pub fn body_bytes(&self) -> usize {
        let bytes = self.memory_mb as f64 * 1e6 * BODY_MEMORY_SHARE;
        bytes as usize
    }

    /// Connections of callers at once.
    pub fn max_connections(&self) -> usize {
        let descriptors = usize::try_from(self.descriptors).unwrap_or(usize::MAX);
        (descriptors.saturating_sub(OWN_DESCRIPTORS) / 2).max(16)
    }

    fn read(section: &mut Section) -> Self {
        let stop_s: f64 = section.take("stop_timeout_s", 8.0);
        Self {
            name: section.take_required("name", String::new()),
            zone: section.take_required("zone", String::new()),
            listen: section.take_section("listen", GatewayListen::read),
            seeds: section.take("seeds", Vec::new()),
            agent_port: section.take_required("agent_port", 0),
            store: section.take_required("store", ListenSettings::unset()),
            memory_mb: section.take_number("memory_mb", 256, 16..=1_000_000),
            descriptors: section.take_number("descriptors", 1_024, 400..=10_000_000),
            stop_timeout: Duration::from_secs_f64(stop_s.clamp(0.1, 3_600.0)),
            bounds: section.take_section("bounds", BoundSettings::read),
            log: section.take_section("log", LogSettings::read),
        }
    }
}

impl GatewayListen {
    fn read(section: &mut Section) -> Self {
        Self {
            traffic: section.take_required("traffic", ListenSettings::unset()),
            health: section.take_required("health", ListenSettings::unset()),
            peers: section.take_required("peers", ListenSettings::unset()),
            metrics: section.take_optional("metrics"),
        }
    }
}
