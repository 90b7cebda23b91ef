//! Case: a gateway and a sidecar are killed right after new weights are named.

mod common;
mod engine;

use std::env;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::Processes;
use common::Record;
use common::Store;
use common::find_ports;
use common::gateway_settings;
use common::read_body;
use common::read_head;
use common::sidecar_settings;
use common::unix_ms;
use common::wait_ready;
use engine::Engine;
use engine::Fleet;

const ENGINES: usize = 2;
const SLOTS: usize = 64;
const DOCUMENT_TOKENS: u64 = 36_000;
const ENQUIRY_TOKENS: u64 = 300;
const CAPACITY: u64 = 302_866;
const ENQUIRY_OUTPUT: u64 = 4;
const ENQUIRY_INTERVAL: Duration = Duration::from_millis(50);
const ROUNDS: u64 = 4;
const ROUND_TIME: Duration = Duration::from_secs(20);
/// Time from the naming of a version until the processes are killed, and for which they
/// are down.
const KILL_DELAY: Duration = Duration::from_millis(200);
const DOWN_TIME: Duration = Duration::from_millis(3_500);
/// `VersionMs` and `ContactMs` of the site.
const VERSION_TIME: Duration = Duration::from_millis(6_000);
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let folder = PathBuf::from(&arguments[1]);
    let record = Arc::new(Record::create(&PathBuf::from(&arguments[2])));
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    exit(run(folder, record, has_trouble));
}

fn run(folder: PathBuf, record: Arc<Record>, has_trouble: bool) -> i32 {
    let base = find_ports(8);
    let (agent_port, engine_port) = (base + 4, base + 5);
    let store_address: SocketAddr = format!("127.0.0.1:{}", base + 6).parse().unwrap();
    let store = Store::start(store_address);
    let fleet = Fleet::new(Arc::clone(&record));
    let mut processes = Processes::new(folder);
    store.put("op/version/m0", "{\"Model\":\"m0\",\"Version\":1}");
    store.put("op/config", &configuration());
    for index in 0..ENGINES {
        let address: SocketAddr = format!("127.0.1.{}:{engine_port}", index + 1).parse().unwrap();
        let engine = Engine::start(&format!("i-{index}"), address, "m0", SLOTS, CAPACITY, &fleet);
        let store = Arc::clone(&store);
        thread::spawn(move || beat(&store, &engine));
    }
    let ips = ["127.0.0.10", "127.0.0.11"];
    let seeds: Vec<String> = ips.iter().map(|ip| format!("{ip}:{}", base + 2)).collect();
    let start_gateway = |processes: &mut Processes, index: usize, is_first: bool| {
        let (name, store) = (format!("front-{index}"), store_address.to_string());
        let settings = gateway_settings(&name, ips[index], base, &seeds, &store);
        let first = format!("\"first_start\":{is_first}");
        let settings = settings.replace("\"first_start\":true", &first);
        processes.start("gateway", &name, &settings);
    };
    let start_sidecar = |processes: &mut Processes, index: usize| {
        let ip = format!("127.0.1.{}", index + 1);
        let name = format!("side-{index}");
        let engine = format!("{ip}:{engine_port}");
        processes.start("sidecar", &name, &sidecar_settings(&name, &ip, agent_port, &engine));
    };
    (0..ips.len()).for_each(|index| start_gateway(&mut processes, index, true));
    (0..ENGINES).for_each(|index| start_sidecar(&mut processes, index));
    for ip in ips {
        if !wait_ready(&format!("{ip}:{}", base + 1), Duration::from_secs(10)) {
            println!("the gateways did not become ready");
            return 2;
        }
    }
    thread::sleep(Duration::from_secs(5));
    let client = Arc::new(Client {
        address: format!("{}:{base}", ips[0]),
        record: Arc::clone(&record),
        sent: AtomicU64::new(0),
        served: AtomicU64::new(0),
    });
    let began = Instant::now();
    let mut late = 0;
    let mut judged = 0;
    for round in 0..ROUNDS {
        let round_at = began + ROUND_TIME * round as u32;
        thread::sleep(round_at.saturating_duration_since(Instant::now()));
        let document = format!("d{round:x}");
        // The session begins: its document is read by one engine.
        let end = client.call("sort", &document, ENQUIRY_TOKENS, ENQUIRY_OUTPUT);
        let Some(home) = end.rsplit("i-").next().and_then(|text| text.parse::<usize>().ok()) else {
            return 2;
        };
        thread::sleep(Duration::from_secs(2));
        let version = round + 2;
        fleet.named_version.store(version, Ordering::SeqCst);
        store.put("op/version/m0", &format!("{{\"Model\":\"m0\",\"Version\":{version}}}"));
        let named_at = Instant::now();
        record.line(&format!("operator names version={version}"));
        let mut in_touch_from = named_at;
        if has_trouble {
            thread::sleep(KILL_DELAY);
            record.line(&format!("front-0 and side-{home} are killed"));
            processes.kill("front-0");
            processes.kill(&format!("side-{home}"));
            thread::sleep(DOWN_TIME);
            start_gateway(&mut processes, 0, false);
            start_sidecar(&mut processes, home);
            in_touch_from = Instant::now() + CONTACT_TIME;
            record.line(&format!("front-0 and side-{home} are started"));
        }
        let from = in_touch_from.max(named_at + VERSION_TIME);
        thread::sleep(from.saturating_duration_since(Instant::now()));
        while named_at.elapsed() < VERSION_TIME + Duration::from_secs(4) {
            let number = client.sent.load(Ordering::SeqCst);
            let before = fleet.begun_under(&format!("r{number}"));
            assert!(before.is_none());
            client.call("sort", &document, ENQUIRY_TOKENS, ENQUIRY_OUTPUT);
            if let Some((under, at)) = fleet.begun_under(&format!("r{number}")) {
                judged += 1;
                if under < version && at.duration_since(named_at) > VERSION_TIME {
                    late += 1;
                    record.line(&format!(
                        "VERSION request=r{number} began on version={under} {} ms after version={version} was acknowledged",
                        at.duration_since(named_at).as_millis()
                    ));
                }
            }
            thread::sleep(ENQUIRY_INTERVAL);
        }
    }
    let ended = processes.ended();
    let summary = format!("judged={judged} began too late on older weights={late} ended={ended:?}");
    record.line(&summary);
    println!("{summary}");
    if judged < 50 || !ended.is_empty() {
        return 2;
    }
    i32::from(late > 0)
}

fn beat(store: &Store, engine: &Engine) {
    let born = unix_ms();
    let mut number = 1;
    loop {
        let beat = format!(
            "{{\"Service\":\"llm\",\"Address\":\"{}\",\"Zone\":\"patan\",\"Version\":\"v1\",\
             \"Slots\":{SLOTS},\"State\":\"ready\",\"ColdRemainingMs\":0,\"Stage\":\"both\",\
             \"Models\":[{{\"Name\":\"m0\",\"Version\":{},\"Adapters\":[]}}],\"Seq\":{number},\
             \"born\":{born}}}",
            engine.address,
            engine.version()
        );
        store.put(&format!("servers/{}", engine.name), &beat);
        number += 1;
        thread::sleep(Duration::from_millis(1_200));
    }
}

fn configuration() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{},{}],\"Services\":[{{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\
         \"MaxConnections\":370,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":{SLOTS},\
         \"KvCapacityTokens\":{CAPACITY},\"KvTokenBytes\":327680,\"LinkMbps\":1100000.0,\"Moves\":true,\
         \"Backups\":true,\"Stride\":6,\"MaxConcurrency\":12,\"PinMs\":4000.0,\"HoldMs\":2000.0,\
         \"handle_s\":5.0,\"Models\":[{{\"Name\":\"m0\"}}]}}}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"guild\",\"ApiKeys\":[\"key-1\"],\"Unit\":\"tokens\",\
         \"UncachedTokens\":200,\"Isolated\":false,\"RatePerS\":0,\"Burst\":0}}]}}",
        route("draft", 1, 12_000, false),
        route("sort", 0, 3_000, true)
    )
}

fn route(name: &str, priority: u64, timeout_ms: u64, is_resumable: bool) -> String {
    let attempts = if is_resumable { 2 } else { 1 };
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"guild.example\",\"Prefix\":\"/{name}/\",\"Kind\":\"streaming\",\
         \"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":600,\"Priority\":{priority},\"Service\":\"llm\",\
         \"MaxAttempts\":{attempts},\"Public\":false,\"Sticky\":true,\"Resumable\":{is_resumable},\
         \"GapAimMs\":300}}"
    )
}

struct Client {
    address: String,
    record: Arc<Record>,
    sent: AtomicU64,
    served: AtomicU64,
}

impl Client {
    /// Sends one request, reads its whole answer and returns how it ended.
    fn call(&self, route: &str, document: &str, own_tokens: u64, output: u64) -> String {
        let number = self.sent.fetch_add(1, Ordering::SeqCst);
        let end = self.send(route, number, document, own_tokens, output);
        let end = end.unwrap_or_else(|| "connection failed".into());
        if end.starts_with("200 whole") {
            self.served.fetch_add(1, Ordering::SeqCst);
        }
        self.record.line(&format!("client {route} request=r{number} document={document} end={end}"));
        end
    }

    fn send(
        &self,
        route: &str,
        number: u64,
        document: &str,
        own_tokens: u64,
        output: u64,
    ) -> Option<String> {
        let mut stream = TcpStream::connect(&self.address).ok()?;
        let deadline_ms = if route == "sort" { 3_000 } else { 12_000 };
        stream.set_read_timeout(Some(Duration::from_millis(deadline_ms))).ok()?;
        let prompt = DOCUMENT_TOKENS + own_tokens;
        let request = format!(
            "POST /{route}/a HTTP/1.1\r\nHost: guild.example\r\nX-Teaseldrum-Request-Id: r{number}\r\n\
             X-Teaseldrum-Model: m0\r\nX-Teaseldrum-Token-Usage: {prompt},{output}\r\n\
             X-Teaseldrum-Prompt-Prefix: {document}:{DOCUMENT_TOKENS},e{number:x}:{own_tokens}\r\n\
             X-Teaseldrum-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer key-1\r\n\
             Content-Length: 2\r\nConnection: close\r\n\r\nhi"
        );
        stream.write_all(request.as_bytes()).ok()?;
        let mut reader = BufReader::new(stream);
        let (first, headers) = read_head(&mut reader)?;
        let status = first.split(' ').nth(1)?.to_owned();
        let seal = headers.iter().find(|(key, _)| key == "x-teaseldrum-server-seal");
        let engine = seal.and_then(|(_, value)| value.split('.').next()).unwrap_or("none");
        let is_whole = read_body(&mut reader, &headers, false).is_some();
        let end = if is_whole { "whole" } else { "cut" };
        Some(format!("{status} {end} {engine}"))
    }
}
