//! Client of the platform's host list.

use std::net::SocketAddr;

use http::Request;
use http::header::HOST;
use serde::Deserialize;

use super::Host;
use super::StoreError;
use super::wire::decode;
use crate::http::Client;
use crate::http::empty_body;
use crate::settings::PlatformSettings;

const PATH: &str = "/v1/hosts";
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Client of the platform's host list. All clones must be used on one runtime,
/// because they share connections.
#[derive(Debug, Clone)]
pub struct HostList {
    address: SocketAddr,
    client: Client,
}

#[derive(Debug, Deserialize)]
struct HostListResponse {
    hosts: Vec<Host>,
}

impl HostList {
    /// Creates a client; `None` if the settings name no host list.
    pub fn new(settings: &PlatformSettings) -> Option<Self> {
        Some(Self {
            address: settings.hosts?,
            client: Client::new(settings.call_timeouts()),
        })
    }

    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// The platform was not reached or did not respond with a list.
    pub async fn read(&self) -> Result<Vec<Host>, StoreError> {
        let req = Request::get(PATH)
            .header(HOST, self.address.to_string())
            .body(empty_body())
            .map_err(|e| StoreError::NotReached(e.to_string()))?;
        let mut exchange = self.client.send(self.address, req).await?;
        let status = exchange.status().as_u16();
        let body = exchange.read_rest(MAX_RESPONSE_BYTES).await?;
        let response: HostListResponse = decode(status, &body)?;
        Ok(response.hosts)
    }
}
