//! A backend server listed in the settings of an entry.

use std::net::SocketAddr;

use super::Section;
use super::listen::ListenSettings;
use crate::core::ServerName;

/// A backend server, reached through its agent on the same host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSettings {
    /// Name of the server, unique in the fleet.
    pub name: ServerName,
    /// Pool that the server belongs to.
    pub pool: String,
    /// Availability zone of its host.
    pub zone: String,
    /// Traffic address of its agent.
    pub traffic_address: SocketAddr,
    /// Peer address of its agent, for control messages.
    pub peer_address: Option<SocketAddr>,
}

impl ServerSettings {
    /// Reads one object of the list `servers`.
    pub fn read(section: &mut Section) -> Self {
        let name: String = section.take_required("name", String::new());
        let pool = section.take_required("pool", String::new());
        let zone = section.take_required("zone", String::new());
        let traffic_address =
            section.take_required("address", ListenSettings::placeholder_address());
        let peer_address = section.take_optional("peers");
        Self {
            name: ServerName::from(name.as_str()),
            pool,
            zone,
            traffic_address,
            peer_address,
        }
    }
}
