//! `teaseldrum gateway`: serves callers of a fleet until told to stop.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;

use super::Exit;
use super::run_role::find_settings;
use super::run_role::run_role;
use crate::gateway::GatewayPorts;
use crate::gateway::run_gateway;
use crate::http::Client;
use crate::http::ClientTimeouts;
use crate::platform::PlatformDialect;
use crate::platform::PlatformKvCacheFeed;
use crate::platform::PlatformStoreClient;
use crate::settings::GatewaySettings;

/// Serve callers of a fleet whose configuration lies in the platform's store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayCommand {
    /// settings file in JSON
    #[argh(option)]
    settings: Option<PathBuf>,
    /// variable of the environment that holds the path of the settings file
    #[argh(option)]
    settings_from: Option<String>,
}

impl GatewayCommand {
    /// Runs the gateway until SIGTERM or SIGINT.
    pub fn run(self) -> Exit {
        let Some(file) = find_settings(self.settings, self.settings_from) else {
            return Exit::Faulty;
        };
        run_role(
            &file,
            GatewaySettings::load,
            |settings| &settings.log,
            |settings| {
                let ports = connect(&settings);
                run_gateway(settings, file.clone(), ports)
            },
        )
    }
}

/// Time to connect to the store or to a feed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which their connections are kept.
const KEEP_IDLE: Duration = Duration::from_secs(3);

/// Longest wait for an answer; each call brings a shorter one of its own.
const MOST_WAIT: Duration = Duration::from_secs(60);

/// Returns a client for calls to the platform.
pub(super) fn platform_client() -> Client {
    Client::new(ClientTimeouts {
        connect: CONNECT_TIMEOUT,
        head: MOST_WAIT,
        read: MOST_WAIT,
        idle: KEEP_IDLE,
    })
}

fn connect(settings: &GatewaySettings) -> GatewayPorts {
    let client = platform_client();
    GatewayPorts {
        dialect: Arc::new(PlatformDialect),
        source: Arc::new(PlatformStoreClient::new(client.clone(), settings.store)),
        kv_cache: Arc::new(PlatformKvCacheFeed::new(client)),
    }
}
