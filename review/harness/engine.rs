//! Stand-in of a model worker: weights, orders, cached parts, streams.

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Req, serve, write_json, write_resp};
use crate::json::Json;
use crate::record::Record;

/// Prompt tokens read in a millisecond, and the time of a load.
const TOKENS_PER_MS: u64 = 52;
const LOAD: Duration = Duration::from_millis(420);

/// An order that reached the worker.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Duration,
    pub holder: String,
    pub fence: u64,
    pub version: u64,
    pub status: u16,
}

/// A prompt part in the worker's memory.
#[derive(Debug, Clone)]
pub struct Part {
    pub tokens: u64,
    /// Version of the weights and tenant under which it was made.
    pub version: u64,
    pub tenant: String,
}

/// A request that used a cached part.
#[derive(Debug, Clone)]
pub struct Use {
    pub at: Duration,
    pub request: String,
    pub part: String,
    pub salt: String,
    pub tenant: String,
    pub version: u64,
    pub made_by: String,
    pub made_version: u64,
}

#[derive(Default)]
struct State {
    version: u64,
    newest: u64,
    busy_until: Option<Instant>,
    seq: u64,
    orders: Vec<Order>,
    parts: HashMap<(String, String), Part>,
    events: Vec<(u64, char, String, String, u64)>,
    uses: Vec<Use>,
    running: u32,
    begun: Vec<String>,
}

pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    pub model: String,
    pub is_fenced: bool,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    /// All workers by listed address, for transfers of parts.
    others: Mutex<HashMap<SocketAddr, Arc<Engine>>>,
}

impl Engine {
    pub fn start(
        id: &str,
        addr: SocketAddr,
        model: &str,
        is_fenced: bool,
        record: Arc<Record>,
    ) -> io::Result<Arc<Engine>> {
        let listener = TcpListener::bind(addr)?;
        let state = State { version: 1, newest: 1, ..State::default() };
        let engine = Arc::new(Engine {
            id: id.into(),
            addr,
            model: model.into(),
            is_fenced,
            state: Mutex::new(state),
            changed: Condvar::new(),
            record,
            others: Mutex::default(),
        });
        let served = Arc::clone(&engine);
        serve(listener, Arc::new(move |req, out| served.answer(req, out)));
        Ok(engine)
    }

    pub fn know_others(&self, engines: &[(SocketAddr, Arc<Engine>)]) {
        let mut others = self.others.lock().unwrap();
        for (listed, engine) in engines {
            others.insert(*listed, Arc::clone(engine));
        }
    }

    /// A version that has been named exists.
    pub fn name_version(&self, version: u64) {
        self.state.lock().unwrap().newest = version;
    }

    pub fn version(&self) -> u64 {
        let mut state = self.state.lock().unwrap();
        settle(&mut state);
        state.version
    }

    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().unwrap().orders.clone()
    }

    /// Whether a request has begun to run here.
    pub fn has_run(&self, request: &str) -> bool {
        self.state.lock().unwrap().begun.iter().any(|id| id == request)
    }

    pub fn uses(&self) -> Vec<Use> {
        self.state.lock().unwrap().uses.clone()
    }

    fn answer(&self, req: Req, out: &mut TcpStream) -> io::Result<bool> {
        let expected = req.header("x-teaseldrum-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            let id = self.id.clone();
            write_resp(out, 421, &[("X-Teaseldrum-Instance-Id", id)], b"")?;
            return Ok(true);
        }
        match (req.method.as_str(), req.path()) {
            ("GET", "/report") => write_json(out, 200, &self.report())?,
            ("POST", "/order") => {
                let status = self.order(&Json::parse(&req.body).unwrap_or(Json::Null));
                write_json(out, status, "{}")?;
            }
            ("GET", "/kv-events") => {
                let text = self.kv_events(&req);
                write_json(out, 200, &text)?;
            }
            ("GET", "/healthz") => write_resp(
                out,
                200,
                &[("X-Teaseldrum-Instance-Id", self.id.clone())],
                b"",
            )?,
            _ => return self.run(&req, out),
        }
        Ok(true)
    }

    fn report(&self) -> String {
        let mut state = self.state.lock().unwrap();
        settle(&mut state);
        format!(
            "{{\"Stage\":\"both\",\"Models\":[{{\"Name\":\"{}\",\"Version\":{},\"Adapters\":[]}}],\"Busy\":{},\"Seq\":{},\"NumWaiting\":0,\"NumRunning\":{},\"KvUsed\":{},\"KvTotal\":80890,\"Handles\":0}}",
            self.model,
            state.version,
            state.busy_until.is_some(),
            state.seq,
            state.running,
            state.running * 9_000,
        )
    }

    fn order(&self, body: &Json) -> u16 {
        let mut state = self.state.lock().unwrap();
        settle(&mut state);
        let holder = body.str("Holder").unwrap_or("").to_string();
        let fence = body.num("Fence").unwrap_or(0.0) as u64;
        let version = body.num("Version").unwrap_or(0.0) as u64;
        let expected = body.num("Expected").map(|n| n as u64);
        let highest = state.orders.iter().map(|order| order.fence).max().unwrap_or(0);
        let status = if holder.is_empty() || fence == 0 || version > state.newest {
            400
        } else if self.is_fenced && fence < highest {
            412
        } else if state.version == version && state.busy_until.is_none() {
            200
        } else if state.busy_until.is_some() || expected.is_some_and(|seq| seq != state.seq) {
            409
        } else {
            202
        };
        if status == 202 {
            state.seq += 1;
            state.busy_until = Some(Instant::now() + LOAD);
            state.version = version;
            let dropped: Vec<(String, String)> = state.parts.drain().map(|(key, _)| key).collect();
            for (salt, part) in dropped {
                push_event(&mut state, '-', &salt, &part, 0);
            }
            self.changed.notify_all();
        }
        let order = Order { at: self.record.now(), holder, fence, version, status };
        self.record.line(&format!("order at {}: {order:?}", self.id));
        state.orders.push(order);
        status
    }

    fn kv_events(&self, req: &Req) -> String {
        let since: u64 = req.query("Since").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait: u64 = req.header("wait-ms").and_then(|v| v.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(1_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let found: Vec<String> = state
                .events
                .iter()
                .filter(|(number, ..)| *number > since)
                .map(|(number, sign, salt, part, tokens)| {
                    format!(
                        "[{number},\"{sign}\",\"{salt}\",\"{part}\",{tokens},\"{}\"]",
                        self.model
                    )
                })
                .collect();
            let now = Instant::now();
            if !found.is_empty() || now >= until {
                return format!(
                    "{{\"BootEpoch\":77120,\"NextToken\":{},\"Lost\":false,\"Events\":[{}]}}",
                    state.events.len(),
                    found.join(",")
                );
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn part(&self, key: &(String, String)) -> Option<Part> {
        self.state.lock().unwrap().parts.get(key).cloned()
    }

    /// Runs a streaming request.
    fn run(&self, req: &Req, out: &mut TcpStream) -> io::Result<bool> {
        let id = req.header("x-teaseldrum-request-id").unwrap_or("").to_string();
        let tenant = req.header("x-teaseldrum-tenant").unwrap_or("").to_string();
        let salt = req.header("x-teaseldrum-cache-salt").unwrap_or("").to_string();
        let id_header = ("X-Teaseldrum-Request-Id", id.clone());
        let version = {
            let mut state = self.state.lock().unwrap();
            settle(&mut state);
            let wanted = req.header("x-teaseldrum-expect-version").and_then(|v| v.parse().ok());
            if wanted.is_some_and(|wanted: u64| wanted != state.version) {
                drop(state);
                let own = ("X-Teaseldrum-Instance-Id", self.id.clone());
                write_resp(out, 421, &[id_header, own], b"")?;
                return Ok(true);
            }
            if state.busy_until.is_some() {
                drop(state);
                let not_run = ("X-Teaseldrum-Not-Run", "1".to_string());
                write_resp(out, 503, &[id_header, not_run], b"")?;
                return Ok(true);
            }
            state.running += 1;
            state.begun.push(id.clone());
            state.version
        };
        let prompt = req.header("x-teaseldrum-prompt-prefix").unwrap_or("");
        let parts: Vec<(String, u64)> = prompt
            .split(',')
            .filter_map(|entry| entry.split_once(':'))
            .map(|(part, tokens)| (part.trim().to_string(), tokens.trim().parse().unwrap_or(0)))
            .collect();
        let source = req
            .header("x-teaseldrum-kv-fetch")
            .and_then(|address| address.parse::<SocketAddr>().ok())
            .and_then(|address| self.others.lock().unwrap().get(&address).cloned());
        let mut to_read = 0;
        let mut is_leading = true;
        for (part, tokens) in &parts {
            let key = (salt.clone(), part.clone());
            let kept = self.part(&key).or_else(|| source.as_ref()?.part(&key));
            if let (true, Some(kept)) = (is_leading, kept) {
                let used = Use {
                    at: self.record.now(),
                    request: id.clone(),
                    part: part.clone(),
                    salt: salt.clone(),
                    tenant: tenant.clone(),
                    version,
                    made_by: kept.tenant.clone(),
                    made_version: kept.version,
                };
                self.record.line(&format!("used at {}: {used:?}", self.id));
                let mut state = self.state.lock().unwrap();
                state.uses.push(used);
                if state.parts.insert(key, kept).is_none() {
                    push_event(&mut state, '+', &salt, part, *tokens);
                }
                continue;
            }
            is_leading = false;
            to_read += tokens;
            thread::sleep(Duration::from_millis(tokens / TOKENS_PER_MS));
            let made = Part { tokens: *tokens, version, tenant: tenant.clone() };
            let mut state = self.state.lock().unwrap();
            state.parts.insert(key, made);
            push_event(&mut state, '+', &salt, part, *tokens);
        }
        self.changed.notify_all();
        self.record.line(&format!(
            "run at {}: {} {} id={id} tenant={tenant} salt={salt} version={version} read={to_read}",
            self.id, req.method, req.target
        ));
        // One event a token of the output, 20 ms each.
        let usage = req.header("x-teaseldrum-token-usage").unwrap_or("");
        let events: u64 = usage.split(',').nth(1).and_then(|n| n.trim().parse().ok()).unwrap_or(5);
        let seal = format!("seal.{}.{id}", self.id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Teaseldrum-Request-Id: {id}\r\nX-Teaseldrum-Server-Seal: {seal}\r\nX-Teaseldrum-Weight-Versions: {version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let result = out.write_all(head.as_bytes()).and_then(|()| {
            for number in 1..=events {
                thread::sleep(Duration::from_millis(20));
                let event = format!("id: {number}\ndata: {id} {number}\n\n");
                out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
            out.write_all(b"0\r\n\r\n")
        });
        self.state.lock().unwrap().running -= 1;
        let end = if result.is_ok() { "whole" } else { "broken off, the caller has gone" };
        self.record.line(&format!("run at {}: id={id} ends {end}", self.id));
        result.map(|()| true)
    }
}

fn settle(state: &mut State) {
    if state.busy_until.is_some_and(|until| Instant::now() >= until) {
        state.busy_until = None;
    }
}

fn push_event(state: &mut State, sign: char, salt: &str, part: &str, tokens: u64) {
    let number = state.events.len() as u64 + 1;
    state.events.push((number, sign, salt.into(), part.into(), tokens));
}
