//! Settings file of an entry: its listeners, limits on requests, backend
//! servers, and its share in the rates of client accounts.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;

use super::ListenSettings;
use super::LogSettings;
use super::PlatformSettings;
use super::Section;
use super::ServerSettings;
use super::SettingsError;
use super::ShareSettings;
use super::TrafficSettings;
use super::section::read_json;

const DEFAULT_MAX_PROMPT_BYTES: u64 = 4 * 1024 * 1024;
const MAX_PROMPT_BYTES: u64 = 256 * 1024 * 1024;
const DEFAULT_MAX_BUFFERED_BYTES: u64 = 48 * 1024 * 1024;
const MIN_BUFFERED_BYTES: u64 = 1024;
const MAX_BUFFERED_BYTES: u64 = 16 * 1024 * 1024 * 1024;
const DEFAULT_ONCE_RETENTION_S: u64 = 86_400;
const MIN_ONCE_RETENTION_S: u64 = 3_600;
const MAX_ONCE_RETENTION_S: u64 = 2_592_000;

/// Settings of an entry, the role that serves clients.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of the host, unique in the fleet.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Addresses that the entry listens on.
    pub listen: ListenSettings,
    /// Limits on requests, and timeouts towards agents.
    pub traffic: TrafficSettings,
    /// Level and format of the log.
    pub log: LogSettings,
    /// Addresses of the platform's services, and timeouts of calls to them.
    pub platform: PlatformSettings,
    /// Largest prompt of one request, in bytes of text.
    pub max_prompt_bytes: usize,
    /// Memory limit on the bodies of all requests that are being read, in
    /// bytes.
    pub max_buffered_bytes: usize,
    /// This entry's share in the rates of client accounts.
    pub share: ShareSettings,
    /// Time for which the store keeps the records of requests that may run at
    /// most once.
    pub once_retention: Duration,
    /// Rules file that is in force until newer rules arrive from the platform's
    /// store.
    pub rules_file: Option<PathBuf>,
    /// Peer addresses in addition to those on the platform's host list.
    pub peers: Vec<SocketAddr>,
    /// Backend servers in addition to those on the platform's host list.
    pub servers: Vec<ServerSettings>,
}

impl EntrySettings {
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

    /// Returns the peer addresses that the settings name, those of the backend
    /// servers' agents included.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let agents = self.servers.iter().filter_map(|server| server.peer_address);
        self.peers.iter().copied().chain(agents).collect()
    }

    fn read(section: &mut Section) -> Self {
        Self {
            name: section.take_required("name", String::new()),
            zone: section.take_required("zone", String::new()),
            listen: section.take_section("listen", ListenSettings::read),
            traffic: section.take_section("traffic", TrafficSettings::read_for_entry),
            log: section.take_section("log", LogSettings::read),
            platform: section.take_section("platform", PlatformSettings::read),
            max_prompt_bytes: section.take_size(
                "max_prompt_bytes",
                DEFAULT_MAX_PROMPT_BYTES,
                1..=MAX_PROMPT_BYTES,
            ),
            max_buffered_bytes: section.take_size(
                "max_buffered_bytes",
                DEFAULT_MAX_BUFFERED_BYTES,
                MIN_BUFFERED_BYTES..=MAX_BUFFERED_BYTES,
            ),
            share: section.take_section("share", ShareSettings::read),
            once_retention: Duration::from_secs(section.take_number(
                "once_retention_s",
                DEFAULT_ONCE_RETENTION_S,
                MIN_ONCE_RETENTION_S..=MAX_ONCE_RETENTION_S,
            )),
            rules_file: section.take_optional("rules_file"),
            peers: section.take("peers", Vec::new()),
            servers: section.take_list("servers", ServerSettings::read),
        }
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    #[test]
    fn parse_minimal_settings() {
        let value = json!({"name": "e1", "zone": "a", "listen": {"traffic": "127.0.0.1:0"}});
        let settings = EntrySettings::parse(&value).expect("valid settings");
        assert_eq!(settings.name, "e1");
        assert_eq!(settings.traffic.threads, 2);
    }

    #[test]
    fn parse_reports_every_invalid_field() {
        let value = json!({
            "zone": 4,
            "listen": {"traffic": "nowhere"},
            "traffic": {"threads": 0},
            "servers": [{"name": "s1"}],
            "colour": "red",
        });
        let Err(SettingsError::InvalidFields(errors)) = EntrySettings::parse(&value) else {
            panic!("the settings must be rejected with a list of invalid fields");
        };
        let paths: Vec<&str> = errors.iter().map(|error| error.path.as_str()).collect();
        assert_eq!(
            paths,
            [
                "name",
                "zone",
                "listen.traffic",
                "traffic.threads",
                "servers[0].pool",
                "servers[0].zone",
                "servers[0].address",
                "colour"
            ]
        );
    }
}
