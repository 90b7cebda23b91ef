//! Stand-in of a model worker: batches, a memory of tokens with preemption, cached parts by
//! salt, orders, reports and cache events, as PROTOCOL.md describes them.

#![allow(dead_code)]

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::common::Json;
use crate::common::Record;
use crate::common::Request;
use crate::common::read_request;
use crate::common::respond;
use crate::common::serve;

/// One token of each run takes this long.
const STEP: Duration = Duration::from_millis(5);

/// Prompt tokens that are read in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 100;

/// Tokens that are fetched in a millisecond: 327.68 KB each over 1,100 Gbit/s.
const FETCH_TOKENS_PER_MS: u64 = 420;

/// Time of a load of weights.
const LOAD_TIME: Duration = Duration::from_millis(290);

/// Time after which an event can be read.
const EVENT_LAG: Duration = Duration::from_millis(80);

/// What all engines share: each other, the named version, and what was seen.
pub struct Fleet {
    pub record: Arc<Record>,
    pub engines: Mutex<HashMap<SocketAddr, Arc<Engine>>>,
    pub named_version: AtomicU64,
    pub preempted: AtomicU64,
    /// Requests that began on parts made under another version than that of their engine.
    pub stale: AtomicU64,
    pub begun: AtomicU64,
    pub fetches: AtomicU64,
    pub loads: AtomicU64,
    /// Version under which each request began, and when.
    begun_at: Mutex<HashMap<String, (u64, Instant)>>,
}

impl Fleet {
    /// Returns the version under which a request began, and when.
    pub fn begun_under(&self, id: &str) -> Option<(u64, Instant)> {
        self.begun_at.lock().unwrap().get(id).copied()
    }

    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            record,
            engines: Mutex::default(),
            named_version: AtomicU64::new(1),
            preempted: AtomicU64::new(0),
            stale: AtomicU64::new(0),
            begun: AtomicU64::new(0),
            fetches: AtomicU64::new(0),
            loads: AtomicU64::new(0),
            begun_at: Mutex::default(),
        })
    }
}

#[derive(Debug, Clone)]
struct Part {
    salt: String,
    id: String,
    tokens: u64,
    /// Version of the weights under which the part was made; the engine tells nobody.
    made_under: u64,
    used_at: Instant,
}

enum Output {
    NotRun,
    Events(u64),
    End,
}

#[derive(PartialEq, Clone, Copy)]
enum Phase {
    Waiting,
    Reading(Instant),
    Running,
}

struct Run {
    id: String,
    salt: String,
    priority: u64,
    arrived: u64,
    has_begun: bool,
    phase: Phase,
    parts: Vec<(String, u64)>,
    /// Engine from which parts are fetched that this one lacks.
    fetch_from: Option<SocketAddr>,
    prompt_tokens: u64,
    generated: u64,
    max_output: u64,
    output: Sender<Output>,
}

impl Run {
    fn tokens(&self) -> u64 {
        self.prompt_tokens + self.generated
    }

    /// All parts but the last, which belongs to the request itself.
    fn shared_parts(&self) -> &[(String, u64)] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}

struct State {
    version: u64,
    loading: Option<(u64, Instant)>,
    accepted_orders: u64,
    fence: u64,
    parts: Vec<Part>,
    runs: Vec<Run>,
    arrivals: u64,
    events: Vec<(u64, Instant, String)>,
    next_event: u64,
}

pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    slots: usize,
    capacity: u64,
    model: String,
    fleet: Arc<Fleet>,
    state: Mutex<State>,
}

impl Engine {
    pub fn start(
        name: &str,
        address: SocketAddr,
        model: &str,
        slots: usize,
        capacity: u64,
        fleet: &Arc<Fleet>,
    ) -> Arc<Self> {
        let engine = Arc::new(Self {
            name: name.into(),
            address,
            slots,
            capacity,
            model: model.into(),
            fleet: Arc::clone(fleet),
            state: Mutex::new(State {
                version: 1,
                loading: None,
                accepted_orders: 0,
                fence: 0,
                parts: Vec::new(),
                runs: Vec::new(),
                arrivals: 0,
                events: Vec::new(),
                next_event: 1,
            }),
        });
        let listener = TcpListener::bind(address).expect("the engine's address is free");
        let serving = Arc::clone(&engine);
        serve(listener, move |stream| serving.serve_connection(stream));
        let working = Arc::clone(&engine);
        thread::spawn(move || {
            let mut next = Instant::now();
            loop {
                next += STEP;
                thread::sleep(next.saturating_duration_since(Instant::now()));
                working.step();
            }
        });
        fleet.engines.lock().unwrap().insert(address, Arc::clone(&engine));
        engine
    }

    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().version
    }

    fn serve_connection(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("a descriptor is free");
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let answered = match request.path() {
                "/report" => self.answer_report(&mut writer),
                "/order" => self.answer_order(&mut writer, &request),
                "/kv-events" => self.answer_events(&mut writer, &request),
                "/healthz" => respond(&mut writer, "200 OK", &self.instance_header(), ""),
                _ => self.answer_call(&mut writer, &request),
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn instance_header(&self) -> String {
        format!("X-Teaseldrum-Instance-Id: {}\r\n", self.name)
    }

    fn answer_report(&self, writer: &mut TcpStream) -> std::io::Result<()> {
        let body = {
            let state = self.state.lock().unwrap();
            let running = state.runs.iter().filter(|run| run.phase == Phase::Running).count();
            let waiting = state.runs.len() - running;
            format!(
                "{{\"Stage\":\"both\",\"Models\":[{{\"Name\":\"{}\",\"Version\":{},\"Adapters\":[]}}],\
                 \"Busy\":{},\"Seq\":{},\"NumWaiting\":{waiting},\"NumRunning\":{running},\
                 \"KvUsed\":{},\"KvTotal\":{},\"Handles\":0}}",
                self.model,
                state.version,
                state.loading.is_some(),
                state.accepted_orders,
                used_by_runs(&state),
                self.capacity
            )
        };
        respond(writer, "200 OK", "Content-Type: application/json\r\n", &body)
    }

    fn answer_order(&self, writer: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let status = self.accept_order(request, &body);
        self.fleet.record.line(&format!(
            "{} order version={} mode={} holder={} fence={} status={status}",
            self.name,
            body.number("Version"),
            body.text("SwitchMode"),
            body.text("Holder"),
            body.number("Fence")
        ));
        respond(writer, status, &self.instance_header(), "")
    }

    fn accept_order(&self, request: &Request, body: &Json) -> &'static str {
        let expected = request.header("x-teaseldrum-expect-instance");
        if expected.is_some_and(|expected| expected != self.name) {
            return "421 Misdirected Request";
        }
        let version = body.number("Version");
        if version > self.fleet.named_version.load(Ordering::SeqCst) {
            return "400 Bad Request";
        }
        let mut state = self.state.lock().unwrap();
        if body.number("Fence") < state.fence {
            return "412 Precondition Failed";
        }
        state.fence = body.number("Fence");
        if state.version == version {
            return "200 OK";
        }
        let is_expected = body.get("Expected").is_none()
            || body.number("Expected") == state.accepted_orders;
        if state.loading.is_some() || !is_expected || body.text("SwitchMode") != "keep" {
            return "409 Conflict";
        }
        state.accepted_orders += 1;
        state.loading = Some((version, Instant::now() + LOAD_TIME));
        // Runs go on; what has not begun is told so.
        state.runs.retain(|run| {
            if !run.has_begun {
                let _ = run.output.send(Output::NotRun);
            }
            run.has_begun
        });
        discard_parts(&mut state, &self.model);
        "202 Accepted"
    }

    fn answer_events(&self, writer: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let since: u64 = request.query("Since").and_then(|t| t.parse().ok()).unwrap_or(0);
        let wait: u64 = request.header("wait-ms").and_then(|t| t.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(1_000));
        loop {
            let now = Instant::now();
            let (events, next) = {
                let state = self.state.lock().unwrap();
                let visible: Vec<&(u64, Instant, String)> = state
                    .events
                    .iter()
                    .filter(|(number, at, _)| *number >= since && *at + EVENT_LAG <= now)
                    .collect();
                let next = visible.last().map_or(since.max(1), |(number, _, _)| number + 1);
                let texts: Vec<String> = visible.iter().map(|(_, _, t)| t.clone()).collect();
                (texts, next)
            };
            if !events.is_empty() || now >= until {
                let body = format!(
                    "{{\"BootEpoch\":7,\"NextToken\":{next},\"Lost\":false,\"Events\":[{}]}}",
                    events.join(",")
                );
                return respond(writer, "200 OK", "Content-Type: application/json\r\n", &body);
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn answer_call(&self, writer: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let id = request.header("x-teaseldrum-request-id").unwrap_or("").to_owned();
        let echo = format!("X-Teaseldrum-Request-Id: {id}\r\n{}", self.instance_header());
        let misdirected = request
            .header("x-teaseldrum-expect-instance")
            .is_some_and(|expected| expected != self.name);
        let expected_version: Option<u64> = request
            .header("x-teaseldrum-expect-version")
            .and_then(|text| text.parse().ok());
        let Some(salt) = request.header("x-teaseldrum-cache-salt").map(str::to_owned) else {
            return respond(writer, "400 Bad Request", &format!("{echo}X-Teaseldrum-Not-Run: 1\r\n"), "");
        };
        let parts = read_parts(request.header("x-teaseldrum-prompt-prefix").unwrap_or(""));
        let fetch_from = request
            .header("x-teaseldrum-kv-fetch")
            .and_then(|address| address.parse().ok());
        let (output, outputs) = mpsc::channel();
        {
            let mut state = self.state.lock().unwrap();
            if misdirected || expected_version.is_some_and(|version| version != state.version) {
                return respond(writer, "421 Misdirected Request", &echo, "");
            }
            if state.loading.is_some() || state.runs.len() >= self.slots * 3 {
                return respond(
                    writer,
                    "503 Service Unavailable",
                    &format!("{echo}X-Teaseldrum-Not-Run: 1\r\n"),
                    "",
                );
            }
            let usage = request.header("x-teaseldrum-token-usage").unwrap_or("0,0");
            let (prompt, out) = usage.split_once(',').unwrap_or(("0", "0"));
            let arrived = state.arrivals;
            state.arrivals += 1;
            state.runs.push(Run {
                id: id.clone(),
                salt,
                priority: request
                    .header("x-teaseldrum-request-priority")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(5),
                arrived,
                has_begun: false,
                phase: Phase::Waiting,
                parts,
                fetch_from,
                prompt_tokens: prompt.trim().parse().unwrap_or(0),
                generated: 0,
                max_output: out.trim().parse().unwrap_or(1),
                output,
            });
        }
        let mut has_head = false;
        while let Ok(produced) = outputs.recv() {
            match produced {
                Output::NotRun => {
                    return respond(
                        writer,
                        "503 Service Unavailable",
                        &format!("{echo}X-Teaseldrum-Not-Run: 1\r\n"),
                        "",
                    );
                }
                Output::Events(number) => {
                    if !has_head {
                        has_head = true;
                        let head = format!(
                            "HTTP/1.1 200 OK\r\n{echo}X-Teaseldrum-Server-Seal: {}.{id}\r\n\
                             X-Teaseldrum-Weight-Versions: {}\r\n\
                             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                            self.name,
                            self.version()
                        );
                        writer.write_all(head.as_bytes())?;
                    }
                    let event = format!("id: {number}\ndata: token\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    if writer.write_all(chunk.as_bytes()).is_err() {
                        // The request is dropped when its connection closes.
                        self.state.lock().unwrap().runs.retain(|run| run.id != id);
                        return Err(std::io::ErrorKind::BrokenPipe.into());
                    }
                }
                Output::End => return writer.write_all(b"0\r\n\r\n"),
            }
        }
        Err(std::io::ErrorKind::BrokenPipe.into())
    }

    /// Returns what another engine keeps of a prompt; `None` while it is busy with itself.
    fn read_source(&self, run: &Run) -> Option<Vec<Part>> {
        let Some(source) = run.fetch_from else {
            return Some(Vec::new());
        };
        let Some(source) = self.fleet.engines.lock().unwrap().get(&source).cloned() else {
            return Some(Vec::new());
        };
        // Two engines that fetch from each other must not wait for each other.
        let state = source.state.try_lock().ok()?;
        let parts = run.parts.iter();
        let found = parts.map_while(|(id, _)| find_part(&state.parts, &run.salt, id).cloned());
        Some(found.collect())
    }

    fn step(&self) {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let now = Instant::now();
        if let Some((version, until)) = state.loading
            && until <= now
        {
            state.loading = None;
            state.version = version;
            discard_parts(state, &self.model);
            self.fleet.loads.fetch_add(1, Ordering::SeqCst);
            self.fleet.record.line(&format!("{} loaded version={version}", self.name));
        }
        self.finish_readings(state, now);
        if state.loading.is_none() {
            self.begin_reading(state, now);
        }
        self.generate(state);
        self.make_room(state);
    }

    /// Begins to read one prompt: of the most urgent run, first of those that were preempted.
    fn begin_reading(&self, state: &mut State, now: Instant) {
        let is_reading = state.runs.iter().any(|run| matches!(run.phase, Phase::Reading(_)));
        let used = used_by_runs(state);
        let held = list_held(state);
        let active = state.runs.iter().filter(|run| run.phase != Phase::Waiting).count();
        if is_reading || active >= self.slots {
            return;
        }
        let waiting = (0..state.runs.len()).filter(|&i| state.runs[i].phase == Phase::Waiting);
        let order = |&i: &usize| {
            let run = &state.runs[i];
            (run.priority, !run.has_begun, run.arrived)
        };
        let Some(index) = waiting.min_by_key(order) else {
            return;
        };
        let run = &state.runs[index];
        let new_tokens = run.tokens().saturating_sub(held_tokens(&held, run));
        if used + new_tokens > self.capacity {
            return;
        }
        let Some(found) = self.read_source(run) else {
            return;
        };
        let (id, salt, has_begun) = (run.id.clone(), run.salt.clone(), run.has_begun);
        let (names, tokens) = (run.parts.clone(), run.tokens());
        let mut fetched_tokens = 0;
        for part in found {
            if find_part(&state.parts, &salt, &part.id).is_none() {
                fetched_tokens += part.tokens;
                self.fleet.fetches.fetch_add(1, Ordering::SeqCst);
                self.fleet.record.line(&format!(
                    "{} fetched part={} salt={salt} for={id} made_under={}",
                    self.name, part.id, part.made_under
                ));
                add_part(state, &self.model, part);
            }
        }
        let kept: Vec<&Part> = names
            .iter()
            .map_while(|(name, _)| find_part(&state.parts, &salt, name))
            .collect();
        let kept_tokens: u64 = kept.iter().map(|part| part.tokens).sum();
        if !has_begun
            && let Some(part) = kept.iter().find(|part| part.made_under != state.version)
        {
            self.fleet.stale.fetch_add(1, Ordering::SeqCst);
            self.fleet.record.line(&format!(
                "{} STALE request={id} runs under version={} on part={} made under version={}",
                self.name, state.version, part.id, part.made_under
            ));
        }
        let unread = tokens.saturating_sub(kept_tokens);
        let time = unread / PREFILL_TOKENS_PER_MS + fetched_tokens / FETCH_TOKENS_PER_MS + 5;
        state.runs[index].phase = Phase::Reading(now + Duration::from_millis(time));
    }

    /// Ends readings that are due: the prompt's parts are kept, the run begins or goes on.
    fn finish_readings(&self, state: &mut State, now: Instant) {
        let version = state.version;
        let is_loading = state.loading.is_some();
        let mut made = Vec::new();
        for run in &mut state.runs {
            if !matches!(run.phase, Phase::Reading(until) if until <= now) {
                continue;
            }
            run.phase = Phase::Running;
            if !run.has_begun {
                run.has_begun = true;
                self.fleet.begun.fetch_add(1, Ordering::SeqCst);
                let mut begun_at = self.fleet.begun_at.lock().unwrap();
                begun_at.insert(run.id.clone(), (version, now));
                drop(begun_at);
                self.fleet.record.line(&format!(
                    "{} begins request={} version={version} salt={}",
                    self.name, run.id, run.salt
                ));
            }
            for (id, tokens) in run.shared_parts() {
                made.push(Part {
                    salt: run.salt.clone(),
                    id: id.clone(),
                    tokens: *tokens,
                    made_under: version,
                    used_at: now,
                });
            }
        }
        for part in made {
            if !is_loading && find_part(&state.parts, &part.salt, &part.id).is_none() {
                if part.salt != format!("v{version}") {
                    self.fleet.record.line(&format!(
                        "{} keeps part={} salt={} made under version={version}",
                        self.name, part.id, part.salt
                    ));
                }
                add_part(state, &self.model, part);
            }
        }
    }

    fn generate(&self, state: &mut State) {
        let mut ended = Vec::new();
        for run in &mut state.runs {
            if run.phase != Phase::Running {
                continue;
            }
            run.generated += 1;
            let is_dropped = run.output.send(Output::Events(run.generated)).is_err();
            if is_dropped || run.generated >= run.max_output {
                let _ = run.output.send(Output::End);
                ended.push(run.id.clone());
            }
        }
        state.runs.retain(|run| !ended.contains(&run.id));
    }

    /// When memory runs out, parts yield, then the newest of the least urgent runs.
    fn make_room(&self, state: &mut State) {
        loop {
            let used = used_by_runs(state);
            let held = list_held(state);
            let is_held = |part: &Part| held.contains_key(&(part.salt.clone(), part.id.clone()));
            let unheld = state.parts.iter().filter(|part| !is_held(part));
            let kept: u64 = unheld.map(|part| part.tokens).sum();
            if used + kept <= self.capacity {
                return;
            }
            let oldest = (0..state.parts.len())
                .filter(|&index| !is_held(&state.parts[index]))
                .min_by_key(|&index| state.parts[index].used_at);
            if let Some(index) = oldest {
                let part = state.parts.remove(index);
                push_event(state, &self.model, "-", &part);
                continue;
            }
            let running = state.runs.iter_mut().filter(|run| run.phase == Phase::Running);
            let Some(run) = running.max_by_key(|run| (run.priority, run.arrived)) else {
                return;
            };
            run.phase = Phase::Waiting;
            self.fleet.preempted.fetch_add(1, Ordering::SeqCst);
            let version = state.version;
            self.fleet.record.line(&format!(
                "{} preempts request={} salt={} version={version}",
                self.name, run.id, run.salt
            ));
        }
    }
}

/// Returns the shared parts that active runs hold, each once, with their tokens.
fn list_held(state: &State) -> HashMap<(String, String), u64> {
    let active = state.runs.iter().filter(|run| run.phase != Phase::Waiting);
    let parts = active.flat_map(|run| {
        let shared = run.shared_parts().iter();
        shared.map(|(id, tokens)| ((run.salt.clone(), id.clone()), *tokens))
    });
    parts.collect()
}

/// Returns the tokens of a run's shared parts that other runs hold already.
fn held_tokens(held: &HashMap<(String, String), u64>, run: &Run) -> u64 {
    let shared = run.shared_parts().iter();
    let keys = shared.map(|(id, _)| (run.salt.clone(), id.clone()));
    keys.filter_map(|key| held.get(&key)).sum()
}

/// Returns the memory that cannot yield: shared parts in use, and what belongs to runs.
fn used_by_runs(state: &State) -> u64 {
    let active = state.runs.iter().filter(|run| run.phase != Phase::Waiting);
    let own = active.map(|run| {
        let shared: u64 = run.shared_parts().iter().map(|(_, tokens)| tokens).sum();
        run.tokens().saturating_sub(shared)
    });
    own.sum::<u64>() + list_held(state).values().sum::<u64>()
}

fn find_part<'a>(parts: &'a [Part], salt: &str, id: &str) -> Option<&'a Part> {
    parts.iter().find(|part| part.salt == salt && part.id == id)
}

fn add_part(state: &mut State, model: &str, part: Part) {
    push_event(state, model, "+", &part);
    state.parts.push(part);
}

fn discard_parts(state: &mut State, model: &str) {
    for part in std::mem::take(&mut state.parts) {
        push_event(state, model, "-", &part);
    }
}

fn push_event(state: &mut State, model: &str, sign: &str, part: &Part) {
    let number = state.next_event;
    state.next_event += 1;
    let tokens = if sign == "+" { part.tokens } else { 0 };
    let text = format!(
        "[{number},\"{sign}\",\"{}\",\"{}\",{tokens},\"{model}\"]",
        part.salt, part.id
    );
    state.events.push((number, Instant::now(), text));
}

fn read_parts(text: &str) -> Vec<(String, u64)> {
    text.split(',')
        .filter_map(|part| {
            let (id, tokens) = part.trim().split_once(':')?;
            Some((id.to_owned(), tokens.parse().ok()?))
        })
        .collect()
}
