//! Graceful shutdown of agent and entry processes under load: no request
//! fails and no stream is cut.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use teaseldrum_lab::engine::EngineSettings;
use teaseldrum_lab::engine::start_model_engine;
use teaseldrum_lab::loopback::allocate_address;

const RULES: &str = "pool drafting model cedar # asked by the desk\n\
    route /v1/ pool drafting open # asked by the desk\n";
/// Tokens of each streamed response.
const TOKENS_PER_RESPONSE: u64 = 60;
/// Threads that send requests at the same time.
const CALLERS: usize = 6;
/// Maximum time that a test waits for a state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A running `teaseldrum` process; dropping it kills it.
struct Process {
    child: Child,
    settings: PathBuf,
}

impl Process {
    fn start(role: &str, name: &str, settings: &Value) -> Self {
        let path = write_temporary_file(&format!("{name}.json"), &settings.to_string());
        let child = Command::new(locate_binary())
            .args([role, "--settings"])
            .arg(&path)
            .spawn()
            .expect("the binary starts");
        Self {
            child,
            settings: path,
        }
    }

    /// Sends SIGTERM with the `kill` command and waits until the process has
    /// exited with success.
    fn stop(&mut self) {
        let pid = self.child.id().to_string();
        let kill_status = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(kill_status.expect("the kill command runs").success());
        let status = self.child.wait().expect("the process exits");
        assert!(status.success(), "{status}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns the path of the `teaseldrum` binary, which cargo puts into the
/// parent directory of the test binary's own directory.
fn locate_binary() -> PathBuf {
    let test_binary = std::env::current_exe().expect("the test binary has a path");
    let directory = test_binary.parent().and_then(|deps| deps.parent());
    directory
        .expect("the test binary is two directories deep")
        .join("teaseldrum")
}

fn write_temporary_file(name: &str, content: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("drain-{}-{name}", std::process::id()));
    std::fs::write(&path, content).expect("the temporary file is written");
    path
}

fn loopback_any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

fn start_agent(name: &str, address: SocketAddr, engine: SocketAddr) -> Process {
    let settings = json!({
        "name": name, "zone": "a", "pool": "drafting", "server": engine,
        "listen": {"traffic": address},
        "traffic": {"threads": 1, "drain_linger_ms": 300, "drain_timeout_ms": 15_000},
    });
    Process::start("agent", name, &settings)
}

fn start_entry(name: &str, address: SocketAddr, agents: &[SocketAddr]) -> Process {
    let servers: Vec<Value> = agents
        .iter()
        .enumerate()
        .map(|(index, address)| {
            json!({"name": format!("s{index}"), "pool": "drafting", "zone": "a",
                "address": address})
        })
        .collect();
    let settings = json!({
        "name": name, "zone": "a", "servers": servers,
        "rules_file": write_temporary_file(&format!("{name}.rules"), RULES),
        "listen": {"traffic": address},
        "traffic": {"threads": 2, "drain_linger_ms": 300, "drain_timeout_ms": 15_000},
    });
    Process::start("entry", name, &settings)
}

fn wait_for_listener(address: SocketAddr) {
    let started_at = Instant::now();
    while std::net::TcpStream::connect(address).is_err() {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for a listener on {address}"
        );
        thread::sleep(Duration::from_millis(10));
    }
}

/// Sends one streamed request and checks that its response is complete: all
/// tokens, the usage and the end marker.
///
/// # Errors
///
/// The request failed, with its error, or the response is incomplete, with its
/// last event.
fn send_request(entry: SocketAddr) -> Result<(), String> {
    let body = json!({"prompt": "a file", "stream": true, "max_tokens": TOKENS_PER_RESPONSE});
    let response = ureq::post(format!("http://{entry}/v1/completions"))
        .config()
        .http_status_as_error(false)
        .build()
        .send(body.to_string())
        .map_err(|e| e.to_string())?;
    let lines: Vec<String> = BufReader::new(response.into_body().into_reader())
        .lines()
        .collect::<Result<_, _>>()
        .map_err(|e| e.to_string())?;
    let events = lines.iter().filter(|line| line.starts_with("data: "));
    let last = events.clone().next_back().cloned().unwrap_or_default();
    if events.count() as u64 == TOKENS_PER_RESPONSE + 2 && last == "data: [DONE]" {
        Ok(())
    } else {
        Err(last)
    }
}

/// Threads that each send one request after the other until told to stop.
struct Load {
    stop: Arc<AtomicBool>,
    completed: Arc<AtomicU32>,
    callers: Vec<JoinHandle<Vec<String>>>,
}

impl Load {
    fn start(entry: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let completed = Arc::new(AtomicU32::new(0));
        let callers = (0..CALLERS)
            .map(|_| {
                let stop = Arc::clone(&stop);
                let completed = Arc::clone(&completed);
                thread::spawn(move || send_requests_until_stopped(entry, &stop, &completed))
            })
            .collect();
        Self {
            stop,
            completed,
            callers,
        }
    }

    /// Waits until `count` more requests have completed.
    fn wait_for_completions(&self, count: u32) {
        let target = self.completed.load(Ordering::Acquire) + count;
        let started_at = Instant::now();
        while self.completed.load(Ordering::Acquire) < target {
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "timed out waiting for completed requests"
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Stops the callers and returns the errors of all failed requests.
    fn stop_and_collect_failures(self) -> Vec<String> {
        self.stop.store(true, Ordering::Release);
        self.callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("the caller thread did not panic"))
            .collect()
    }
}

fn send_requests_until_stopped(
    entry: SocketAddr,
    stop: &AtomicBool,
    completed: &AtomicU32,
) -> Vec<String> {
    let mut failures = Vec::new();
    while !stop.load(Ordering::Acquire) {
        match send_request(entry) {
            Ok(()) => {
                completed.fetch_add(1, Ordering::AcqRel);
            }
            Err(e) => failures.push(e),
        }
    }
    failures
}

#[test]
fn drain_agent_fails_no_request() {
    let engines =
        [(); 2].map(|()| start_model_engine(loopback_any_port(), EngineSettings::default()));
    let agents = [allocate_address(), allocate_address()];
    let mut first = start_agent("s0", agents[0], engines[0].address());
    let _second = start_agent("s1", agents[1], engines[1].address());
    let entry_address = allocate_address();
    let _entry = start_entry("e1", entry_address, &agents);
    for address in [agents[0], agents[1], entry_address] {
        wait_for_listener(address);
    }
    let load = Load::start(entry_address);
    load.wait_for_completions(20);
    first.stop();
    load.wait_for_completions(20);
    let failures = load.stop_and_collect_failures();
    assert_eq!(failures, Vec::<String>::new());
}

#[test]
fn drain_entry_fails_no_request() {
    let engine = start_model_engine(loopback_any_port(), EngineSettings::default());
    let agent = allocate_address();
    let _agent = start_agent("s2", agent, engine.address());
    let entry_address = allocate_address();
    let mut entry = start_entry("e2", entry_address, &[agent]);
    wait_for_listener(agent);
    wait_for_listener(entry_address);
    let load = Load::start(entry_address);
    load.wait_for_completions(10);
    // The platform's load balancer sends no new requests to an entry that is
    // about to stop.
    load.stop.store(true, Ordering::Release);
    entry.stop();
    let failures = load.stop_and_collect_failures();
    assert_eq!(failures, Vec::<String>::new());
}
