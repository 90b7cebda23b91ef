//! Listen addresses of an entry or an agent.

use std::net::SocketAddr;

use super::Section;

/// Stands in for a required address that is missing or invalid, until the
/// settings are rejected.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Listen addresses of an entry or an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenSettings {
    /// Requests: from clients at an entry, from entries at an agent.
    pub traffic: SocketAddr,
    /// Health checks, metrics and administration; not served if left out.
    pub operator: Option<SocketAddr>,
    /// Control messages of other teaseldrum processes; not served if left out.
    pub peers: Option<SocketAddr>,
}

impl ListenSettings {
    /// Reads the section `listen`.
    pub fn read(section: &mut Section) -> Self {
        Self {
            traffic: section.take_required("traffic", PLACEHOLDER_ADDRESS),
            operator: section.take_optional("operator"),
            peers: section.take_optional("peers"),
        }
    }
}

impl ListenSettings {
    /// Returns the address that stands in for a required one that is missing.
    pub(super) fn placeholder_address() -> SocketAddr {
        PLACEHOLDER_ADDRESS
    }
}
