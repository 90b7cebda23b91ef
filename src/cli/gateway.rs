//! `teaseldrum gateway`: runs a gateway with the adapters of the platform
//! until a signal stops it.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;

use super::Exit;
use super::run_role::resolve_settings_path;
use super::run_role::run_role;
use crate::gateway::GatewayPorts;
use crate::gateway::run_gateway;
use crate::http::Client;
use crate::http::ClientTimeouts;
use crate::platform::PlatformDialect;
use crate::platform::PlatformEngineClient;
use crate::platform::PlatformKvCacheFeed;
use crate::platform::PlatformStoreClient;
use crate::settings::GatewaySettings;

/// Serve clients of a fleet whose configuration is in the platform's store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayCommand {
    /// settings file in JSON
    #[argh(option)]
    settings: Option<PathBuf>,
    /// environment variable that holds the path of the settings file
    #[argh(option)]
    settings_from: Option<String>,
}

impl GatewayCommand {
    /// Runs the gateway until SIGTERM or SIGINT.
    pub fn run(self) -> Exit {
        let Some(file) = resolve_settings_path(self.settings, self.settings_from) else {
            return Exit::InvalidInput;
        };
        run_role(
            &file,
            GatewaySettings::load,
            |settings| &settings.log,
            |settings| {
                let ports = create_ports(&settings);
                run_gateway(settings, file.clone(), ports)
            },
        )
    }
}

/// Time to connect to the platform's store or to an event feed of an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an unused connection to the platform is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Upper limit on the wait for a response; each call sets a shorter timeout of
/// its own.
const MAX_RESPONSE_WAIT: Duration = Duration::from_secs(60);

/// Creates the HTTP client for the platform's store and engines.
pub(super) fn create_platform_client() -> Client {
    Client::new(ClientTimeouts {
        connect: CONNECT_TIMEOUT,
        head: MAX_RESPONSE_WAIT,
        read: MAX_RESPONSE_WAIT,
        idle: IDLE_TIMEOUT,
    })
}

/// Creates the adapters through which a gateway uses the platform.
fn create_ports(settings: &GatewaySettings) -> GatewayPorts {
    let client = create_platform_client();
    let store = Arc::new(PlatformStoreClient::new(client.clone(), settings.store));
    GatewayPorts {
        dialect: Arc::new(PlatformDialect),
        source: Arc::clone(&store) as _,
        kv_cache: Arc::new(PlatformKvCacheFeed::new(client.clone())),
        engine: Arc::new(PlatformEngineClient::new(client)),
        claims: Arc::clone(&store) as _,
        rollouts: store,
    }
}
