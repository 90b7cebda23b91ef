//! Addresses of the platform's services and of peers, from the options of a
//! command or from a settings file.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;
use serde_json::json;

use super::Exit;
use crate::settings::PlatformSettings;
use crate::settings::Section;

/// Addresses that a command uses to reach the platform and the fleet.
#[derive(Debug, Clone)]
pub struct Endpoints {
    /// Store and host list, and the timeouts of calls to them.
    pub platform: PlatformSettings,
    /// Peer addresses of processes that need not be on the host list.
    pub peers: Vec<SocketAddr>,
}

impl Endpoints {
    /// Takes each address from the options, or from the settings file of an
    /// entry or an agent if the options do not name it.
    ///
    /// # Errors
    ///
    /// The settings file is invalid; its errors have been printed.
    pub fn resolve(
        settings: Option<&Path>,
        store: &[SocketAddr],
        hosts: Option<SocketAddr>,
        peers: &[SocketAddr],
    ) -> Result<Self, Exit> {
        let value = match settings {
            Some(path) => read_settings(path)?,
            None => json!({}),
        };
        let mut section = Section::new("platform", value["platform"].clone());
        if value["platform"].is_null() {
            section = Section::new("platform", json!({}));
        }
        let mut platform = PlatformSettings::read(&mut section);
        let errors = section.finish();
        if !errors.is_empty() {
            errors.iter().for_each(|error| eprintln!("{error}"));
            return Err(Exit::InvalidInput);
        }
        if !store.is_empty() {
            platform.store = store.to_vec();
        }
        platform.hosts = hosts.or(platform.hosts);
        let named_in_file = serde_json::from_value::<Vec<SocketAddr>>(value["peers"].clone());
        let peers = match peers.is_empty() {
            true => named_in_file.unwrap_or_default(),
            false => peers.to_vec(),
        };
        Ok(Self { platform, peers })
    }

    /// Checks that at least one store address is known; prints an error if
    /// not.
    ///
    /// # Errors
    ///
    /// No store address is known.
    pub fn require_store(&self) -> Result<(), Exit> {
        if self.platform.store.is_empty() {
            eprintln!("No store address given; use --store or --settings.");
            return Err(Exit::InvalidInput);
        }
        Ok(())
    }
}

fn read_settings(path: &Path) -> Result<Value, Exit> {
    let text = fs::read_to_string(path).map_err(|e| e.to_string());
    let value = text.and_then(|text| serde_json::from_str(&text).map_err(|e| e.to_string()));
    value.map_err(|e| {
        eprintln!("{}: {e}", path.display());
        Exit::InvalidInput
    })
}
