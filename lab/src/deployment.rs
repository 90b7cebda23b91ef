//! A small deployment on loopback, inside this process.

use std::io::Write;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use teaseldrum::agent::serve_agent;
use teaseldrum::entry::serve_entry;
use teaseldrum::settings::AgentSettings;
use teaseldrum::settings::EntrySettings;

use crate::running::Running;

/// Starts an agent beside a backend server.
///
/// # Panics
///
/// The agent cannot start.
pub fn start_agent(name: &str, pool: &str, server: SocketAddr) -> Running {
    let value = json!({
        "name": name,
        "zone": "a",
        "pool": pool,
        "server": server,
        "listen": {"traffic": "127.0.0.1:0"},
        "traffic": {"threads": 1, "drain_linger_ms": 20, "answer_timeout_ms": 60_000},
    });
    let settings = AgentSettings::parse(&value).expect("valid settings");
    Running::start(move |stop, ready| serve_agent(settings, stop, ready).expect("agent starts"))
}

/// Starts an entry with the given rules before the given servers.
///
/// # Panics
///
/// The entry cannot start.
pub fn start_entry(name: &str, rules: &str, servers: &[Value]) -> Running {
    let rules_path = write_temporary(name, rules);
    let value = json!({
        "name": name,
        "zone": "a",
        "rules_file": rules_path,
        "servers": servers,
        "listen": {"traffic": "127.0.0.1:0"},
        "traffic": {"threads": 1, "drain_linger_ms": 20},
    });
    let settings = EntrySettings::parse(&value).expect("valid settings");
    Running::start(move |stop, ready| serve_entry(settings, stop, ready).expect("entry starts"))
}

/// Names an agent as entry settings do.
pub fn describe_server(name: &str, pool: &str, address: SocketAddr) -> Value {
    json!({"name": name, "pool": pool, "zone": "a", "address": address})
}

fn write_temporary(name: &str, content: &str) -> String {
    let file_name = format!("teaseldrum-{}-{name}.rules", std::process::id());
    let path = std::env::temp_dir().join(file_name);
    let mut file = std::fs::File::create(&path).expect("temporary file");
    file.write_all(content.as_bytes()).expect("temporary file");
    path.to_string_lossy().into_owned()
}
