//! Starts entries and agents on loopback inside this process.

use std::io::Write;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use teaseldrum::agent::serve_agent;
use teaseldrum::core::KeyDigest;
use teaseldrum::entry::serve_entry;
use teaseldrum::settings::AgentSettings;
use teaseldrum::settings::EntrySettings;

use crate::background_server::BackgroundServer;

/// Starts an agent in zone `a` for a backend server, on a free port.
///
/// # Panics
///
/// Panics if the agent cannot start.
pub fn start_agent(name: &str, pool: &str, server: SocketAddr) -> BackgroundServer {
    start_agent_with(&json!({
        "name": name,
        "zone": "a",
        "pool": pool,
        "server": server,
        "listen": {"traffic": "127.0.0.1:0"},
        "traffic": {"threads": 1, "drain_linger_ms": 20, "answer_timeout_ms": 60_000},
    }))
}

/// Starts an agent with the given settings, which are those of its settings
/// file.
///
/// # Panics
///
/// Panics if the settings are invalid or the agent cannot start.
pub fn start_agent_with(settings: &Value) -> BackgroundServer {
    let settings = AgentSettings::parse(settings).expect("the settings are valid");
    BackgroundServer::start(move |stop, ready| {
        serve_agent(settings, stop, ready).expect("the agent starts")
    })
}

/// Starts an entry in zone `a`, on a free port, that applies `rules` and routes
/// to `servers`. See [`server_settings`] for the form of a server.
///
/// # Panics
///
/// Panics if the entry cannot start.
pub fn start_entry(name: &str, rules: &str, servers: &[Value]) -> BackgroundServer {
    start_entry_with(&json!({
        "name": name,
        "zone": "a",
        "rules_file": write_rules_file(name, rules),
        "servers": servers,
        "listen": {"traffic": "127.0.0.1:0"},
        "traffic": {"threads": 1, "drain_linger_ms": 20},
    }))
}

/// Starts an entry with the given settings. Without a `share` section, the
/// entry is the sole owner of all account rates.
///
/// # Panics
///
/// Panics if the settings are invalid or the entry cannot start.
pub fn start_entry_with(settings: &Value) -> BackgroundServer {
    let mut settings = settings.clone();
    if settings["share"].is_null() {
        settings["share"] = json!({"sole": true});
    }
    let settings = EntrySettings::parse(&settings).expect("the settings are valid");
    BackgroundServer::start(move |stop, ready| {
        serve_entry(settings, stop, ready).expect("the entry starts")
    })
}

/// Returns rules with one pool and an account that never reaches its rate; `key` is its
/// key. Every rule needs a comment that names who asked for it.
pub fn desk_rules(key: &str) -> String {
    format!(
        "account desk rate 100000000 burst 1000000000 # asked by the desk\n\
         key desk-1 account desk digest {} # asked by the desk\n\
         pool drafting model cedar # asked by the desk\n\
         route /v1/ pool drafting # asked by the desk\n",
        KeyDigest::of_key(key.as_bytes())
    )
}

/// Describes an agent as the `servers` list of the entry settings does.
pub fn server_settings(name: &str, pool: &str, address: SocketAddr) -> Value {
    json!({"name": name, "pool": pool, "zone": "a", "address": address})
}

/// Writes a rules file to the temporary folder and returns its path. The file
/// name contains the process id, so that test processes do not share files.
///
/// # Panics
///
/// Panics if the file cannot be written.
pub fn write_rules_file(name: &str, rules: &str) -> String {
    let file_name = format!("teaseldrum-{}-{name}.rules", std::process::id());
    let path = std::env::temp_dir().join(file_name);
    let mut file = std::fs::File::create(&path).expect("the rules file can be created");
    file.write_all(rules.as_bytes())
        .expect("the rules file can be written");
    path.to_string_lossy().into_owned()
}
