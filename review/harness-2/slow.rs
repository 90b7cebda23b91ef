//! Case: a gateway is stopped while clients read long streams slowly.

mod common;

use std::collections::HashMap;
use std::env;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::Processes;
use common::Record;
use common::Store;
use common::find_ports;
use common::gateway_settings;
use common::read_request;
use common::respond;
use common::serve;
use common::signal;
use common::unix_ms;
use common::wait_ready;

const CLIENTS: usize = 16;
const EVENTS: usize = 140;
const EVENT_BYTES: usize = 4_000;
/// Each client reads this many bytes every 50 ms.
const READ_BYTES: usize = 2_000;
const READ_INTERVAL: Duration = Duration::from_millis(50);
/// Time from the requests until the SIGTERM.
const STOP_DELAY: Duration = Duration::from_millis(1_000);
/// `GraceS` of the site, and the deadline of a stream.
const GRACE_TIME: Duration = Duration::from_secs(8);
const DEADLINE: Duration = Duration::from_secs(15);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let folder = PathBuf::from(&arguments[1]);
    let record = Arc::new(Record::create(&PathBuf::from(&arguments[2])));
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    exit(run(folder, record, has_trouble));
}

/// When the worker had written the whole answer to each request.
type Written = Arc<Mutex<HashMap<String, Instant>>>;

fn run(folder: PathBuf, record: Arc<Record>, has_trouble: bool) -> i32 {
    let base = find_ports(8);
    let store_address: SocketAddr = format!("127.0.0.1:{}", base + 6).parse().unwrap();
    let store = Store::start(store_address);
    store.put("op/config", &configuration());
    let written = Written::default();
    let address: SocketAddr = format!("127.0.3.1:{}", base + 5).parse().unwrap();
    start_worker("i-0", address, &written, &record);
    let born = unix_ms();
    let beating = Arc::clone(&store);
    thread::spawn(move || {
        let mut number = 1;
        loop {
            let beat = format!(
                "{{\"Service\":\"texts\",\"Address\":\"{address}\",\"Zone\":\"patan\",\"Version\":\"v1\",\
                 \"Slots\":64,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":{number},\"born\":{born}}}"
            );
            beating.put("servers/i-0", &beat);
            number += 1;
            thread::sleep(Duration::from_millis(1_200));
        }
    });
    let ip = "127.0.0.10";
    let seeds = vec![format!("{ip}:{}", base + 2)];
    let mut processes = Processes::new(folder);
    let settings = gateway_settings("front-0", ip, base, &seeds, &store_address.to_string());
    let gateway = processes.start("gateway", "front-0", &settings);
    if !wait_ready(&format!("{ip}:{}", base + 1), Duration::from_secs(10)) {
        println!("the gateway did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let traffic = format!("{ip}:{base}");
    let sent_at = Instant::now();
    let calls: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (traffic, record) = (traffic.clone(), Arc::clone(&record));
            thread::spawn(move || {
                let end = call(&traffic, number).unwrap_or(End::None);
                record.line(&format!("client request=r{number} end={end:?}"));
                end
            })
        })
        .collect();
    thread::sleep(STOP_DELAY);
    let stopped_at = Instant::now();
    if has_trouble {
        record.line("the gateway gets SIGTERM");
        signal(gateway, "TERM");
        thread::sleep(GRACE_TIME);
        if processes.ended().is_empty() {
            record.line("the gateway gets SIGKILL");
            processes.kill("front-0");
        } else {
            record.line("the gateway has ended");
        }
    }
    let ends: Vec<End> = calls.into_iter().map(|call| call.join().unwrap_or(End::None)).collect();
    let written = written.lock().unwrap();
    let excused_from = stopped_at + GRACE_TIME * 5 / 6;
    let mut lost = 0;
    let mut whole = 0;
    for (number, end) in ends.iter().enumerate() {
        whole += usize::from(matches!(end, End::Whole));
        let End::Cut(bytes, at) = end else {
            continue;
        };
        let finished = written.get(&format!("r{number}")).copied();
        // The worker was not at work any more, and the deadline was not reached.
        let is_lost = finished.is_some_and(|finished| finished < excused_from)
            && at.duration_since(sent_at) < DEADLINE;
        lost += usize::from(is_lost);
        record.line(&format!(
            "LOST={is_lost} request=r{number} cut after {bytes} bytes of {}, {} ms after the SIGTERM; the worker had written all {:?} ms after it",
            EVENTS * EVENT_BYTES,
            at.duration_since(stopped_at).as_millis(),
            finished.map(|at| at.saturating_duration_since(stopped_at).as_millis())
        ));
    }
    let summary = format!("sent={CLIENTS} whole={whole} lost={lost}");
    record.line(&summary);
    println!("{summary}");
    if whole == 0 && lost == 0 {
        return 2;
    }
    i32::from(lost > 0)
}

#[derive(Debug)]
enum End {
    Whole,
    /// Bytes of events that arrived, and when the connection ended.
    Cut(usize, Instant),
    None,
}

fn call(address: &str, number: usize) -> Option<End> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let request = format!(
        "POST /text/a HTTP/1.1\r\nHost: guild.example\r\nX-Teaseldrum-Request-Id: r{number}\r\n\
         X-Teaseldrum-Deadline-Ms: {}\r\nAuthorization: Bearer key-1\r\nContent-Length: 2\r\n\r\nhi",
        DEADLINE.as_millis()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer: Vec<u8> = Vec::new();
    let mut next = Instant::now();
    let mut chunk = vec![0; READ_BYTES];
    loop {
        next += READ_INTERVAL;
        thread::sleep(next.saturating_duration_since(Instant::now()));
        let count = match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return Some(End::Cut(answer.len(), Instant::now())),
            Ok(count) => count,
        };
        answer.extend_from_slice(&chunk[..count]);
        if answer.ends_with(b"0\r\n\r\n") {
            return Some(End::Whole);
        }
    }
}

/// Starts a sound worker that answers with a stream as fast as it is taken.
fn start_worker(name: &str, address: SocketAddr, written: &Written, record: &Arc<Record>) {
    let listener = TcpListener::bind(address).expect("the worker's address is free");
    let (name, written, record) = (name.to_owned(), Arc::clone(written), Arc::clone(record));
    serve(listener, move |stream: TcpStream| {
        let mut writer = stream.try_clone().expect("a descriptor is free");
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let id = request.header("x-teaseldrum-request-id").unwrap_or("").to_owned();
            let instance = format!("X-Teaseldrum-Instance-Id: {name}\r\n");
            if request.path() == "/healthz" {
                if respond(&mut writer, "200 OK", &instance, "").is_err() {
                    return;
                }
                continue;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\n{instance}X-Teaseldrum-Request-Id: {id}\r\n\
                 X-Teaseldrum-Server-Seal: {name}.{id}\r\nContent-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            );
            if writer.write_all(head.as_bytes()).is_err() {
                return;
            }
            for number in 1..=EVENTS {
                let mut event = format!("id: {number}\ndata: ");
                event.push_str(&"a".repeat(EVENT_BYTES - event.len() - 2));
                event.push_str("\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if writer.write_all(chunk.as_bytes()).is_err() {
                    record.line(&format!("{name} request={id} broke off at event {number}"));
                    return;
                }
            }
            if writer.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
            record.line(&format!("{name} request={id} is written whole"));
            written.lock().unwrap().insert(id, Instant::now());
        }
    });
}

fn configuration() -> String {
    "{\"Version\":7,\"Routes\":[{\"Name\":\"text\",\"Host\":\"guild.example\",\"Prefix\":\"/text/\",\
     \"Kind\":\"streaming\",\"TimeoutMs\":15000,\"TargetLatencyMs\":600,\"Priority\":1,\"Service\":\"texts\",\
     \"MaxAttempts\":1,\"Public\":false,\"Sticky\":true,\"Resumable\":false,\"GapAimMs\":300}],\
     \"Services\":[{\"Name\":\"texts\",\"HealthPath\":\"/healthz\",\"MaxConnections\":370,\"Protocol\":\"h1\",\
     \"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
     \"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"guild\",\"ApiKeys\":[\"key-1\"],\"Unit\":\"tokens\",\
     \"UncachedTokens\":200,\"Isolated\":false,\"RatePerS\":0,\"Burst\":0}]}"
        .to_owned()
}
