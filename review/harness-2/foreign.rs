//! Case: the store lists entries of another writer, for a service that is not named here, at
//! the addresses of sound workers.

mod common;

use std::env;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
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
use common::read_request;
use common::respond;
use common::serve;
use common::unix_ms;
use common::wait_ready;

const WORKERS: usize = 3;
const GATEWAYS: usize = 2;
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
const CALM_TIME: Duration = Duration::from_secs(8);
/// How long all processes of the system are down.
const DOWN_TIME: Duration = Duration::from_millis(1_300);
/// How long the entries of the other writer lie in the store.
const FOREIGN_TIME: Duration = Duration::from_secs(5);
/// `RecoveryS` of the site.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
const JUDGED_TIME: Duration = Duration::from_secs(15);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let folder = PathBuf::from(&arguments[1]);
    let record = Arc::new(Record::create(&PathBuf::from(&arguments[2])));
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    exit(run(folder, record, has_trouble));
}

fn run(folder: PathBuf, record: Arc<Record>, has_trouble: bool) -> i32 {
    let base = find_ports(8);
    let store_address: SocketAddr = format!("127.0.0.1:{}", base + 6).parse().unwrap();
    let store = Store::start(store_address);
    store.put("op/config", &configuration());
    let mut workers = Vec::new();
    for index in 0..WORKERS {
        let address: SocketAddr = format!("127.0.2.{}:{}", index + 1, base + 5).parse().unwrap();
        let name = format!("i-{index}");
        start_worker(&name, address, &record);
        let born = unix_ms();
        let (store, beating) = (Arc::clone(&store), name.clone());
        thread::spawn(move || {
            let mut number = 1;
            loop {
                let beat = beat("booking", address, born, number);
                store.put(&format!("servers/{beating}"), &beat);
                number += 1;
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        workers.push(address);
    }
    let ips: Vec<String> = (0..GATEWAYS).map(|i| format!("127.0.0.{}", 10 + i)).collect();
    let seeds: Vec<String> = ips.iter().map(|ip| format!("{ip}:{}", base + 2)).collect();
    let mut processes = Processes::new(folder);
    let start = |processes: &mut Processes, is_first: bool| {
        for (index, ip) in ips.iter().enumerate() {
            let name = format!("front-{index}");
            let settings = gateway_settings(&name, ip, base, &seeds, &store_address.to_string());
            let first = format!("\"first_start\":{is_first}");
            let settings = settings.replace("\"first_start\":true", &first);
            processes.start("gateway", &name, &settings);
        }
        let ready = ips.iter().map(|ip| format!("{ip}:{}", base + 1));
        ready.into_iter().all(|address| wait_ready(&address, Duration::from_secs(10)))
    };
    if !start(&mut processes, true) {
        println!("the gateways did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let traffic: Vec<String> = ips.iter().map(|ip| format!("{ip}:{base}")).collect();
    let ends: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let sending = (Arc::clone(&ends), Arc::clone(&is_over), Arc::clone(&record));
    thread::spawn(move || {
        let (ends, is_over, record) = sending;
        let number = AtomicU64::new(0);
        let mut next = Instant::now();
        while !is_over.load(Ordering::SeqCst) {
            next += REQUEST_INTERVAL;
            thread::sleep(next.saturating_duration_since(Instant::now()));
            let number = number.fetch_add(1, Ordering::SeqCst);
            let address = traffic[number as usize % traffic.len()].clone();
            let (ends, record) = (Arc::clone(&ends), Arc::clone(&record));
            thread::spawn(move || {
                let sent_at = Instant::now();
                let end = call(&address, number).unwrap_or_else(|| "no answer".into());
                record.line(&format!("client request=r{number} to={address} end={end}"));
                ends.lock().unwrap().push((sent_at, end));
            });
        }
    });
    let began = Instant::now();
    thread::sleep(CALM_TIME);
    let struck = Instant::now();
    record.line("all processes of the system are killed");
    for index in 0..GATEWAYS {
        processes.kill(&format!("front-{index}"));
    }
    if has_trouble {
        for (index, address) in workers.iter().enumerate() {
            let key = format!("servers/inventory-{index}");
            store.put(&key, &beat("inventory", *address, unix_ms(), 1));
            record.line(&format!("another writer lists {key} at {address}"));
        }
    }
    thread::sleep(DOWN_TIME);
    // Readiness is up to the gateways.
    let is_ready = start(&mut processes, false);
    let back = struck + DOWN_TIME;
    record.line(&format!("the processes are back is_ready={is_ready}"));
    let judged_from = back + RECOVERY_TIME;
    thread::sleep((struck + FOREIGN_TIME).saturating_duration_since(Instant::now()));
    for index in 0..WORKERS {
        store.remove(&format!("servers/inventory-{index}"));
        record.line(&format!("servers/inventory-{index} is removed"));
    }
    thread::sleep((judged_from + JUDGED_TIME).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(5));
    let ends = ends.lock().unwrap();
    let share = |from: Instant, to: Instant| {
        let of: Vec<_> = ends.iter().filter(|(at, _)| *at >= from && *at < to).collect();
        let served = of.iter().filter(|(_, end)| end.starts_with("200")).count();
        (served, of.len())
    };
    let before = share(began, struck);
    let after = share(judged_from, judged_from + JUDGED_TIME);
    let summary = format!(
        "before: served {} of {}; later than RecoveryS after the machines are back: {} of {}; ended={:?}",
        before.0, before.1, after.0, after.1, processes.ended()
    );
    record.line(&summary);
    println!("{summary}");
    if before.0 * 10 < before.1 * 9 || after.1 < 100 {
        return 2;
    }
    i32::from(after.0 * 4 < after.1)
}

fn beat(service: &str, address: SocketAddr, born: u128, number: u64) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"patan\",\"Version\":\"v1\",\
         \"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":{number},\"born\":{born}}}"
    )
}

/// Starts a sound worker of the plain service.
fn start_worker(name: &str, address: SocketAddr, record: &Arc<Record>) {
    let listener = TcpListener::bind(address).expect("the worker's address is free");
    let (name, record) = (name.to_owned(), Arc::clone(record));
    serve(listener, move |stream: TcpStream| {
        let mut writer = stream.try_clone().expect("a descriptor is free");
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let instance = format!("X-Teaseldrum-Instance-Id: {name}\r\nX-Teaseldrum-Server-Load: 1,0,6\r\n");
            let id = request.header("x-teaseldrum-request-id").unwrap_or("").to_owned();
            let echo = format!("{instance}X-Teaseldrum-Request-Id: {id}\r\n");
            let expected = request.header("x-teaseldrum-expect-instance");
            let answered = if request.path() == "/healthz" {
                respond(&mut writer, "200 OK", &instance, "")
            } else if expected.is_some_and(|expected| expected != name) {
                respond(&mut writer, "421 Misdirected Request", &echo, "")
            } else {
                thread::sleep(Duration::from_millis(30));
                record.line(&format!("{name} runs request={id}"));
                let sealed = format!("{echo}X-Teaseldrum-Server-Seal: {name}.{id}\r\n");
                respond(&mut writer, "200 OK", &sealed, "done")
            };
            if answered.is_err() {
                return;
            }
        }
    });
}

fn configuration() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"guild.example\",\"Prefix\":\"/{name}/\",\"Kind\":\"{kind}\",\
             \"TimeoutMs\":2000,\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"booking\",\
             \"MaxAttempts\":{attempts},\"Public\":false}}"
        )
    };
    format!(
        "{{\"Version\":7,\"Routes\":[{},{}],\"Services\":[{{\"Name\":\"booking\",\"HealthPath\":\"/healthz\",\
         \"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"guild\",\"ApiKeys\":[\"key-1\"],\"Unit\":\"tokens\",\
         \"UncachedTokens\":200,\"Isolated\":false,\"RatePerS\":0,\"Burst\":0}}]}}",
        route("book", "non_idempotent", 1),
        route("look", "idempotent", 2)
    )
}

fn call(address: &str, number: u64) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let line = if number % 3 == 0 { "GET /look/a" } else { "POST /book/a" };
    let request = format!(
        "{line} HTTP/1.1\r\nHost: guild.example\r\nX-Teaseldrum-Request-Id: r{number}\r\n\
         X-Teaseldrum-Deadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let body = read_body(&mut reader, &headers, false)?;
    let status = first.split(' ').nth(1)?.to_owned();
    Some(format!("{status} {}", String::from_utf8_lossy(&body).trim()))
}
