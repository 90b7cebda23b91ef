//! Small stand-ins with the standard library only: JSON, HTTP, the platform's store and
//! the start of the project's own programs.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Str(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Num(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::Arr(values)) => values.clone(),
            _ => Vec::new(),
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Str(key) = parse_value(bytes, at)? else {
                            return None;
                        };
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut values = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(values));
                    }
                    b',' => *at += 1,
                    _ => values.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Str(String::from_utf8_lossy(&text).into_owned()));
                    }
                    b'\\' => {
                        let escaped = *bytes.get(*at + 1)?;
                        text.push(match escaped {
                            b'n' => b'\n',
                            b't' => b'\t',
                            other => other,
                        });
                        *at += 2;
                    }
                    byte => {
                        text.push(byte);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let from = *at;
            while *at < bytes.len() && !b",]} \n\r\t".contains(&bytes[*at]) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[from..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Num),
            }
        }
    }
}

pub fn to_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(DIGITS[(word >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// Request that has arrived whole.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| decode_percent(value))
        })
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one request, with a body that states its length or comes in chunks.
pub fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(stream)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut request = Request {
        method,
        target,
        headers,
        body: Vec::new(),
    };
    request.body = read_body(stream, &request.headers, true)?;
    Some(request)
}

pub fn read_head(stream: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if stream.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a body; `None` if it ends early. A response without a length ends with its
/// connection.
pub fn read_body(
    stream: &mut impl BufRead,
    headers: &[(String, String)],
    is_request: bool,
) -> Option<Vec<u8>> {
    let find = |name: &str| headers.iter().find(|(key, _)| key == name).map(|(_, v)| v);
    let mut body = Vec::new();
    if find("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = find("content-length") {
        body.resize(length.parse().ok()?, 0);
        stream.read_exact(&mut body).ok()?;
    } else if !is_request {
        stream.read_to_end(&mut body).ok()?;
    }
    Some(body)
}

pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &str,
) -> std::io::Result<()> {
    let response = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(response.as_bytes())
}

/// Serves each connection of `listener` in a thread of its own.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(TcpStream) + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
}

/// Lines of `record.txt`, with the time since the start.
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt can be written")),
        }
    }

    pub fn elapsed(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.elapsed());
    }
}

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    create_revision: u64,
    lease: u64,
}

struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// Stand-in of the platform's store: linearizable, answers in 4 ms, keeps all history.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(StoreState {
                revision: 100,
                items: BTreeMap::new(),
                events: Vec::new(),
                leases: HashMap::new(),
                next_lease: 1,
            }),
            changed: Condvar::new(),
        });
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let serving = Arc::clone(&store);
        serve(listener, move |stream| serving.serve_connection(stream));
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire_leases();
            }
        });
        store
    }

    /// Writes an item as the operator or a worker does; returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        let revision = put_item(&mut state, key, to_base64(value.as_bytes()), 0);
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        remove_item(&mut self.state.lock().unwrap(), key);
        self.changed.notify_all();
    }

    fn expire_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            end_lease(&mut state, lease);
        }
        self.changed.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("a descriptor is free");
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let headers = "Content-Type: application/json\r\n";
            if respond(&mut writer, status, headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        let path = request.path().to_owned();
        match path.as_str() {
            "/kv-key" => {
                let key = request.query("Key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => {
                        let text = describe(&key, item);
                        let text = text.trim_end_matches('}');
                        ("200 OK", format!("{text},\"AsOf\":{}}}", state.revision))
                    }
                    None => ("404 Not Found", "{}".into()),
                }
            }
            "/kv-range" => {
                let prefix = request.query("Prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| describe(key, item))
                    .collect();
                let as_of = state.revision;
                let items = items.join(",");
                ("200 OK", format!("{{\"items\":[{items}],\"HasMore\":false,\"AsOf\":{as_of}}}"))
            }
            "/kv-watch" => {
                let prefix = request.query("Prefix").unwrap_or_default();
                let after: u64 = request.query("after").and_then(|t| t.parse().ok()).unwrap_or(0);
                let wait: u64 = request.query("WaitMs").and_then(|t| t.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let events: Vec<String> = state
                        .events
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => describe(key, item),
                            None => format!(
                                "{{\"Key\":\"{key}\",\"Revision\":{revision},\"Removed\":true}}"
                            ),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let as_of = state.revision;
                        let events = events.join(",");
                        return ("200 OK", format!("{{\"Events\":[{events}],\"AsOf\":{as_of}}}"));
                    }
                    state = self.changed.wait_timeout(state, until - now).unwrap().0;
                }
            }
            "/kv-txn" => {
                let holds = body.list("Expected").iter().all(|row| {
                    let item = state.items.get(&row.text("Key"));
                    item.map_or(0, |item| item.revision) == row.number("Revision")
                });
                if !holds {
                    return ("412 Precondition Failed", "{\"items\":[]}".into());
                }
                let puts = body.list("Puts");
                let has_leases = puts.iter().all(|put| {
                    let lease = put.number("Lease");
                    lease == 0 || state.leases.contains_key(&lease)
                });
                if !has_leases {
                    return ("404 Not Found", "{}".into());
                }
                for put in puts {
                    let lease = put.number("Lease");
                    put_item(&mut state, &put.text("Key"), put.text("Value"), lease);
                }
                for key in body.list("Remove") {
                    if let Json::Str(key) = key {
                        remove_item(&mut state, &key);
                    }
                }
                self.changed.notify_all();
                ("200 OK", format!("{{\"Revision\":{}}}", state.revision))
            }
            "/kv-lease" => {
                let ttl_ms = body.number("TtlMs").clamp(1_000, 600_000);
                let lease = state.next_lease;
                state.next_lease += 1;
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                ("200 OK", format!("{{\"Lease\":{lease},\"TtlMs\":{ttl_ms}}}"))
            }
            other => {
                let id = other.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                if other.starts_with("/kv-keep/") {
                    let Some((until, ttl)) = state.leases.get_mut(&id) else {
                        return ("404 Not Found", "{}".into());
                    };
                    *until = Instant::now() + *ttl;
                    return ("200 OK", format!("{{\"TtlMs\":{}}}", ttl.as_millis()));
                }
                if other.starts_with("/kv-lease-end/") {
                    end_lease(&mut state, id);
                    self.changed.notify_all();
                    return ("200 OK", "{}".into());
                }
                ("404 Not Found", "{}".into())
            }
        }
    }
}

fn put_item(state: &mut StoreState, key: &str, value: String, lease: u64) -> u64 {
    state.revision += 1;
    let revision = state.revision;
    let create_revision = state.items.get(key).map_or(revision, |item| item.create_revision);
    let item = Item {
        value,
        revision,
        create_revision,
        lease,
    };
    state.items.insert(key.to_owned(), item.clone());
    state.events.push((revision, key.to_owned(), Some(item)));
    revision
}

fn remove_item(state: &mut StoreState, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        let revision = state.revision;
        state.events.push((revision, key.to_owned(), None));
    }
}

fn end_lease(state: &mut StoreState, lease: u64) {
    state.leases.remove(&lease);
    let keys: Vec<String> = state
        .items
        .iter()
        .filter(|(_, item)| item.lease == lease)
        .map(|(key, _)| key.clone())
        .collect();
    if lease > 0 {
        keys.iter().for_each(|key| remove_item(state, key));
    }
}

fn describe(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"CreateRevision\":{},\"Lease\":{}}}",
        item.value, item.revision, item.create_revision, item.lease
    )
}

/// Processes of the project that this run has started; they end with it.
pub struct Processes {
    children: Vec<(String, Child)>,
    folder: PathBuf,
}

impl Processes {
    pub fn new(folder: PathBuf) -> Self {
        Self {
            children: Vec::new(),
            folder,
        }
    }

    /// Starts a role with the command of the deploy file.
    pub fn start(&mut self, role: &str, name: &str, settings: &str) -> u32 {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("settings can be written");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("a log");
        let errors = log.try_clone().expect("a descriptor");
        let child = Command::new("target/release/teaseldrum")
            .args([role, "--settings-from", "TEASELDRUM_NODE_FILE"])
            .env("TEASELDRUM_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the build of the deploy file is there");
        let id = child.id();
        self.children.push((name.to_owned(), child));
        id
    }

    /// Kills the process `name` as the platform does without notice.
    pub fn kill(&mut self, name: &str) {
        for (known, child) in &mut self.children {
            if known == name {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.children.retain(|(known, _)| known != name);
    }

    /// Returns the names of processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for (name, child) in &mut self.children {
            if let Ok(Some(status)) = child.try_wait() {
                ended.push(format!("{name} ({status})"));
            }
        }
        ended
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends a signal to a process that this run has started.
pub fn signal(id: u32, name: &str) {
    let _ = Command::new("kill").args([&format!("-{name}"), &id.to_string()]).status();
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// Settings of a gateway as `platform/gateway.json.tmpl` renders them.
pub fn gateway_settings(name: &str, ip: &str, port: u16, seeds: &[String], store: &str) -> String {
    let seeds = seeds.iter().map(|s| format!("\"{s}\"")).collect::<Vec<_>>().join(",");
    format!(
        "{{\"name\":\"{name}\",\"zone\":\"patan\",\"listen\":{{\"traffic\":\"{ip}:{port}\",\
         \"health\":\"{ip}:{}\",\"peers\":\"{ip}:{}\",\"metrics\":\"{ip}:{}\"}},\
         \"seeds\":[{seeds}],\"agent_port\":{},\"store\":\"{store}\",\"memory_mb\":260,\
         \"descriptors\":4100,\"stop_timeout_s\":8,\"first_start\":true,\
         \"bounds\":{{\"retry_ratio\":0.2,\"retry_extra\":56,\"retry_window_s\":10,\
         \"quota_overage\":0.1,\"quota_slack\":140000,\"version_ms\":6000,\"comment\":\"\"}},\
         \"options\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\",\
         \"stream\",\"engine\",\"tenants\",\"quota\",\"platform\"],\
         \"log\":{{\"level\":\"info\",\"format\":\"text\"}}}}",
        port + 1,
        port + 2,
        port + 3,
        port + 4
    )
}

/// Settings of a sidecar as `platform/sidecar.json.tmpl` renders them.
pub fn sidecar_settings(name: &str, ip: &str, agent_port: u16, engine: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"zone\":\"patan\",\"listen\":\"{ip}:{agent_port}\",\
         \"metrics\":\"{ip}:{}\",\"engine\":\"{engine}\",\"version_ms\":6000,\
         \"options\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\",\
         \"stream\",\"engine\",\"tenants\",\"quota\",\"platform\"],\
         \"log\":{{\"level\":\"info\",\"format\":\"text\"}}}}",
        agent_port - 1
    )
}

/// Returns a port from which `count` ports are free on all loopback addresses used here.
pub fn find_ports(count: u16) -> u16 {
    let mut base = 21_000 + (std::process::id() % 1_000) as u16 * 8;
    loop {
        let is_free = |port: u16| TcpListener::bind(("0.0.0.0", port)).is_ok();
        if (base..base + count).all(is_free) {
            return base;
        }
        base += count;
    }
}

/// Waits until the gateway says that it is ready.
pub fn wait_ready(address: &str, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if let Ok(mut stream) = TcpStream::connect(address) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            let mut text = String::new();
            let _ = stream.read_to_string(&mut text);
            if text.starts_with("HTTP/1.1 200") {
                return true;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
