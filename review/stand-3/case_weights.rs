//! New weights are named while an engine is short of memory. Either a gateway stands still
//! meanwhile, and wakes while some engines still serve the weights before; or many requests
//! come at once, so that some wait at such an engine.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::engine::Engine;
use crate::engine::Fleet;
use crate::http::Connection;
use crate::process::RoleProcess;
use crate::process::SIGCONT;
use crate::process::SIGSTOP;
use crate::process::free_address;
use crate::process::wait_until;
use crate::record::Record;
use crate::settings;
use crate::settings::GatewayAddresses;
use crate::store::Store;

const ENGINES: usize = 6;

/// Requests that come at once.
const BURST: usize = 24;
const BURST_TOKENS: u64 = 45_000;

/// Tokens of the shared part, and of the own part of a long request.
const SHARED: u64 = 20_000;
const OWN: u64 = 40_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    None,
    Frozen,
    Burst,
}

pub fn run(folder: &str, case: Trouble, has_trouble: bool) -> Result<bool, String> {
    let record = Record::create(&format!("{folder}/record.txt"));
    let work = std::env::temp_dir().join(format!("review-3-weights-{}", std::process::id()));
    std::fs::create_dir_all(&work).map_err(|e| e.to_string())?;
    let result = run_in(&work, &record, case, if has_trouble { case } else { Trouble::None });
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&work);
    }
    result
}

fn run_in(work: &Path, record: &Record, case: Trouble, trouble: Trouble) -> Result<bool, String> {
    let store = Store::start(record, 1_000);
    let fleet: Arc<Fleet> = Arc::default();
    let agent_port = free_address("127.0.1.1").port();
    let engines: Vec<Engine> = (1..=ENGINES)
        .map(|n| Engine::start(&format!("i-{n}"), &format!("127.0.1.{n}"), "m", record, &fleet))
        .collect();
    store.put("op/config", &settings::model_configuration(3));
    // Of engines with equal costs, gateways choose the one that they have known for longest.
    let register = |engine: &Engine| store.put(&format!("servers/{}", engine.id), &engine.entry("marking", "patan"));
    for engine in [&engines[0], &engines[ENGINES - 1]] {
        register(engine);
    }
    let mut processes = Vec::new();
    for (n, engine) in engines.iter().enumerate() {
        let ip = engine.address.ip();
        let text = settings::sidecar(
            &format!("side-{}", n + 1),
            SocketAddr::new(ip, agent_port),
            free_address(&ip.to_string()),
            engine.address,
        );
        processes.push(RoleProcess::start(work, "sidecar", &format!("side-{}", n + 1), &text));
    }
    let addresses: Vec<GatewayAddresses> =
        (1..=2).map(|n| GatewayAddresses::free(&format!("127.0.0.{}", n + 1))).collect();
    let seeds: Vec<_> = addresses.iter().map(|a| a.control).collect();
    for (n, a) in addresses.iter().enumerate() {
        let name = format!("front-{}", n + 1);
        let text = settings::gateway(&name, "patan", a, &seeds, agent_port, store.address);
        let text = text.replace("\"version_ms\": 6000", "\"version_ms\": 12000");
        let text = text.replace("\"retry_extra\": 56", "\"retry_extra\": 88");
        processes.push(RoleProcess::start(work, "gateway", &name, &text));
    }
    for a in &addresses {
        if !wait_until(Duration::from_secs(10), || a.is_ready()) {
            return Err("a gateway did not become ready".into());
        }
    }
    for engine in &engines[1..ENGINES - 1] {
        register(engine);
    }
    // Agents are heard within a second.
    thread::sleep(Duration::from_millis(2_500));
    let (g1, g2) = (addresses[0].traffic, addresses[1].traffic);

    // A shared part that the first engine in the order of names gets.
    let mut shared = String::new();
    for n in 0..40 {
        let (name, id) = (format!("5c1e{n:04x}"), format!("find{n:02x}"));
        let parts = [(name.clone(), SHARED), (format!("0f{n:06x}"), 16)];
        send(g2, &id, &parts, 1, record).finish();
        if fleet.begun.lock().expect("not poisoned").get(&id).map(String::as_str) == Some("i-1") {
            shared = name;
            break;
        }
    }
    if shared.is_empty() {
        return Err("no part found".into());
    }
    // Kept connections at the first gateway.
    let mut kept: Vec<Connection> = Vec::new();
    for n in 0..10_usize {
        let gateway = if case == Trouble::Frozen { g1 } else { [g1, g2][n % 2] };
        let stream = std::net::TcpStream::connect(gateway).map_err(|e| e.to_string())?;
        let mut connection = Connection::new(stream);
        let parts = [(format!("aa{n:06x}"), 16)];
        connection.write(&encode(&format!("keep{n:02x}"), &parts, 1));
        connection.read_message().ok_or("no answer on a kept connection")?;
        kept.push(connection);
    }
    let long = |n: u64, own: u64| [(shared.clone(), SHARED), (format!("bb{n:06x}"), own)];
    let mut streams = Vec::new();
    streams.push(send(g2, "long01", &long(1, OWN), 110, record));
    thread::sleep(Duration::from_millis(1_500));
    streams.push(send(g2, "long02", &long(2, OWN), 140, record));
    thread::sleep(Duration::from_millis(1_500));
    streams.push(send(g2, "long03", &long(3, OWN), 140, record));
    thread::sleep(Duration::from_millis(1_500));
    let slack: u64 = std::env::var("SLACK").ok().and_then(|t| t.parse().ok()).unwrap_or(220);
    let last = (crate::engine::CAPACITY - SHARED - 3 * OWN - slack) / 2;
    streams.push(send(g1, "long04", &long(4, last), 140, record));
    streams.push(send(g2, "long05", &long(5, last), 140, record));
    let late = |kept: &mut Vec<Connection>| {
        for (n, connection) in kept.iter_mut().enumerate() {
            let id = format!("late{n:02x}");
            let parts = [(shared.clone(), SHARED), (format!("cc{n:06x}"), 6_000)];
            record.line(&format!("sent id={id}"));
            connection.write(&encode(&id, &parts, 2));
            if case == Trouble::Burst {
                thread::sleep(Duration::from_millis(20));
            }
        }
    };
    let version = "{\"Model\":\"m\",\"Version\":2}";
    if case == Trouble::Frozen {
        thread::sleep(Duration::from_millis(1_650));
        let front = processes.iter().position(|p| p.name == "front-1").ok_or("no gateway")?;
        if trouble == Trouble::Frozen {
            record.line("stop front-1");
            processes[front].signal(SIGSTOP);
        }
        thread::sleep(Duration::from_millis(200));
        store.put("op/version/m", version);
        thread::sleep(Duration::from_millis(2_300));
        late(&mut kept);
        thread::sleep(Duration::from_millis(400));
        if trouble == Trouble::Frozen {
            record.line("continue front-1");
            processes[front].signal(SIGCONT);
        }
    } else {
        thread::sleep(Duration::from_millis(1_050));
        if trouble == Trouble::Burst {
            for n in 0..BURST {
                let parts = [(format!("dd{n:06x}"), BURST_TOKENS)];
                let id = format!("burst{n:02x}");
                streams.push(send([g1, g2][n % 2], &id, &parts, 3, record));
                thread::sleep(Duration::from_millis(5));
            }
        }
        thread::sleep(Duration::from_millis(400));
        late(&mut kept);
        thread::sleep(Duration::from_millis(100));
        store.put("op/version/m", version);
    }
    let mut served = 0;
    for (n, connection) in kept.iter_mut().enumerate() {
        let status = connection.read_message().map_or(0, |answer| answer.status());
        record.line(&format!("answered id=late{n:02x} status={status}"));
        served += u32::from(status == 200);
    }
    let long_statuses: HashMap<String, u16> = streams.into_iter().map(Stream::finish_named).collect();
    drop(processes);
    let uses = fleet.uses.lock().expect("not poisoned");
    let stale: Vec<_> = uses.iter().filter(|used| used.run_version != used.part_version).collect();
    for used in &stale {
        record.line(&format!("stale {used:?}"));
    }
    let long_served = long_statuses.values().filter(|status| **status == 200).count();
    if long_served < 5 || served < 5 {
        return Err(format!("the deployment did not serve: {long_statuses:?}, {served}"));
    }
    let text = format!(
        "late requests served={served} of {} others served={long_served} of {} stale uses={}",
        kept.len(),
        long_statuses.len(),
        stale.len()
    );
    record.line(&text);
    println!("{text}");
    Ok(stale.is_empty())
}

struct Stream {
    id: String,
    thread: JoinHandle<u16>,
}

impl Stream {
    fn finish(self) -> u16 {
        self.thread.join().unwrap_or(0)
    }

    fn finish_named(self) -> (String, u16) {
        (self.id.clone(), self.finish())
    }
}

fn encode(id: &str, parts: &[(String, u64)], output: u64) -> Vec<u8> {
    let prompt: u64 = parts.iter().map(|(_, tokens)| tokens).sum();
    let parts: Vec<String> = parts.iter().map(|(name, tokens)| format!("{name}:{tokens}")).collect();
    format!(
        "POST /label/1 HTTP/1.1\r\nHost: desk.example\r\nX-Teaseldrum-Request-Id: {id}\r\nX-Teaseldrum-Model: m\r\nX-Teaseldrum-Token-Usage: {prompt},{output}\r\nX-Teaseldrum-Prompt-Prefix: {}\r\nX-Teaseldrum-Deadline-Ms: 15000\r\nAuthorization: Bearer key-desk\r\nContent-Length: 2\r\n\r\nhi",
        parts.join(",")
    )
    .into_bytes()
}

fn send(gateway: SocketAddr, id: &str, parts: &[(String, u64)], output: u64, record: &Record) -> Stream {
    let (bytes, record) = (encode(id, parts, output), record.clone());
    let name = id.to_owned();
    record.line(&format!("sent id={id} to={gateway}"));
    let thread = thread::spawn(move || {
        let Ok(stream) = std::net::TcpStream::connect(gateway) else { return 0 };
        let mut connection = Connection::new(stream);
        connection.write(&bytes);
        let status = connection.read_message().map_or(0, |answer| answer.status());
        record.line(&format!("answered id={name} status={status}"));
        status
    });
    Stream { id: id.into(), thread }
}
