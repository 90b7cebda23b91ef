//! Runs entries, and in one test agents, as separate processes: many streams
//! must stay within a memory limit, and SIGTERM under load must break no stream.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use serde_json::Value;
use serde_json::json;
use teaseldrum::http::Client;
use teaseldrum::http::ClientTimeouts;
use teaseldrum::http::EventStream;
use teaseldrum::http::HttpBody;
use teaseldrum::http::full_body;
use teaseldrum::threads::build_runtime;
use teaseldrum_lab::background_server::BackgroundServer;
use teaseldrum_lab::deployment::desk_rules;
use teaseldrum_lab::deployment::server_settings;
use teaseldrum_lab::deployment::start_agent;
use teaseldrum_lab::deployment::write_rules_file;
use teaseldrum_lab::engine::EngineScript;
use teaseldrum_lab::engine::EngineSettings;
use teaseldrum_lab::engine::start_model_engine;
use teaseldrum_lab::engine::start_scripted_engine;
use teaseldrum_lab::loopback::allocate_address;
use tokio::task::JoinSet;
use tokio::time::sleep;

const ACCOUNT_KEY: &str = "secret-of-desk";
/// Bound on every wait, so that a hang fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const STREAM_COUNT: usize = 300;
const EVENTS_PER_STREAM: usize = 20;
const LONG_PROMPT_BYTES: usize = 24 * 1024;
const SHORT_PROMPT_BYTES: usize = 2 * 1024;
const AGENT_DRAIN_LINGER_MS: u64 = 50;
const MAX_ENTRY_MEMORY_KIB: u64 = 128 * 1024;
const ENGINE_SCRIPT: EngineScript = EngineScript {
    first_event_delay: Duration::from_millis(20),
    gap: Duration::from_millis(50),
    events: EVENTS_PER_STREAM as u64,
    sends_end_marker: true,
};

/// A running `teaseldrum` process, killed when dropped.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    /// Starts a role and waits until its traffic port accepts connections.
    fn start(role: &str, mut settings: Value) -> Self {
        let address = allocate_address();
        settings["listen"] = json!({"traffic": address});
        let name = settings["name"].as_str().expect("name in the settings");
        let file_name = format!("teaseldrum-{}-{name}.json", std::process::id());
        let path = std::env::temp_dir().join(file_name);
        fs::write(&path, settings.to_string()).expect("write the settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_teaseldrum"))
            .arg(role)
            .arg("--settings")
            .arg(&path)
            .stderr(Stdio::null())
            .spawn()
            .expect("start the process");
        wait_until(|| TcpStream::connect(address).is_ok());
        Self { child, address }
    }

    fn start_entry(name: &str, servers: &[Value]) -> Self {
        let rules = desk_rules(ACCOUNT_KEY);
        let settings = json!({
            "name": name,
            "zone": "a",
            "rules_file": write_rules_file(name, &rules),
            "servers": servers,
            "share": {"sole": true},
            "traffic": {"drain_linger_ms": 500},
        });
        Self::start("entry", settings)
    }

    fn start_agent(name: &str, engine: SocketAddr) -> Self {
        let settings = json!({
            "name": name,
            "zone": "a",
            "pool": "drafting",
            "server": engine,
            "traffic": {"drain_linger_ms": AGENT_DRAIN_LINGER_MS},
        });
        Self::start("agent", settings)
    }

    /// Returns the peak resident memory of the process, in KiB.
    fn peak_memory_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).expect("status of a running process");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1));
        kib.and_then(|kib| kib.parse().ok()).expect("VmHWM in KiB")
    }

    fn send_sigterm(&self) {
        let kill = format!("kill -TERM {}", self.child.id());
        let status = Command::new("sh").arg("-c").arg(kill).status();
        assert!(status.expect("run kill in a shell").success());
    }

    fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until(|| {
            status = self.child.try_wait().expect("status of the child process");
            status.is_some()
        });
        status.expect("exit status after the wait")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored because the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "condition not met within {WAIT_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(10));
    }
}

fn any_local_address() -> SocketAddr {
    "127.0.0.1:0".parse().expect("valid address")
}

fn make_client() -> Client {
    Client::new(ClientTimeouts {
        connect: WAIT_TIMEOUT,
        head: WAIT_TIMEOUT,
        read: WAIT_TIMEOUT,
        idle: Duration::ZERO,
    })
}

/// Creates a request whose prompt shares no prefix with the prompts of requests
/// with other numbers.
fn make_request(number: usize, prompt_bytes: usize) -> Request<HttpBody> {
    let prompt = format!("{number} {}", "x".repeat(prompt_bytes));
    let body = json!({"prompt": prompt, "stream": true, "max_tokens": EVENTS_PER_STREAM});
    Request::post("/v1/completions")
        .header("host", "entry")
        .header("authorization", format!("Bearer {ACCOUNT_KEY}"))
        .body(full_body(body.to_string()))
        .expect("valid request")
}

/// Reads one stream and checks that its events are complete and in order.
async fn read_stream(client: Client, entry: SocketAddr, req: Request<HttpBody>) {
    let exchange = client.send(entry, req).await;
    let exchange = exchange.expect("response head");
    assert_eq!(exchange.status(), 200);
    let mut events = EventStream::new(exchange);
    for number in 0..EVENTS_PER_STREAM {
        let event = events
            .next()
            .await
            .expect("intact stream")
            .expect("one more event arrives");
        assert_eq!(event.id, number.to_string());
        let text = format!("w{number} ");
        assert!(event.data.contains(&text), "{}", event.data);
    }
    let mut end = events
        .next()
        .await
        .expect("intact stream")
        .expect("one more event arrives");
    if end.data.contains("\"usage\"") {
        end = events
            .next()
            .await
            .expect("intact stream")
            .expect("one more event arrives");
    }
    assert_eq!(end.data, "[DONE]");
    assert_eq!(events.next().await, Ok(None));
}

/// Starts 80 streams, 5 ms apart, and runs `action` after half of them. Checks
/// that all streams complete.
async fn run_streams_with_action_midway(entry: SocketAddr, action: impl FnOnce()) {
    let client = make_client();
    let mut streams = JoinSet::new();
    for number in 0..40 {
        let req = make_request(number, SHORT_PROMPT_BYTES);
        streams.spawn(read_stream(client.clone(), entry, req));
        sleep(Duration::from_millis(5)).await;
    }
    action();
    for number in 40..80 {
        let req = make_request(number, SHORT_PROMPT_BYTES);
        streams.spawn(read_stream(client.clone(), entry, req));
        sleep(Duration::from_millis(5)).await;
    }
    assert_all_complete(streams).await;
}

async fn assert_all_complete(mut streams: JoinSet<()>) {
    while let Some(result) = streams.join_next().await {
        result.expect("complete stream");
    }
}

#[test]
fn entry_many_streams_within_memory() {
    let engine = start_scripted_engine(ENGINE_SCRIPT);
    let agent: BackgroundServer = start_agent("s1", "drafting", engine.address);
    let server = server_settings("s1", "drafting", agent.address);
    let entry = Process::start_entry("streams", &[server]);
    let runtime = build_runtime().expect("build a runtime");
    runtime.block_on(async {
        let client = make_client();
        let mut streams = JoinSet::new();
        for number in 0..STREAM_COUNT {
            let req = make_request(number, LONG_PROMPT_BYTES);
            streams.spawn(read_stream(client.clone(), entry.address, req));
        }
        assert_all_complete(streams).await;
    });
    let peak_kib = entry.peak_memory_kib();
    println!("peak memory of the entry: {peak_kib} KiB");
    assert!(peak_kib < MAX_ENTRY_MEMORY_KIB, "{peak_kib} KiB");
}

/// Guards against an entry that closes its listener or exits while requests
/// run or still arrive.
#[test]
fn entry_sigterm_cuts_none() {
    let engine = start_scripted_engine(ENGINE_SCRIPT);
    let agent = start_agent("s1", "drafting", engine.address);
    let server = server_settings("s1", "drafting", agent.address);
    let mut entry = Process::start_entry("entry-drain", &[server]);
    let runtime = build_runtime().expect("build a runtime");
    runtime.block_on(run_streams_with_action_midway(entry.address, || {
        entry.send_sigterm()
    }));
    assert!(entry.wait().success());
}

/// Guards against an agent that stops before entries send their requests
/// elsewhere: no stream may fail, and after the agent has exited its engine
/// gets no request.
#[test]
fn agent_sigterm_cuts_none() {
    let engines =
        [(); 2].map(|()| start_model_engine(any_local_address(), EngineSettings::default()));
    let mut agents: Vec<Process> = ["leaving", "staying"]
        .into_iter()
        .zip(&engines)
        .map(|(name, engine)| Process::start_agent(name, engine.address()))
        .collect();
    let servers = [
        server_settings("leaving", "drafting", agents[0].address),
        server_settings("staying", "drafting", agents[1].address),
    ];
    let entry = Process::start_entry("agent-drain", &servers);
    let runtime = build_runtime().expect("build a runtime");
    runtime.block_on(run_streams_with_action_midway(entry.address, || {
        agents[0].send_sigterm()
    }));
    assert!(agents[0].wait().success());
    let served = engines[0].counts().ended;
    assert!(
        served > 0,
        "the leaving agent served no stream before it left"
    );
    runtime.block_on(run_streams_with_action_midway(entry.address, || {}));
    assert_eq!(engines[0].counts().ended, served);
}
