//! Callers that do not behave, before the listeners of entries and agents that run as
//! processes of their own. One test runs at a time.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use teaseldrum::threads::build_runtime;
use teaseldrum_lab::background_server::BackgroundServer;
use teaseldrum_lab::crowd::CrowdTarget;
use teaseldrum_lab::crowd::CrowdTrial;
use teaseldrum_lab::crowd::Misbehavior;
use teaseldrum_lab::deployment::desk_rules;
use teaseldrum_lab::deployment::server_settings;
use teaseldrum_lab::deployment::write_rules_file;
use teaseldrum_lab::engine::EngineScript;
use teaseldrum_lab::engine::start_scripted_engine;
use teaseldrum_lab::loopback::allocate_address;
use teaseldrum_lab::soak::RoleProcess;

/// Memory that the control processes of a node may take, in megabytes of 1e6 bytes.
const NODE_MEMORY_MB: u64 = 128;

/// Descriptors of a process.
const DESCRIPTORS: usize = 600;

/// Connections that a process accepts at its traffic listener.
const MAX_CONNECTIONS: usize = 120;

/// Limit on bodies.
const MAX_BODY_BYTES: usize = 1_000_000;

const ACCOUNT_KEY: &str = "secret-of-desk";

/// A stream that is long enough to fill the buffers on its way.
const ENGINE_SCRIPT: EngineScript = EngineScript {
    first_event_delay: Duration::ZERO,
    gap: Duration::ZERO,
    events: 3_000,
    sends_end_marker: true,
};

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Listener of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listener {
    Traffic,
    Peers,
    Operator,
}

/// Addresses of the listeners of a process.
#[derive(Debug, Clone, Copy)]
struct Listeners {
    traffic: SocketAddr,
    peers: SocketAddr,
    operator: SocketAddr,
}

impl Listeners {
    fn allocate() -> Self {
        Self {
            traffic: allocate_address(),
            peers: allocate_address(),
            operator: allocate_address(),
        }
    }

    fn settings(&self) -> Value {
        json!({"traffic": self.traffic, "peers": self.peers, "operator": self.operator})
    }

    fn ports(&self) -> Vec<u16> {
        vec![self.traffic.port(), self.peers.port(), self.operator.port()]
    }

    fn target(&self, listener: Listener) -> CrowdTarget {
        let address = match listener {
            Listener::Traffic => self.traffic,
            Listener::Peers => self.peers,
            Listener::Operator => self.operator,
        };
        let head = match listener {
            Listener::Traffic => format!(
                "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {ACCOUNT_KEY}\r\n"
            ),
            // Begins a message of nearly 2 MB that does not end.
            Listener::Peers => "\0\u{1e}\0\0".into(),
            Listener::Operator => "GET /metrics HTTP/1.1\r\nHost: x\r\n".into(),
        };
        CrowdTarget {
            address,
            post_head: head.clone(),
            long_response_head: head,
            body_bytes: MAX_BODY_BYTES,
        }
    }
}

/// An entry and an agent before an engine.
struct Fixture {
    entry: RoleProcess,
    agent: RoleProcess,
    folder: PathBuf,
    entry_listeners: Listeners,
    agent_listeners: Listeners,
    engine: BackgroundServer,
}

impl Fixture {
    fn start() -> Self {
        let engine = start_scripted_engine(ENGINE_SCRIPT);
        let (entry_listeners, agent_listeners) = (Listeners::allocate(), Listeners::allocate());
        let traffic = json!({
            "max_connections": MAX_CONNECTIONS, "max_body_bytes": MAX_BODY_BYTES, "threads": 1,
        });
        let agent = json!({
            "name": "s1", "zone": "a", "pool": "drafting", "server": engine.address,
            "listen": agent_listeners.settings(), "traffic": traffic,
        });
        let rules = desk_rules(ACCOUNT_KEY);
        let name = format!("crowd-{}", entry_listeners.traffic.port());
        let entry = json!({
            "name": "entry-1", "zone": "a", "rules_file": write_rules_file(&name, &rules),
            "servers": [server_settings("s1", "drafting", agent_listeners.traffic)],
            "share": {"sole": true}, "listen": entry_listeners.settings(), "traffic": traffic,
        });
        let folder = format!("{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("create the folder of the run");
        let start = |role: &str, settings: &Value| {
            let program = PathBuf::from(env!("CARGO_BIN_EXE_teaseldrum"));
            let process = RoleProcess::prepare(&program, &folder, role, role, settings);
            let mut process = process.expect("the settings are written");
            process.start().expect("the process starts");
            process
        };
        Self {
            agent: start("agent", &agent),
            entry: start("entry", &entry),
            folder,
            entry_listeners,
            agent_listeners,
            engine,
        }
    }

    /// Returns the trial of a process. Ordinary requests go to the operator's pages, or
    /// all the way to the engine.
    fn trial(&self, role: &str, listener: Listener) -> CrowdTrial {
        let (process, listeners, server) = if role == "entry" {
            let server = self.agent_listeners.traffic;
            (&self.entry, &self.entry_listeners, server.port())
        } else {
            let server = self.engine.address;
            (&self.agent, &self.agent_listeners, server.port())
        };
        let ordinary = if listener == Listener::Operator {
            let req = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".to_vec();
            (listeners.operator, req)
        } else {
            (self.entry_listeners.traffic, encode_completion())
        };
        CrowdTrial {
            pid: process.id().expect("the process runs"),
            listeners: listeners.ports(),
            servers: vec![server],
            memory_mb: NODE_MEMORY_MB,
            descriptors: DESCRIPTORS,
            ordinary,
        }
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        // Only a part of what is left in the folder of temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn encode_completion() -> Vec<u8> {
    let body = json!({"prompt": "a prompt", "stream": true, "max_tokens": 3_000}).to_string();
    format!(
        "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {ACCOUNT_KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Guards against callers that end an entry or an agent, or keep others from it.
#[rstest]
fn crowd_at_own_roles(
    #[values("entry", "agent")] role: &str,
    #[values(Listener::Traffic, Listener::Peers, Listener::Operator)] listener: Listener,
) {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let fixture = Fixture::start();
    let listeners = if role == "entry" {
        &fixture.entry_listeners
    } else {
        &fixture.agent_listeners
    };
    let trial = fixture.trial(role, listener);
    let runtime = build_runtime().expect("build a runtime");
    runtime.block_on(async {
        trial.expect_served("at the start").await;
        let target = listeners.target(listener);
        trial.expect_bounded(&target, &Misbehavior::ALL).await;
    });
}
