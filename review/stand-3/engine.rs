//! Stand-in for a model worker: reads prompts in parts, keeps the parts under their salts,
//! fetches them from other workers, preempts when its memory runs out, and changes its
//! weights on orders.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;
use crate::http::encode_response;
use crate::http::serve;
use crate::json::Json;
use crate::json::quote;
use crate::record::Record;

/// Prompt tokens that are read in a millisecond.
const TOKENS_PER_MS: u64 = 55;

/// Time between two events of a stream.
const STEP: Duration = Duration::from_millis(70);

/// Time to load new weights.
const LOAD: Duration = Duration::from_millis(760);

/// Memory in tokens, and requests at once.
pub const CAPACITY: u64 = 220_962;
pub const SLOTS: u32 = 64;

/// Part of a prompt in memory.
#[derive(Debug)]
struct Part {
    tokens: u64,
    /// Version of the weights with which it was made.
    version: u64,
}

type Key = (String, String);

struct Run {
    started_at: Instant,
    parts: Vec<Arc<Part>>,
    generated: u64,
    is_preempted: bool,
}

struct State {
    version: u64,
    seq: u64,
    is_busy: bool,
    waiting: u32,
    runs: HashMap<String, Run>,
    cache: HashMap<Key, Arc<Part>>,
    events: Vec<String>,
    orders: Vec<Order>,
}

/// Order that arrived, whatever became of it.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: f64,
    pub engine: String,
    pub holder: String,
    pub fence: u64,
    pub version: u64,
    pub status: u16,
}

/// Use of a part by a request that began.
#[derive(Debug, Clone)]
pub struct Use {
    pub request: String,
    pub engine: String,
    pub part: String,
    pub is_fetched: bool,
    /// Versions of the weights of the run and of the part.
    pub run_version: u64,
    pub part_version: u64,
}

/// What all engines share: their addresses, and what they saw.
#[derive(Default)]
pub struct Fleet {
    engines: Mutex<HashMap<SocketAddr, Engine>>,
    pub uses: Mutex<Vec<Use>>,
    /// Engine at which each request began.
    pub begun: Mutex<HashMap<String, String>>,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    model: String,
    record: Record,
    fleet: Arc<Fleet>,
    state: Arc<(Mutex<State>, Condvar)>,
    /// Prompts are read one after the other: the next ticket, and the one whose turn it is.
    turns: Arc<(Mutex<(u64, u64)>, Condvar)>,
}

/// Turn to read a prompt; ended when dropped.
struct Turn(Arc<(Mutex<(u64, u64)>, Condvar)>);

impl Turn {
    fn wait(turns: &Arc<(Mutex<(u64, u64)>, Condvar)>) -> Self {
        let mut state = turns.0.lock().expect("not poisoned");
        let ticket = state.0;
        state.0 += 1;
        while state.1 != ticket {
            state = turns.1.wait(state).expect("not poisoned");
        }
        Self(Arc::clone(turns))
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.0.0.lock().expect("not poisoned").1 += 1;
        self.0.1.notify_all();
    }
}

impl Engine {
    pub fn start(id: &str, ip: &str, model: &str, record: &Record, fleet: &Arc<Fleet>) -> Self {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("a port is free");
        let state = State {
            version: 1,
            seq: 0,
            is_busy: false,
            waiting: 0,
            runs: HashMap::new(),
            cache: HashMap::new(),
            events: Vec::new(),
            orders: Vec::new(),
        };
        let engine = Self {
            id: id.into(),
            address: listener.local_addr().expect("bound"),
            model: model.into(),
            record: record.clone(),
            fleet: Arc::clone(fleet),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            turns: Arc::default(),
        };
        fleet.engines.lock().expect("not poisoned").insert(engine.address, engine.clone());
        let serving = engine.clone();
        serve(listener, move |req, connection| serving.handle(req, connection));
        engine
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("not poisoned")
    }

    pub fn version(&self) -> u64 {
        self.lock().version
    }

    pub fn orders(&self) -> Vec<Order> {
        self.lock().orders.clone()
    }

    /// The engine's entry in the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":{SLOTS},\"State\":\"ready\",\"ColdRemainingMs\":0,\"Stage\":\"both\",\"Models\":[{{\"Name\":\"{}\",\"Version\":{},\"Adapters\":[]}}],\"Seq\":1,\"born\":1790000000000}}",
            self.address,
            self.model,
            self.version()
        )
    }

    fn handle(&self, req: &Message, connection: &mut Connection) -> bool {
        let json = [("Content-Type", "application/json")];
        match (req.method(), req.path()) {
            ("GET", "/report") => {
                let text = self.report();
                connection.write(&encode_response(200, &json, text.as_bytes()))
            }
            ("GET", "/kv-events") => {
                let text = self.events_since(req);
                connection.write(&encode_response(200, &json, text.as_bytes()))
            }
            ("POST", "/order") => {
                let status = self.order(req);
                connection.write(&encode_response(status, &[], b""))
            }
            _ => self.generate(req, connection),
        }
    }

    fn report(&self) -> String {
        let state = self.lock();
        format!(
            "{{\"Stage\":\"both\",\"Models\":[{{\"Name\":{},\"Version\":{},\"Adapters\":[]}}],\"Busy\":{},\"Seq\":{},\"NumWaiting\":{},\"NumRunning\":{},\"KvUsed\":{},\"KvTotal\":{CAPACITY},\"Handles\":0}}",
            quote(&self.model),
            state.version,
            state.is_busy,
            state.seq,
            state.waiting,
            state.runs.len(),
            state.used()
        )
    }

    fn events_since(&self, req: &Message) -> String {
        let since = req.query("Since").and_then(|text| text.parse().ok()).unwrap_or(0_usize);
        let wait = req.header("wait-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if state.events.len() > since || left.is_zero() {
                let first = since.min(state.events.len());
                let events = state.events[first..].join(",");
                let next = state.events.len();
                return format!("{{\"BootEpoch\":77,\"NextToken\":{next},\"Lost\":false,\"Events\":[{events}]}}");
            }
            state = self.state.1.wait_timeout(state, left).expect("not poisoned").0;
        }
    }

    fn order(&self, req: &Message) -> u16 {
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        let expected = req.header("x-teaseldrum-expect-instance");
        let version = body.get("Version").number();
        let mut state = self.lock();
        let status = if expected.is_some_and(|expected| expected != self.id) {
            421
        } else if body.get("Holder").text().is_empty() || body.get("Fence").number() == 0 {
            400
        } else if state.is_busy || body.get("Expected").number() != state.seq {
            409
        } else if state.version == version {
            200
        } else {
            202
        };
        let order = Order {
            at: self.record.now(),
            engine: self.id.clone(),
            holder: body.get("Holder").text().into(),
            fence: body.get("Fence").number(),
            version,
            status,
        };
        self.record.line(&format!(
            "order engine={} holder={} fence={} version={version} status={status}",
            self.id, order.holder, order.fence
        ));
        state.orders.push(order);
        if status == 202 {
            state.seq += 1;
            state.is_busy = true;
            let engine = self.clone();
            thread::spawn(move || {
                thread::sleep(LOAD);
                let mut state = engine.lock();
                state.version = version;
                state.is_busy = false;
                state.discard(&engine.model);
                drop(state);
                engine.state.1.notify_all();
                engine.record.line(&format!("weights engine={} version={version}", engine.id));
            });
        }
        status
    }

    fn refuse(&self, status: u16, id: &str, connection: &mut Connection) -> bool {
        self.record.line(&format!("not run id={id} engine={} status={status}", self.id));
        let version = self.version().to_string();
        let headers = [
            ("X-Teaseldrum-Request-Id", id),
            ("X-Teaseldrum-Not-Run", "1"),
            ("X-Teaseldrum-Instance-Id", self.id.as_str()),
            ("X-Teaseldrum-Weight-Versions", version.as_str()),
        ];
        connection.write(&encode_response(status, &headers, b""))
    }

    fn generate(&self, req: &Message, connection: &mut Connection) -> bool {
        let id = req.header("x-teaseldrum-request-id").unwrap_or("").to_owned();
        let expected = req.header("x-teaseldrum-expect-instance");
        let version = req.header("x-teaseldrum-expect-version").and_then(|text| text.parse().ok());
        if expected.is_some_and(|expected| expected != self.id)
            || version.is_some_and(|version: u64| version != self.version())
        {
            return self.refuse(421, &id, connection);
        }
        let salt = req.header("x-teaseldrum-cache-salt").unwrap_or("").to_owned();
        let source = req.header("x-teaseldrum-kv-fetch").and_then(|text| text.parse().ok());
        let usage = req.header("x-teaseldrum-token-usage").unwrap_or("0,1");
        let output: u64 = usage.split(',').nth(1).and_then(|text| text.trim().parse().ok()).unwrap_or(1);
        let parts = parse_parts(req.header("x-teaseldrum-prompt-prefix").unwrap_or(""));
        self.lock().waiting += 1;
        let status = self.begin(&id, &salt, version, &parts, source);
        self.lock().waiting -= 1;
        if status != 200 {
            return self.refuse(status, &id, connection);
        }
        let is_sent = self.stream(&id, &salt, &parts, output, connection);
        self.lock().runs.remove(&id);
        self.record.line(&format!("run ended id={id} engine={} whole={is_sent}", self.id));
        is_sent
    }

    /// Reads a prompt. Returns 200 if the request has begun, else the status of its refusal:
    /// there is no room, an order is being carried out, or the weights have changed.
    fn begin(
        &self,
        id: &str,
        salt: &str,
        version: Option<u64>,
        parts: &[(String, u64)],
        source: Option<SocketAddr>,
    ) -> u16 {
        let needed: u64 = parts.iter().map(|(_, tokens)| tokens).sum();
        let is_full = {
            let state = self.lock();
            let is_kept = |(name, _): &&(String, u64)| !state.cache.contains_key(&(salt.to_owned(), name.clone()));
            let new: u64 = parts.iter().filter(is_kept).map(|(_, tokens)| tokens).sum();
            state.used() + new > CAPACITY
        };
        if is_full {
            return 503;
        }
        let _turn = Turn::wait(&self.turns);
        let mut held = Vec::new();
        let mut uses = Vec::new();
        let mut is_kept = true;
        for (name, tokens) in parts {
            let key = (salt.to_owned(), name.clone());
            let own = self.lock().cache.get(&key).cloned().filter(|_| is_kept);
            let fetched = || {
                let engines = self.fleet.engines.lock().expect("not poisoned");
                let source = engines.get(&source?)?.clone();
                drop(engines);
                let found = source.lock().cache.get(&key).cloned();
                found.filter(|_| is_kept)
            };
            let is_own = own.is_some();
            let part = match own.or_else(fetched) {
                Some(found) => {
                    uses.push((name.clone(), !is_own, found.version));
                    if is_own { found } else { Arc::new(Part { tokens: *tokens, version: found.version }) }
                }
                None => {
                    is_kept = false;
                    thread::sleep(Duration::from_millis(tokens / TOKENS_PER_MS));
                    Arc::new(Part { tokens: *tokens, version: self.version() })
                }
            };
            held.push((key, part));
        }
        let mut state = self.lock();
        if state.is_busy || state.used_with(held.iter().map(|(_, part)| part)) > CAPACITY {
            self.record.line(&format!("no room id={id} engine={} needed={needed}", self.id));
            return 503;
        }
        if version.is_some_and(|version| version != state.version) {
            return 421;
        }
        for (name, is_fetched, part_version) in uses {
            let run_version = state.version;
            self.record.line(&format!(
                "use id={id} engine={} part={name} fetched={is_fetched} run_version={run_version} part_version={part_version}",
                self.id
            ));
            self.fleet.uses.lock().expect("not poisoned").push(Use {
                request: id.into(),
                engine: self.id.clone(),
                part: name,
                is_fetched,
                run_version,
                part_version,
            });
        }
        let run = Run {
            started_at: Instant::now(),
            parts: held.iter().map(|(_, part)| Arc::clone(part)).collect(),
            generated: 0,
            is_preempted: false,
        };
        self.record.line(&format!("run id={id} engine={} version={} salt={salt}", self.id, state.version));
        self.fleet.begun.lock().expect("not poisoned").insert(id.into(), self.id.clone());
        state.runs.insert(id.into(), run);
        for (key, part) in held {
            state.keep(key, part, &self.model);
        }
        drop(state);
        self.state.1.notify_all();
        200
    }

    fn stream(
        &self,
        id: &str,
        salt: &str,
        parts: &[(String, u64)],
        output: u64,
        connection: &mut Connection,
    ) -> bool {
        let version = self.version().to_string();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Teaseldrum-Request-Id: {id}\r\nX-Teaseldrum-Server-Seal: 3e1b\r\nX-Teaseldrum-Instance-Id: {}\r\nX-Teaseldrum-Weight-Versions: {version}\r\n\r\n",
            self.id
        );
        if !connection.write(head.as_bytes()) {
            return false;
        }
        for number in 1..=output {
            let event = format!("id: {number}\ndata: token\n\n");
            if !connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()) {
                return false;
            }
            thread::sleep(STEP);
            if self.step(id) {
                self.read_again(id, salt, parts);
            }
        }
        connection.write(b"0\r\n\r\n")
    }

    /// Counts a token of a run. When memory runs out, preempts the newest run. Returns
    /// whether this run is preempted.
    fn step(&self, id: &str) -> bool {
        let mut state = self.lock();
        if let Some(run) = state.runs.get_mut(id) {
            run.generated += 1;
        }
        while state.used() > CAPACITY {
            let running = state.runs.iter_mut().filter(|(_, run)| !run.is_preempted);
            let Some((newest, run)) = running.max_by_key(|(_, run)| run.started_at) else {
                break;
            };
            run.is_preempted = true;
            run.parts.clear();
            self.record.line(&format!("preempted id={newest} engine={}", self.id));
        }
        state.runs.get(id).is_some_and(|run| run.is_preempted)
    }

    /// Reads the prompt of a preempted run again, once there is room.
    fn read_again(&self, id: &str, salt: &str, parts: &[(String, u64)]) {
        let needed: u64 = parts.iter().map(|(_, tokens)| tokens).sum();
        while self.lock().used() + needed > CAPACITY {
            thread::sleep(Duration::from_millis(5));
        }
        let mut is_kept = true;
        for (name, tokens) in parts {
            let key = (salt.to_owned(), name.clone());
            let kept = self.lock().cache.get(&key).cloned().filter(|_| is_kept);
            let part = kept.unwrap_or_else(|| {
                is_kept = false;
                thread::sleep(Duration::from_millis(tokens / TOKENS_PER_MS));
                Arc::new(Part { tokens: *tokens, version: self.version() })
            });
            self.record.line(&format!(
                "read again id={id} engine={} part={name} salt={salt} part_version={}",
                self.id, part.version
            ));
            let mut state = self.lock();
            if let Some(run) = state.runs.get_mut(id) {
                run.parts.push(Arc::clone(&part));
            }
            state.keep(key, part, &self.model);
            drop(state);
            self.state.1.notify_all();
        }
        if let Some(run) = self.lock().runs.get_mut(id) {
            run.is_preempted = false;
        }
    }
}

impl State {
    /// Tokens of running requests, which cannot yield.
    fn used(&self) -> u64 {
        self.used_with(std::iter::empty())
    }

    fn used_with<'a>(&'a self, others: impl Iterator<Item = &'a Arc<Part>>) -> u64 {
        let mut seen = HashSet::new();
        let running = self.runs.values().flat_map(|run| &run.parts);
        let parts = running.chain(others).filter(|part| seen.insert(Arc::as_ptr(part)));
        let kept: u64 = parts.map(|part| part.tokens).sum();
        kept + self.runs.values().map(|run| run.generated).sum::<u64>()
    }

    fn keep(&mut self, key: Key, part: Arc<Part>, model: &str) {
        let event = self.describe(&key, "+", part.tokens, model);
        if self.cache.insert(key, part).is_none() {
            self.events.push(event);
        }
    }

    /// Discards what is stored; running requests keep what they hold.
    fn discard(&mut self, model: &str) {
        let kept: Vec<(Key, u64)> =
            self.cache.drain().map(|(key, part)| (key, part.tokens)).collect();
        for (key, tokens) in kept {
            let event = self.describe(&key, "-", tokens, model);
            self.events.push(event);
        }
    }

    fn describe(&self, (salt, name): &Key, sign: &str, tokens: u64, model: &str) -> String {
        let number = self.events.len() + 1;
        format!("[{number},\"{sign}\",{},{},{tokens},{}]", quote(salt), quote(name), quote(model))
    }
}

fn parse_parts(text: &str) -> Vec<(String, u64)> {
    let parts = text.split(',').filter_map(|part| part.trim().split_once(':'));
    parts.filter_map(|(name, tokens)| Some((name.to_owned(), tokens.parse().ok()?))).collect()
}
