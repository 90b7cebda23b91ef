//! `teaseldrum sidecar`: tends the engine beside it until told to stop.

use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;

use super::Exit;
use super::gateway::platform_client;
use super::run_role::find_settings;
use super::run_role::run_role;
use crate::platform::PlatformEngineClient;
use crate::platform::PlatformKvCacheFeed;
use crate::settings::SidecarSettings;
use crate::sidecar::SidecarPorts;
use crate::sidecar::run_sidecar;

/// Tend the engine of a fleet beside this process: orders, load, cached parts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "sidecar")]
pub struct SidecarCommand {
    /// settings file in JSON
    #[argh(option)]
    settings: Option<PathBuf>,
    /// variable of the environment that holds the path of the settings file
    #[argh(option)]
    settings_from: Option<String>,
}

impl SidecarCommand {
    /// Runs the sidecar until SIGTERM or SIGINT.
    pub fn run(self) -> Exit {
        let Some(file) = find_settings(self.settings, self.settings_from) else {
            return Exit::Faulty;
        };
        run_role(
            &file,
            SidecarSettings::load,
            |settings| &settings.log,
            |settings| {
                let client = platform_client();
                let ports = SidecarPorts {
                    engine: Arc::new(PlatformEngineClient::new(client.clone())),
                    kv_cache: Arc::new(PlatformKvCacheFeed::new(client)),
                };
                run_sidecar(settings, ports)
            },
        )
    }
}
