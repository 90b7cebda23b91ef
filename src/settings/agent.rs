//! Settings file of an agent: which backend server it stands in front of and
//! how orders are given to that server.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;

use super::ListenSettings;
use super::LogSettings;
use super::OrderSettings;
use super::PlatformSettings;
use super::Section;
use super::SettingsError;
use super::TrafficSettings;
use super::section::read_json;
use crate::core::ServerName;

/// Settings of an agent, which runs on the host of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// Name of the agent's backend server, unique in the fleet.
    pub name: ServerName,
    /// Availability zone of the host.
    pub zone: String,
    /// Pool that the backend server belongs to.
    pub pool: String,
    /// Address on which the backend server accepts requests and orders.
    pub server: SocketAddr,
    /// Whether the backend server is a model engine, which reports its state,
    /// takes orders and cancels abandoned requests, rather than a plain service.
    pub is_engine: bool,
    /// Addresses that the agent listens on.
    pub listen: ListenSettings,
    /// Limits on requests, and timeouts towards the backend server.
    pub traffic: TrafficSettings,
    /// Level and format of the log.
    pub log: LogSettings,
    /// How orders are given to the backend server.
    pub orders: OrderSettings,
    /// Addresses of the platform's services, and timeouts of calls to them.
    pub platform: PlatformSettings,
    /// Peer addresses in addition to those on the platform's host list.
    pub peers: Vec<SocketAddr>,
}

impl AgentSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not JSON or has invalid fields.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read_json(path)?)
    }

    /// Checks settings given as JSON.
    ///
    /// # Errors
    ///
    /// Fields are invalid; the error lists all of them.
    pub fn parse(value: &Value) -> Result<Self, SettingsError> {
        Section::read_root(value.clone(), Self::read)
    }

    /// Returns the peer addresses that the settings name.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.peers.clone()
    }

    fn read(section: &mut Section) -> Self {
        let name: String = section.take_required("name", String::new());
        Self {
            name: ServerName::from(name.as_str()),
            zone: section.take_required("zone", String::new()),
            pool: section.take_required("pool", String::new()),
            server: section.take_required("server", ListenSettings::placeholder_address()),
            is_engine: section.take("engine", true),
            listen: section.take_section("listen", ListenSettings::read),
            traffic: section.take_section("traffic", TrafficSettings::read_for_agent),
            log: section.take_section("log", LogSettings::read),
            orders: section.take_section("orders", OrderSettings::read),
            platform: section.take_section("platform", PlatformSettings::read),
            peers: section.take("peers", Vec::new()),
        }
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    /// A backend server sends nothing while it computes a long prompt, so the
    /// agent must wait for it longer than an entry waits for the agent.
    #[test]
    fn parse_default_timeouts_exceed_those_of_entry() {
        let value = json!({
            "name": "s1", "zone": "a", "pool": "p", "server": "127.0.0.1:1",
            "listen": {"traffic": "127.0.0.1:0"},
        });
        let settings = AgentSettings::parse(&value).expect("valid settings");
        let entry_traffic = TrafficSettings::read_for_entry(&mut Section::new("", json!({})));
        assert!(settings.traffic.response_timeout > entry_traffic.response_timeout);
        assert!(settings.traffic.read_timeout > entry_traffic.read_timeout);
    }
}
