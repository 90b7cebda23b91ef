//! Case: weights change while engines are short of memory.

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
use std::sync::Mutex;
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

const ENGINES: usize = 7;
/// Engines with a document of their own; the others are free for enquiries.
const HOMES: usize = 3;
const SLOTS: usize = 64;
const DOCUMENT_TOKENS: u64 = 15_000;
const DRAFT_TOKENS: u64 = 3_000;
const ENQUIRY_TOKENS: u64 = 300;
/// A document, three drafts on it, and 1,000 tokens of their output.
const CAPACITY: u64 = DOCUMENT_TOKENS + 3 * DRAFT_TOKENS + 1_000;
/// Output of the drafts on one document, in the order in which they are sent.
const DRAFT_OUTPUTS: [u64; 3] = [365, 900, 700];
const ENQUIRY_OUTPUT: u64 = 4;
const ENQUIRY_INTERVAL: Duration = Duration::from_millis(70);
const ROUNDS: usize = 9;
const ROUND_TIME: Duration = Duration::from_secs(8);
/// Times from the begin of a round, when enquiries about its documents begin, until the
/// drafts on them and until new weights are named.
const DRAFT_DELAY: Duration = Duration::from_millis(900);
const VERSION_DELAY: Duration = Duration::from_millis(1_900);

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
    let gateway_ip = "127.0.0.10";
    let seeds = vec![format!("{gateway_ip}:{}", base + 2)];
    let settings = gateway_settings("front-1", gateway_ip, base, &seeds, &store_address.to_string());
    processes.start("gateway", "front-1", &settings);
    for index in 0..ENGINES {
        let ip = format!("127.0.1.{}", index + 1);
        let name = format!("side-{index}");
        let engine = format!("{ip}:{engine_port}");
        processes.start("sidecar", &name, &sidecar_settings(&name, &ip, agent_port, &engine));
    }
    if !wait_ready(&format!("{gateway_ip}:{}", base + 1), Duration::from_secs(10)) {
        println!("the gateway did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(5));
    let client = Arc::new(Client {
        address: format!("{gateway_ip}:{base}"),
        record: Arc::clone(&record),
        sent: AtomicU64::new(0),
        served: AtomicU64::new(0),
    });
    let rounds = find_documents(&client);
    record.line(&format!("documents by round: {rounds:?}"));
    thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    let ends_at = began + ROUND_TIME * ROUNDS as u32;
    let current = Arc::new(Mutex::new(rounds[0].clone()));
    let enquiring = (Arc::clone(&client), Arc::clone(&current));
    thread::spawn(move || {
        let (client, current) = enquiring;
        let mut next = began;
        let mut index = 0;
        while Instant::now() < ends_at {
            next += ENQUIRY_INTERVAL;
            thread::sleep(next.saturating_duration_since(Instant::now()));
            let documents = current.lock().unwrap().clone();
            let (client, document) = (Arc::clone(&client), documents[index % documents.len()].clone());
            index += 1;
            thread::spawn(move || client.call("sort", &document, ENQUIRY_TOKENS, ENQUIRY_OUTPUT));
        }
    });
    for (round, documents) in rounds.into_iter().enumerate() {
        let round_at = began + ROUND_TIME * round as u32;
        thread::sleep(round_at.saturating_duration_since(Instant::now()));
        *current.lock().unwrap() = documents.clone();
        thread::sleep((round_at + DRAFT_DELAY).saturating_duration_since(Instant::now()));
        for output in DRAFT_OUTPUTS {
            for document in &documents {
                let (client, document) = (Arc::clone(&client), document.clone());
                thread::spawn(move || client.call("draft", &document, DRAFT_TOKENS, output));
            }
            thread::sleep(Duration::from_millis(4));
        }
        let version = round + 2;
        thread::sleep((round_at + VERSION_DELAY).saturating_duration_since(Instant::now()));
        if has_trouble {
            fleet.named_version.store(version as u64, Ordering::SeqCst);
            store.put("op/version/m0", &format!("{{\"Model\":\"m0\",\"Version\":{version}}}"));
            record.line(&format!("operator names version={version}"));
        }
    }
    thread::sleep(ends_at.saturating_duration_since(Instant::now()));
    thread::sleep(Duration::from_secs(5));
    let ended = processes.ended();
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    let summary = format!(
        "sent={} served={} begun={} preempted={} fetches={} loads={} stale={} ended={ended:?}",
        count(&client.sent), count(&client.served), count(&fleet.begun), count(&fleet.preempted),
        count(&fleet.fetches), count(&fleet.loads), count(&fleet.stale)
    );
    record.line(&summary);
    println!("{summary}");
    if count(&client.served) * 2 < count(&client.sent) || !ended.is_empty() {
        return 2;
    }
    i32::from(count(&fleet.stale) > 0)
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

/// Finds documents for each round, one for each of the first engines, by where the gateway
/// sends the first enquiry about each.
fn find_documents(client: &Arc<Client>) -> Vec<Vec<String>> {
    let found = Arc::new(Mutex::new(vec![Vec::new(); HOMES]));
    let next = Arc::new(AtomicU64::new(0));
    let searches: Vec<_> = (0..ENGINES / 2)
        .map(|_| {
            let (client, found, next) = (Arc::clone(client), Arc::clone(&found), Arc::clone(&next));
            thread::spawn(move || {
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let is_enough = found.lock().unwrap().iter().all(|of| of.len() >= ROUNDS);
                    if number >= 250 || is_enough {
                        return;
                    }
                    let document = format!("d{number:x}");
                    let end = client.call("sort", &document, ENQUIRY_TOKENS, ENQUIRY_OUTPUT);
                    let home = end.rsplit("i-").next().and_then(|text| text.parse::<usize>().ok());
                    if let Some(home) = home.filter(|home| *home < HOMES) {
                        found.lock().unwrap()[home].push(document);
                    }
                }
            })
        })
        .collect();
    for search in searches {
        search.join().expect("a search ends");
    }
    let found = found.lock().unwrap();
    let of_round = |round: usize| {
        let documents = found.iter().filter(|of| !of.is_empty());
        documents.map(|of| of[round % of.len()].clone()).collect()
    };
    (0..ROUNDS).map(of_round).collect()
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
