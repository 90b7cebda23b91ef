//! Tests of the `teaseldrum rules` subcommands, run as processes against a store
//! and a host list on loopback.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::time::Duration;

use serde_json::json;
use teaseldrum::entry::serve_entry;
use teaseldrum::registry::Host;
use teaseldrum::registry::HostRole;
use teaseldrum::registry::HostState;
use teaseldrum::settings::EntrySettings;
use teaseldrum_lab::background_server::BackgroundServer;
use teaseldrum_lab::hosts::HostsHandle;
use teaseldrum_lab::hosts::start_hosts;
use teaseldrum_lab::loopback::allocate_address;
use teaseldrum_lab::store::StoreFaults;
use teaseldrum_lab::store::StoreHandle;
use teaseldrum_lab::store::start_store;

/// A store, a host list and a directory for rules files.
struct Platform {
    store: StoreHandle,
    hosts: HostsHandle,
    directory: PathBuf,
}

impl Platform {
    fn start(name: &str) -> Self {
        let directory = std::env::temp_dir().join(format!("cli-{}-{name}", std::process::id()));
        fs::create_dir_all(&directory).expect("the directory is created");
        Self {
            store: start_store(allocate_address()),
            hosts: start_hosts(allocate_address(), Duration::ZERO),
            directory,
        }
    }

    /// Runs `teaseldrum` with the address of the store.
    fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_teaseldrum"))
            .args(args)
            .args(["--store", &self.store.address().to_string()])
            .output()
            .expect("the command runs")
    }

    /// Runs `rules accept` on a file with `text`, based on revision `from`.
    fn accept(&self, from: &str, text: &str, extra: &[&str]) -> Output {
        let file = self.directory.join("rules");
        fs::write(&file, text).expect("the rules file is written");
        let file = file.to_string_lossy().into_owned();
        let args = [
            "rules",
            "accept",
            &file,
            "--from",
            from,
            "--who",
            "desk-operator",
        ];
        let hosts = self.hosts.address().to_string();
        let rest = ["--why", "a test", "--hosts", &hosts];
        self.run(&[&args[..], &rest, extra].concat())
    }

    fn start_entry(&self, name: &str, peer: SocketAddr) -> BackgroundServer {
        let value = json!({
            "name": name,
            "zone": "a",
            "listen": {"traffic": "127.0.0.1:0", "peers": peer},
            "traffic": {"threads": 1, "drain_linger_ms": 1},
            "platform": {"store": [self.store.address()], "hosts": self.hosts.address()},
        });
        let settings = EntrySettings::parse(&value).expect("valid settings");
        BackgroundServer::start(move |stop, ready| {
            serve_entry(settings, stop, ready).expect("the entry serves")
        })
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        // Leaving the directory behind is harmless.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn make_host(name: &str, peer: SocketAddr) -> Host {
    Host {
        name: name.into(),
        role: HostRole::Entry,
        zone: "a".into(),
        pool: String::new(),
        traffic: peer,
        peers: Some(peer),
        state: HostState::Live,
    }
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn accept_wait_until_in_force() {
    let platform = Platform::start("wait");
    let peers = [allocate_address(), allocate_address()];
    let names = ["e1", "e2"];
    let listed = names.iter().zip(peers);
    platform
        .hosts
        .set_hosts(listed.map(|(name, peer)| make_host(name, peer)).collect());
    let _entries: Vec<BackgroundServer> = names
        .iter()
        .zip(peers)
        .map(|(name, peer)| platform.start_entry(name, peer))
        .collect();
    let output = platform.accept("0", "pool one # the desk\n", &["--wait"]);
    assert!(output.status.success(), "{output:?}");
    assert!(stdout_text(&output).contains("revision 1 in force in 2 processes"));
}

#[test]
fn accept_wait_names_lagging_processes() {
    let platform = Platform::start("behind");
    let peer = allocate_address();
    platform.hosts.set_hosts(vec![make_host("e1", peer)]);
    let output = platform.accept("0", "pool one # the desk\n", &["--wait", "--timeout", "0"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stdout_text(&output).contains("revision 1 accepted"));
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(errors.contains(&format!("behind: {peer}")), "{errors}");
}

/// A second acceptance from the same revision fails, and a retry with the id of
/// the first one succeeds without another revision.
#[test]
fn accept_conflict_and_retry_with_same_id() {
    let platform = Platform::start("conflict");
    let first = platform.accept("0", "pool one # the desk\n", &["--accept-id", "first"]);
    assert!(first.status.success(), "{first:?}");
    let other = platform.accept("0", "pool two # the desk\n", &["--accept-id", "other"]);
    assert_eq!(other.status.code(), Some(1));
    let errors = String::from_utf8_lossy(&other.stderr).into_owned();
    assert!(errors.contains("conflict: revision 1"), "{errors}");
    let again = platform.accept("0", "pool one # the desk\n", &["--accept-id", "first"]);
    assert!(stdout_text(&again).contains("revision 1 accepted"));
}

/// The command must not report rules as accepted that the store did not take.
#[test]
fn accept_store_refuses_calls() {
    let platform = Platform::start("silent");
    platform.store.set_faults(StoreFaults {
        is_unavailable: true,
        ..StoreFaults::default()
    });
    let output = platform.accept("0", "pool one # the desk\n", &[]);
    assert_eq!(output.status.code(), Some(1));
    assert!(!stdout_text(&output).contains("accepted"));
}

/// An invalid file is rejected with the line of the error, before anything is
/// written to the store.
#[test]
fn accept_invalid_file() {
    let platform = Platform::start("faulty");
    let output = platform.accept("0", "pool one\n", &[]);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(errors.contains("rules:1:"), "{errors}");
    let show = platform.run(&["rules", "show"]);
    assert_eq!(show.status.code(), Some(1));
}

#[test]
fn show_history_and_diff() {
    let platform = Platform::start("show");
    platform.accept("0", "pool one # the desk\n", &[]);
    platform.accept("1", "pool one # the desk\npool two # the shop\n", &[]);
    let shown = platform.run(&["rules", "show", "--revision", "1"]);
    assert_eq!(stdout_text(&shown), "pool one # the desk\n");
    let history = stdout_text(&platform.run(&["rules", "history"]));
    let numbers: Vec<&str> = history
        .lines()
        .filter_map(|line| line.split('\t').next())
        .collect();
    assert_eq!(numbers, ["2", "1"]);
    let diff = stdout_text(&platform.run(&["rules", "diff", "--from", "1"]));
    assert!(diff.contains("+pool two # the shop"), "{diff}");
}
