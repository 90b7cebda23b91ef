//! Where commands find the platform and the fleet.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;
use serde_json::json;

use super::Exit;
use crate::settings::PlatformSettings;
use crate::settings::Section;

/// Where commands find the platform and the fleet.
#[derive(Debug, Clone)]
pub struct Endpoints {
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Peer addresses named besides the host list.
    pub peers: Vec<SocketAddr>,
}

impl Endpoints {
    /// Takes the places from options, or from a settings file of either role
    /// where the options name none.
    ///
    /// # Errors
    ///
    /// The settings file is faulty; the fault has been printed.
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

    /// Tells the operator that a store is needed, unless one is named.
    ///
    /// # Errors
    ///
    /// No store is named.
    pub fn require_store(&self) -> Result<(), Exit> {
        if self.platform.store.is_empty() {
            eprintln!("No store is named; use --store or --settings.");
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
