//! Settings file of a sidecar: the engine that it manages and its listeners.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;

use super::ListenSettings;
use super::LogSettings;
use super::MemorySettings;
use super::Section;
use super::SettingsError;
use super::bounds::read_version_time;
use super::section::read_json;
use crate::http::ReaderLimits;

/// Settings of a sidecar, which manages the engine on its host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SidecarSettings {
    /// Name of the host, under which the sidecar holds the right to give the
    /// engine orders.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Listen address for control messages of gateways.
    pub listen: SocketAddr,
    /// Listen address for metrics; not served if left out.
    pub metrics: Option<SocketAddr>,
    /// Address on which the engine accepts calls.
    pub engine: SocketAddr,
    /// Time within which all engines have to be at a new weights version.
    pub version_time: Duration,
    /// Whether no earlier process can have ordered the engine, or granted calls holds on its
    /// weights.
    pub is_first_start: bool,
    /// Names of the optional features of the deployment; unknown names are ignored.
    pub options: Vec<String>,
    /// Whether readers that stop reading are disconnected, and when.
    pub memory: MemorySettings,
    /// Level and format of the log.
    pub log: LogSettings,
}

impl SidecarSettings {
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

    /// Returns the limits on readers of the metrics that read slowly.
    pub fn reader_limits(&self) -> ReaderLimits {
        ReaderLimits::without_budget(self.memory.reader_timeout)
    }

    fn read(section: &mut Section) -> Self {
        Self {
            name: section.take_required("name", String::new()),
            zone: section.take_required("zone", String::new()),
            listen: section.take_required("listen", ListenSettings::placeholder_address()),
            metrics: section.take_optional("metrics"),
            engine: section.take_required("engine", ListenSettings::placeholder_address()),
            version_time: read_version_time(section),
            is_first_start: section.take("first_start", true),
            options: section.take("options", Vec::new()),
            memory: section.take_section("memory", MemorySettings::read),
            log: section.take_section("log", LogSettings::read),
        }
    }
}
