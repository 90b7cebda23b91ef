//! `teaseldrum sidecar`: runs the sidecar of one engine with the adapters of
//! the platform until a signal stops it.

use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;

use super::Exit;
use super::gateway::create_platform_client;
use super::run_role::resolve_settings_path;
use super::run_role::run_role;
use crate::platform::PlatformEngineClient;
use crate::platform::PlatformKvCacheFeed;
use crate::settings::SidecarSettings;
use crate::sidecar::SidecarPorts;
use crate::sidecar::run_sidecar;

/// Run the sidecar of one engine of a fleet: send it orders, and report its
/// load and cached prompt parts to the gateways.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "sidecar")]
pub struct SidecarCommand {
    /// settings file in JSON
    #[argh(option)]
    settings: Option<PathBuf>,
    /// environment variable that holds the path of the settings file
    #[argh(option)]
    settings_from: Option<String>,
}

impl SidecarCommand {
    /// Runs the sidecar until SIGTERM or SIGINT.
    pub fn run(self) -> Exit {
        let Some(file) = resolve_settings_path(self.settings, self.settings_from) else {
            return Exit::InvalidInput;
        };
        run_role(
            &file,
            SidecarSettings::load,
            |settings| &settings.log,
            |settings| {
                let client = create_platform_client();
                let ports = SidecarPorts {
                    engine: Arc::new(PlatformEngineClient::new(client.clone())),
                    kv_cache: Arc::new(PlatformKvCacheFeed::new(client)),
                };
                run_sidecar(settings, ports)
            },
        )
    }
}
