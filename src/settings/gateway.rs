//! Settings file of a gateway, and the limits that follow from the memory and
//! the descriptors that it names.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use super::AdmissionSettings;
use super::BoundSettings;
use super::ListenSettings;
use super::LogSettings;
use super::MemorySettings;
use super::Section;
use super::SettingsError;
use super::ZoneSettings;
use super::section::read_json;
use crate::http::ByteBudget;
use crate::http::ClientTimeouts;
use crate::http::ReaderLimits;

/// Time to connect to a server. Round trips between zones take milliseconds. A
/// lost SYN packet, which Linux retransmits after 1 s, exceeds this time; the
/// attempt then fails without having been sent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which an unused connection to a server is kept if the server states no
/// keep-alive timeout. Most servers keep theirs for longer, so that the gateway
/// closes first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Upper limit on the wait for the head or the next chunk of a response; each call
/// sets shorter timeouts of its own.
const MAX_RESPONSE_WAIT: Duration = Duration::from_secs(600);

/// Fraction of the memory limit that everything held for callers may take.
/// A gateway takes 17 to 34 MB besides, and a body that states no length up to twice
/// its size.
const HELD_MEMORY_FRACTION: f64 = 0.5;

/// Buffers of a connection of a caller and of the connection to its server, in bytes.
const CONNECTION_BYTES: usize = 64 * 1024;

/// Receive buffer of a connection to a server, in bytes; the kernel doubles it. Holds
/// what a server sends while its call's caller reads slowly.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// Descriptors reserved for files and for connections that serve no client's
/// request. The others are split evenly between connections from clients and
/// to servers.
const RESERVED_DESCRIPTORS: usize = 300;

/// Settings of a gateway, the role that serves the clients of a fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host, unique in the fleet.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Addresses that the gateway listens on.
    pub listen: GatewayListenSettings,
    /// Peer addresses of some other gateways, through which this one finds the
    /// rest.
    pub seeds: Vec<SocketAddr>,
    /// Port on which the agents (sidecars) of engines accept control messages.
    pub agent_port: u16,
    /// Address of the store that holds the configuration, the target weights
    /// versions and the backend server records.
    pub store: SocketAddr,
    /// Memory limit of the process, in megabytes of 1e6 bytes.
    pub memory_mb: u64,
    /// Limit on open file descriptors of the process.
    pub descriptors: u64,
    /// Time from the stop signal until the process must have ended; 0.1 s to
    /// one hour.
    pub stop_timeout: Duration,
    /// Whether the whole fleet starts for the first time, so that no earlier process
    /// has used any of the limits.
    pub is_first_start: bool,
    /// Limits that hold for all gateways together.
    pub bounds: BoundSettings,
    /// Names of the optional features of the deployment; unknown names are ignored.
    pub options: Vec<String>,
    /// Whether calls wait while servers have no room.
    pub admission: AdmissionSettings,
    /// What the gateway may hold for its callers.
    pub memory: MemorySettings,
    /// Traffic between availability zones.
    pub zones: ZoneSettings,
    /// Level and format of the log.
    pub log: LogSettings,
}

/// Addresses that a gateway listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayListenSettings {
    /// Requests of clients.
    pub traffic: SocketAddr,
    /// Readiness checks of the load balancer.
    pub health: SocketAddr,
    /// Control messages of other gateways.
    pub peers: SocketAddr,
    /// Metrics; served on the address of `health` if left out.
    pub metrics: Option<SocketAddr>,
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not JSON or has invalid fields.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read_json(path)?)
    }

    /// Parses and checks settings given as JSON.
    ///
    /// # Errors
    ///
    /// Fields are invalid; the error lists all of them.
    pub fn parse(value: &Value) -> Result<Self, SettingsError> {
        Section::read_root(value.clone(), Self::read)
    }

    /// Returns the timeouts of calls to backend servers.
    pub fn client_timeouts(&self) -> ClientTimeouts {
        ClientTimeouts {
            connect: CONNECT_TIMEOUT,
            head: MAX_RESPONSE_WAIT,
            read: MAX_RESPONSE_WAIT,
            idle: IDLE_TIMEOUT,
        }
    }

    /// Returns whether the bodies that are outstanding at a server are bounded.
    pub fn has_server_bounds(&self) -> bool {
        self.memory.is_enabled || self.has_option("pressure")
    }

    /// Returns the memory limit on everything that is held for callers, in bytes,
    /// without the buffers of connections.
    pub fn max_buffered_bytes(&self) -> usize {
        self.max_held_bytes() - self.max_connections() * CONNECTION_BYTES
    }

    /// Returns the memory limit on everything that is held for callers.
    fn max_held_bytes(&self) -> usize {
        (self.memory_mb as f64 * 1e6 * HELD_MEMORY_FRACTION) as usize
    }

    /// Returns the limit on simultaneous connections from clients; at least 16. Their
    /// buffers take at most half of what may be held.
    pub fn max_connections(&self) -> usize {
        let descriptors = usize::try_from(self.descriptors).unwrap_or(usize::MAX);
        let connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        let by_memory = self.max_held_bytes() / 2 / CONNECTION_BYTES;
        connections.min(by_memory).max(16)
    }

    /// Returns the limit on connections of other gateways; at least 64.
    pub fn max_peer_connections(&self) -> usize {
        let descriptors = usize::try_from(self.descriptors).unwrap_or(usize::MAX);
        (descriptors / 8).max(64)
    }

    /// Returns the receive buffer of connections to servers, in bytes.
    pub fn receive_buffer_bytes(&self) -> u32 {
        RECEIVE_BUFFER_BYTES
    }

    /// Returns the limits on callers that read slowly.
    pub fn reader_limits(&self, budget: &Arc<ByteBudget>) -> ReaderLimits {
        self.memory.reader_limits(budget)
    }

    /// Returns whether the deployment has the optional feature `name`.
    pub fn has_option(&self, name: &str) -> bool {
        self.options.iter().any(|option| option == name)
    }

    /// Returns whether there are seeds other than this gateway.
    pub fn has_other_seeds(&self) -> bool {
        self.seeds.iter().any(|seed| *seed != self.listen.peers)
    }

    /// Returns whether calls wait in the gateway while servers have no room.
    pub fn has_admission(&self) -> bool {
        self.admission.is_enabled || self.has_option("pressure")
    }

    fn read(section: &mut Section) -> Self {
        let stop_s: f64 = section.take("stop_timeout_s", 8.0);
        Self {
            name: section.take_required("name", String::new()),
            zone: section.take_required("zone", String::new()),
            listen: section.take_section("listen", GatewayListenSettings::read),
            seeds: section.take("seeds", Vec::new()),
            agent_port: section.take_required("agent_port", 0),
            store: section.take_required("store", ListenSettings::placeholder_address()),
            memory_mb: section.take_number("memory_mb", 256, 16..=1_000_000),
            descriptors: section.take_number("descriptors", 1_024, 400..=10_000_000),
            stop_timeout: Duration::from_secs_f64(stop_s.clamp(0.1, 3_600.0)),
            is_first_start: section.take("first_start", false),
            bounds: section.take_section("bounds", BoundSettings::read),
            options: section.take("options", Vec::new()),
            admission: section.take_section("admission", AdmissionSettings::read),
            memory: section.take_section("memory", MemorySettings::read),
            zones: section.take_section("zones", ZoneSettings::read),
            log: section.take_section("log", LogSettings::read),
        }
    }
}

impl GatewayListenSettings {
    fn read(section: &mut Section) -> Self {
        Self {
            traffic: section.take_required("traffic", ListenSettings::placeholder_address()),
            health: section.take_required("health", ListenSettings::placeholder_address()),
            peers: section.take_required("peers", ListenSettings::placeholder_address()),
            metrics: section.take_optional("metrics"),
        }
    }
}
