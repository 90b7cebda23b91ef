//! The commands that accept and show rules, as operators run them.

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

struct Platform {
    store: StoreHandle,
    hosts: HostsHandle,
    folder: PathBuf,
}

impl Platform {
    fn start(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("cli-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        Self {
            store: start_store(allocate_address()),
            hosts: start_hosts(allocate_address(), Duration::ZERO),
            folder,
        }
    }

    fn run(&self, words: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_teaseldrum"))
            .args(words)
            .args(["--store", &self.store.address().to_string()])
            .output()
            .expect("the command runs")
    }

    fn accept(&self, from: &str, text: &str, more: &[&str]) -> Output {
        let file = self.folder.join("rules");
        fs::write(&file, text).expect("a file");
        let file = file.to_string_lossy().into_owned();
        let words = ["rules", "accept", &file, "--from", from, "--who", "Asha"];
        let hosts = self.hosts.address().to_string();
        let rest = ["--why", "a test", "--hosts", &hosts];
        self.run(&[&words[..], &rest, more].concat())
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
            serve_entry(settings, stop, ready).expect("it starts")
        })
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        // A folder that stays in the temporary directory does no harm.
        let _ = fs::remove_dir_all(&self.folder);
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

fn read_out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn accept_wait_in_force() {
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
    let output = platform.accept("0", "pool one # Asha\n", &["--wait"]);
    assert!(output.status.success(), "{output:?}");
    assert!(read_out(&output).contains("revision 1 in force in 2 processes"));
}

#[test]
fn accept_wait_names_who_is_behind() {
    let platform = Platform::start("behind");
    let peer = allocate_address();
    platform.hosts.set_hosts(vec![make_host("e1", peer)]);
    let output = platform.accept("0", "pool one # Asha\n", &["--wait", "--timeout", "0"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(read_out(&output).contains("revision 1 accepted"));
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(errors.contains(&format!("behind: {peer}")), "{errors}");
}

#[test]
fn accept_conflict_and_retry() {
    let platform = Platform::start("conflict");
    let first = platform.accept("0", "pool one # Asha\n", &["--accept-id", "first"]);
    assert!(first.status.success(), "{first:?}");
    let other = platform.accept("0", "pool two # Asha\n", &["--accept-id", "other"]);
    assert_eq!(other.status.code(), Some(1));
    let errors = String::from_utf8_lossy(&other.stderr).into_owned();
    assert!(errors.contains("conflict: revision 1"), "{errors}");
    let again = platform.accept("0", "pool one # Asha\n", &["--accept-id", "first"]);
    assert!(read_out(&again).contains("revision 1 accepted"));
}

#[test]
fn accept_store_refuses() {
    let platform = Platform::start("silent");
    platform.store.set_faults(StoreFaults {
        is_unavailable: true,
        ..StoreFaults::default()
    });
    let output = platform.accept("0", "pool one # Asha\n", &[]);
    assert_eq!(output.status.code(), Some(1));
    assert!(!read_out(&output).contains("accepted"));
}

#[test]
fn accept_faulty_file() {
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
    platform.accept("0", "pool one # Asha\n", &[]);
    platform.accept("1", "pool one # Asha\npool two # Ravi\n", &[]);
    let shown = platform.run(&["rules", "show", "--revision", "1"]);
    assert_eq!(read_out(&shown), "pool one # Asha\n");
    let history = read_out(&platform.run(&["rules", "history"]));
    let numbers: Vec<&str> = history
        .lines()
        .filter_map(|line| line.split('\t').next())
        .collect();
    assert_eq!(numbers, ["2", "1"]);
    let diff = read_out(&platform.run(&["rules", "diff", "--from", "1"]));
    assert!(diff.contains("+pool two # Ravi"), "{diff}");
}
