//! Stand-in for the platform's store: items with revisions, history for watches, leases
//! and transactions.

use std::collections::BTreeMap;
use std::collections::HashMap;
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

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Reading calls that are served in a second.
const READS_PER_S: u32 = 2_000;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Start of the current second, and the reading calls in it.
    reads: (Instant, u32),
}

/// The store; clones share the items.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
    record: Record,
}

impl Store {
    /// Starts a store without items whose counter stands at `revision`. It answers after
    /// 4 ms, and serves 2,000 reading calls a second.
    pub fn start(record: &Record, revision: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let state = State {
            revision,
            reads: (Instant::now(), 0),
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: HashMap::new(),
            next_lease: 100,
        };
        let store = Self {
            address: listener.local_addr().expect("bound"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let serving = store.clone();
        serve(listener, move |req, connection| serving.handle(req, connection));
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            expiring.expire_leases();
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("not poisoned")
    }

    /// Writes an item as the operator or a server, and returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.write(key, value.as_bytes().to_vec(), 0, revision);
        self.state.1.notify_all();
        drop(state);
        self.record.line(&format!("store put key={key} revision={revision}"));
        revision
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.remove(key, revision);
        self.state.1.notify_all();
        drop(state);
        self.record.line(&format!("store remove key={key} revision={revision}"));
    }

    fn expire_leases(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (_, at))| *at <= now).map(|(id, _)| *id).collect();
        for id in ended {
            state.end_lease(id);
        }
        self.state.1.notify_all();
    }

    fn handle(&self, req: &Message, connection: &mut Connection) -> bool {
        thread::sleep(ANSWER_TIME);
        if req.method() == "GET" && req.query("Serializable").is_none() && !self.takes_read() {
            return connection.write(&encode_response(429, &[], b"{}"));
        }
        let (status, body) = self.respond(req);
        let headers = [("Content-Type", "application/json")];
        connection.write(&encode_response(status, &headers, body.as_bytes()))
    }

    /// Counts a reading call, and returns whether it is within the rate.
    fn takes_read(&self) -> bool {
        let mut state = self.lock();
        if state.reads.0.elapsed() >= Duration::from_secs(1) {
            state.reads = (Instant::now(), 0);
        }
        state.reads.1 += 1;
        state.reads.1 <= READS_PER_S
    }

    fn respond(&self, req: &Message) -> (u16, String) {
        let path = req.path();
        let id = |prefix: &str| path.strip_prefix(prefix).and_then(|text| text.parse::<u64>().ok());
        match (req.method(), path) {
            ("GET", "/kv-key") => {
                let state = self.lock();
                let key = req.query("Key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => (200, describe(&key, item, Some(state.revision))),
                    None => (404, format!("{{\"AsOf\":{}}}", state.revision)),
                }
            }
            ("GET", "/kv-range") => {
                let state = self.lock();
                let prefix = req.query("Prefix").unwrap_or_default();
                let after = req.query("after").unwrap_or_default();
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| describe(key, item, None))
                    .collect();
                let items = items.join(",");
                (200, format!("{{\"items\":[{items}],\"HasMore\":false,\"AsOf\":{}}}", state.revision))
            }
            ("GET", "/kv-watch") => self.watch(req),
            ("POST", "/kv-lease") => {
                let ttl = Json::parse(&req.body).map_or(0, |body| body.get("TtlMs").number());
                let mut state = self.lock();
                let lease = state.next_lease;
                state.next_lease += 1;
                let ttl_time = Duration::from_millis(ttl);
                state.leases.insert(lease, (ttl_time, Instant::now() + ttl_time));
                (200, format!("{{\"Lease\":{lease},\"TtlMs\":{ttl}}}"))
            }
            ("POST", "/kv-txn") => self.transact(&req.body),
            _ => {
                let mut state = self.lock();
                if let Some(lease) = id("/kv-keep/") {
                    let Some((ttl, ends_at)) = state.leases.get_mut(&lease) else {
                        return (404, "{}".into());
                    };
                    *ends_at = Instant::now() + *ttl;
                    return (200, format!("{{\"TtlMs\":{}}}", ttl.as_millis()));
                }
                if let Some(lease) = id("/kv-lease-end/") {
                    state.end_lease(lease);
                    self.state.1.notify_all();
                    return (200, "{}".into());
                }
                (404, "{}".into())
            }
        }
    }

    fn watch(&self, req: &Message) -> (u16, String) {
        let prefix = req.query("Prefix").unwrap_or_default();
        let after: u64 = req.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait: u64 = req.query("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                .map(|event| match &event.item {
                    Some(item) => describe(&event.key, item, None),
                    None => format!(
                        "{{\"Key\":{},\"Revision\":{},\"Removed\":true}}",
                        quote(&event.key),
                        event.revision
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (200, format!("{{\"Events\":[{events}],\"AsOf\":{}}}", state.revision));
            }
            state = self.state.1.wait_timeout(state, left).expect("not poisoned").0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(txn) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let mut state = self.lock();
        let holds = txn.get("Expected").list().iter().all(|row| {
            let item = state.items.get(row.get("Key").text());
            item.map_or(0, |item| item.revision) == row.get("Revision").number()
        });
        if !holds {
            return (412, "{\"items\":[]}".into());
        }
        let puts = txn.get("Puts").list();
        let has_leases = puts.iter().all(|put| {
            let lease = put.get("Lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        });
        if !has_leases {
            return (404, "{}".into());
        }
        state.revision += 1;
        let revision = state.revision;
        for put in puts {
            let value = decode_base64(put.get("Value").text());
            state.write(put.get("Key").text(), value, put.get("Lease").number(), revision);
        }
        for key in txn.get("Remove").list() {
            state.remove(key.text(), revision);
        }
        self.state.1.notify_all();
        let keys: Vec<&str> = puts.iter().map(|put| put.get("Key").text()).collect();
        self.record.line(&format!("store txn keys={keys:?} revision={revision}"));
        (200, format!("{{\"Revision\":{revision}}}"))
    }
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.into(), item.clone());
        self.history.push(Event { key: key.into(), revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.history.push(Event { key: key.into(), revision, item: None });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            let revision = self.revision;
            self.remove(&key, revision);
        }
    }
}

fn describe(key: &str, item: &Item, as_of: Option<u64>) -> String {
    let as_of = as_of.map_or(String::new(), |as_of| format!(",\"AsOf\":{as_of}"));
    format!(
        "{{\"Key\":{},\"Value\":\"{}\",\"Revision\":{},\"CreateRevision\":{},\"Lease\":{}{as_of}}}",
        quote(key),
        encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0_u32, |n, byte| (n << 8) | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(ALPHABET[(number >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn decode_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut number, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|known| *known == byte) else {
            continue;
        };
        number = (number << 6) | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((number >> bits) as u8);
            number &= (1 << bits) - 1;
        }
    }
    out
}
