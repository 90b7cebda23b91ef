//! Addresses that a process listens on.

use std::net::SocketAddr;

use super::Section;

const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Addresses that a process listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenSettings {
    /// Requests of callers at an entry, of entries at an agent.
    pub traffic: SocketAddr,
    /// Health, metrics and administration; none where left out.
    pub operator: Option<SocketAddr>,
    /// Control messages between teaseldrum's processes; none where left out.
    pub peers: Option<SocketAddr>,
}

impl ListenSettings {
    /// Reads the section.
    pub fn read(section: &mut Section) -> Self {
        Self {
            traffic: section.take_required("traffic", PLACEHOLDER_ADDRESS),
            operator: section.take_optional("operator"),
            peers: section.take_optional("peers"),
        }
    }
}

impl ListenSettings {
    /// Address that stands in for a required one that is missing.
    pub(super) fn placeholder_address() -> SocketAddr {
        PLACEHOLDER_ADDRESS
    }
}
