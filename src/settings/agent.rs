//! Settings of an agent.

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

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// Name of the backend server beside the agent.
    pub name: ServerName,
    /// Availability zone of the host.
    pub zone: String,
    /// Pool that the backend server belongs to.
    pub pool: String,
    /// Address of the backend server.
    pub server: SocketAddr,
    /// The backend server is a model engine, not a plain service.
    pub is_engine: bool,
    /// Addresses that the agent listens on.
    pub listen: ListenSettings,
    /// Bounds on traffic.
    pub traffic: TrafficSettings,
    /// What is logged and how.
    pub log: LogSettings,
    /// How orders are given to the backend server.
    pub orders: OrderSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Peer addresses known besides those on the platform's host list.
    pub peers: Vec<SocketAddr>,
}

impl AgentSettings {
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
        Section::read_root(value.clone(), Self::read)
    }

    /// Returns all peer addresses that the settings name.
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

    #[test]
    fn parse_default_timeouts_exceed_those_of_entry() {
        let value = json!({
            "name": "s1", "zone": "a", "pool": "p", "server": "127.0.0.1:1",
            "listen": {"traffic": "127.0.0.1:0"},
        });
        let settings = AgentSettings::parse(&value).expect("valid settings");
        let entry_traffic = TrafficSettings::read(&mut Section::new("", json!({})));
        assert!(settings.traffic.response_timeout > entry_traffic.response_timeout);
        assert!(settings.traffic.gap_timeout > entry_traffic.gap_timeout);
    }
}
