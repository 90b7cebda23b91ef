//! Roles of teaseldrum on loopback, inside this process.

use std::io::Write;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use teaseldrum::agent::serve_agent;
use teaseldrum::entry::serve_entry;
use teaseldrum::settings::AgentSettings;
use teaseldrum::settings::EntrySettings;

use crate::background_server::BackgroundServer;

/// Starts an agent beside a backend server.
///
/// # Panics
///
/// The agent cannot start.
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

/// Starts an agent with the given settings.
///
/// # Panics
///
/// The settings are faulty or the agent cannot start.
pub fn start_agent_with(settings: &Value) -> BackgroundServer {
    let settings = AgentSettings::parse(settings).expect("valid settings");
    BackgroundServer::start(move |stop, ready| {
        serve_agent(settings, stop, ready).expect("agent starts")
    })
}

/// Starts an entry with the given rules before the given servers.
///
/// # Panics
///
/// The entry cannot start.
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

/// Starts an entry with the given settings. Where they name no part in the
/// rates of accounts, the entry owns all rates whole.
///
/// # Panics
///
/// The settings are faulty or the entry cannot start.
pub fn start_entry_with(settings: &Value) -> BackgroundServer {
    let mut settings = settings.clone();
    if settings["share"].is_null() {
        settings["share"] = json!({"sole": true});
    }
    let settings = EntrySettings::parse(&settings).expect("valid settings");
    BackgroundServer::start(move |stop, ready| {
        serve_entry(settings, stop, ready).expect("entry starts")
    })
}

/// Names an agent as entry settings do.
pub fn server_settings(name: &str, pool: &str, address: SocketAddr) -> Value {
    json!({"name": name, "pool": pool, "zone": "a", "address": address})
}

/// Writes a rules file that only this process uses; returns its path.
///
/// # Panics
///
/// The file cannot be written.
pub fn write_rules_file(name: &str, rules: &str) -> String {
    let file_name = format!("teaseldrum-{}-{name}.rules", std::process::id());
    let path = std::env::temp_dir().join(file_name);
    let mut file = std::fs::File::create(&path).expect("temporary file");
    file.write_all(rules.as_bytes()).expect("temporary file");
    path.to_string_lossy().into_owned()
}
