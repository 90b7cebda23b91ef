//! Settings of a sidecar.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;

use super::ListenSettings;
use super::LogSettings;
use super::Section;
use super::SettingsError;
use super::section::read_json;

/// Settings of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SidecarSettings {
    /// Name of the host; the holder of orders to the engine.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address for control messages of entries.
    pub listen: SocketAddr,
    /// Readers of metrics.
    pub metrics: Option<SocketAddr>,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// What is logged and how.
    pub log: LogSettings,
}

impl SidecarSettings {
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

    fn read(section: &mut Section) -> Self {
        Self {
            name: section.take_required("name", String::new()),
            zone: section.take_required("zone", String::new()),
            listen: section.take_required("listen", ListenSettings::placeholder_address()),
            metrics: section.take_optional("metrics"),
            engine: section.take_required("engine", ListenSettings::placeholder_address()),
            log: section.take_section("log", LogSettings::read),
        }
    }
}
