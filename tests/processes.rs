//! The product's binary as processes: streams within bounded memory, and
//! SIGTERM under load.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
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
use teaseldrum::core::KeyDigest;
use teaseldrum::http::Client;
use teaseldrum::http::ClientTimeouts;
use teaseldrum::http::EventStream;
use teaseldrum::http::HttpBody;
use teaseldrum::http::full_body;
use teaseldrum::threads::build_runtime;
use teaseldrum_lab::deployment::describe_server;
use teaseldrum_lab::deployment::start_agent;
use teaseldrum_lab::deployment::write_rules;
use teaseldrum_lab::engine::EngineScript;
use teaseldrum_lab::engine::EngineSettings;
use teaseldrum_lab::engine::start_engine;
use teaseldrum_lab::engine::start_model_engine;
use teaseldrum_lab::running::Running;
use tokio::task::JoinSet;
use tokio::time::sleep;

const KEY: &str = "secret-of-desk";
const PATIENCE: Duration = Duration::from_secs(60);
const STREAMS: usize = 300;
const EVENTS: usize = 20;
const LONG_PROMPT_BYTES: usize = 24 * 1024;
const SHORT_PROMPT_BYTES: usize = 2 * 1024;
const AGENT_LINGER_MS: u64 = 50;
const MAX_ENTRY_KIB: u64 = 128 * 1024;
const SCRIPT: EngineScript = EngineScript {
    first_event: Duration::from_millis(20),
    gap: Duration::from_millis(50),
    events: EVENTS as u64,
    sends_end: true,
};

/// A process of the product; killed when dropped.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    /// Starts a role and waits until it listens.
    fn start(role: &str, mut settings: Value) -> Self {
        let address = reserve_port();
        settings["listen"] = json!({"traffic": address});
        let name = settings["name"].as_str().expect("a name");
        let file_name = format!("teaseldrum-{}-{name}.json", std::process::id());
        let path = std::env::temp_dir().join(file_name);
        fs::write(&path, settings.to_string()).expect("a temporary file");
        let child = Command::new(env!("CARGO_BIN_EXE_teaseldrum"))
            .arg(role)
            .arg("--settings")
            .arg(&path)
            .stderr(Stdio::null())
            .spawn()
            .expect("a process");
        wait_until(|| TcpStream::connect(address).is_ok());
        Self { child, address }
    }

    fn start_entry(name: &str, servers: &[Value]) -> Self {
        let rules = format!(
            "account desk rate 100000000 burst 1000000000 # asked by Asha\n\
             key desk-1 account desk digest {} # asked by Asha\n\
             pool drafting model cedar # asked by Asha\n\
             route /v1/ pool drafting # asked by Asha\n",
            KeyDigest::of_key(KEY.as_bytes())
        );
        let settings = json!({
            "name": name,
            "zone": "a",
            "rules_file": write_rules(name, &rules),
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
            "traffic": {"drain_linger_ms": AGENT_LINGER_MS},
        });
        Self::start("agent", settings)
    }

    /// Returns the most memory that it ever had, in KiB.
    fn peak_memory_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).expect("a running process");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let figure = line.and_then(|line| line.split_whitespace().nth(1));
        figure.and_then(|kib| kib.parse().ok()).expect("a figure")
    }

    fn terminate(&self) {
        let kill = format!("kill -TERM {}", self.child.id());
        let status = Command::new("sh").arg("-c").arg(kill).status();
        assert!(status.expect("a shell").success());
    }

    fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until(|| {
            status = self.child.try_wait().expect("a child");
            status.is_some()
        });
        status.expect("it has ended")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn wait_until(mut what: impl FnMut() -> bool) {
    let began = Instant::now();
    while !what() {
        assert!(began.elapsed() < PATIENCE, "it never came");
        thread::sleep(Duration::from_millis(10));
    }
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

fn reserve_port() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).expect("a free port");
    listener.local_addr().expect("an address")
}

fn make_client() -> Client {
    Client::new(ClientTimeouts {
        connect: PATIENCE,
        head: PATIENCE,
        read: PATIENCE,
        idle: Duration::ZERO,
    })
}

/// Makes a request whose prompt shares no prefix with those of other numbers.
fn make_request(number: usize, prompt_bytes: usize) -> Request<HttpBody> {
    let prompt = format!("{number} {}", "x".repeat(prompt_bytes));
    let body = json!({"prompt": prompt, "stream": true, "max_tokens": EVENTS});
    Request::post("/v1/completions")
        .header("host", "entry")
        .header("authorization", format!("Bearer {KEY}"))
        .body(full_body(body.to_string()))
        .expect("valid request")
}

/// Reads one stream and checks that it is whole and in order.
async fn read_stream(client: Client, entry: SocketAddr, req: Request<HttpBody>) {
    let exchange = client.send(entry, req).await;
    let exchange = exchange.expect("an answer");
    assert_eq!(exchange.status(), 200);
    let mut events = EventStream::new(exchange);
    for number in 0..EVENTS {
        let event = events.next().await.expect("a stream").expect("an event");
        assert_eq!(event.id, number.to_string());
        let text = format!("w{number} ");
        assert!(event.data.contains(&text), "{}", event.data);
    }
    let mut end = events.next().await.expect("a stream").expect("an event");
    if end.data.contains("\"usage\"") {
        end = events.next().await.expect("a stream").expect("an event");
    }
    assert_eq!(end.data, "[DONE]");
    assert_eq!(events.next().await, Ok(None));
}

/// Sends streams for a while, does `meanwhile` in the middle, and waits until
/// all of them are whole.
async fn read_streams_around(entry: SocketAddr, meanwhile: impl FnOnce()) {
    let client = make_client();
    let mut streams = JoinSet::new();
    for number in 0..40 {
        let req = make_request(number, SHORT_PROMPT_BYTES);
        streams.spawn(read_stream(client.clone(), entry, req));
        sleep(Duration::from_millis(5)).await;
    }
    meanwhile();
    for number in 40..80 {
        let req = make_request(number, SHORT_PROMPT_BYTES);
        streams.spawn(read_stream(client.clone(), entry, req));
        sleep(Duration::from_millis(5)).await;
    }
    assert_all_whole(streams).await;
}

async fn assert_all_whole(mut streams: JoinSet<()>) {
    while let Some(result) = streams.join_next().await {
        result.expect("a whole stream");
    }
}

#[test]
fn entry_many_streams_within_memory() {
    let engine = start_engine(SCRIPT);
    let agent: Running = start_agent("s1", "drafting", engine.address);
    let server = describe_server("s1", "drafting", agent.address);
    let entry = Process::start_entry("streams", &[server]);
    let runtime = build_runtime().expect("a runtime");
    runtime.block_on(async {
        let client = make_client();
        let mut streams = JoinSet::new();
        for number in 0..STREAMS {
            let req = make_request(number, LONG_PROMPT_BYTES);
            streams.spawn(read_stream(client.clone(), entry.address, req));
        }
        assert_all_whole(streams).await;
    });
    let peak = entry.peak_memory_kib();
    println!("peak memory of the entry: {peak} KiB");
    assert!(peak < MAX_ENTRY_KIB, "{peak} KiB");
}

#[test]
fn entry_sigterm_cuts_none() {
    let engine = start_engine(SCRIPT);
    let agent = start_agent("s1", "drafting", engine.address);
    let server = describe_server("s1", "drafting", agent.address);
    let mut entry = Process::start_entry("entry-drain", &[server]);
    let runtime = build_runtime().expect("a runtime");
    runtime.block_on(read_streams_around(entry.address, || entry.terminate()));
    assert!(entry.wait().success());
}

#[test]
fn agent_sigterm_cuts_none() {
    let engines = [(); 2].map(|()| start_model_engine(any_port(), EngineSettings::default()));
    let mut agents: Vec<Process> = ["leaving", "staying"]
        .into_iter()
        .zip(&engines)
        .map(|(name, engine)| Process::start_agent(name, engine.address()))
        .collect();
    let servers = [
        describe_server("leaving", "drafting", agents[0].address),
        describe_server("staying", "drafting", agents[1].address),
    ];
    let entry = Process::start_entry("agent-drain", &servers);
    let runtime = build_runtime().expect("a runtime");
    runtime.block_on(read_streams_around(entry.address, || agents[0].terminate()));
    assert!(agents[0].wait().success());
    let served = engines[0].counts().ended;
    assert!(served > 0, "the leaving agent had no work");
    runtime.block_on(read_streams_around(entry.address, || {}));
    assert_eq!(engines[0].counts().ended, served);
}
