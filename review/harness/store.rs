//! Stand-in of the platform's metadata store.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Req, serve, write_json};
use crate::json::{Json, decode64, encode64};
use crate::record::Record;

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    /// The item as JSON; `None` for a removal.
    item: Option<String>,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

impl State {
    fn item_json(&self, key: &str, with_as_of: bool) -> String {
        let item = &self.items[key];
        let as_of = if with_as_of { format!(",\"AsOf\":{}", self.revision) } else { String::new() };
        format!(
            "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"CreateRevision\":{},\"Lease\":{}{as_of}}}",
            encode64(&item.value),
            item.revision,
            item.created,
            item.lease
        )
    }
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(key.into(), Item { value, revision, created, lease });
        let item = Some(self.item_json(key, false));
        self.events.push(Event { key: key.into(), revision, item });
    }
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.events.push(Event { key: key.into(), revision, item: None });
        }
    }
    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
        true
    }
}

/// The store: loses nothing, and answers in order.
pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    pub fn start(addr: SocketAddr, record: Arc<Record>) -> io::Result<Arc<Store>> {
        let listener = TcpListener::bind(addr)?;
        let state = State { revision: 10, next_lease: 1, ..State::default() };
        let store = Arc::new(Store {
            addr: listener.local_addr()?,
            state: Mutex::new(state),
            changed: Condvar::new(),
            record,
        });
        let served = Arc::clone(&store);
        serve(listener, Arc::new(move |req, out| served.answer(&req, out)));
        let timed = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                timed.expire();
            }
        });
        Ok(store)
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, l)| l.ends_at <= now).map(|(id, _)| *id).collect();
        for lease in &ended {
            state.end_lease(*lease);
            self.record.line(&format!("store: lease {lease} has run out"));
        }
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    /// Writes an item as the operator or a server does. Returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
        state.revision
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    fn answer(&self, req: &Req, out: &mut TcpStream) -> io::Result<bool> {
        thread::sleep(Duration::from_millis(2));
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        let path = req.path().to_string();
        match (req.method.as_str(), path.as_str()) {
            ("GET", "/kv-key") => {
                let key = req.query("Key").unwrap_or_default();
                let state = self.state.lock().unwrap();
                let found = state.items.contains_key(&key).then(|| state.item_json(&key, true));
                let as_of = state.revision;
                drop(state);
                match found {
                    Some(item) => write_json(out, 200, &item)?,
                    None => write_json(out, 404, &format!("{{\"AsOf\":{as_of}}}"))?,
                }
            }
            ("GET", "/kv-range") => {
                let prefix = req.query("Prefix").unwrap_or_default();
                let after = req.query("after").unwrap_or_default();
                let state = self.state.lock().unwrap();
                let keys: Vec<&String> = state
                    .items
                    .keys()
                    .filter(|key| key.starts_with(&prefix) && **key > after)
                    .collect();
                let page: Vec<String> =
                    keys.iter().take(500).map(|key| state.item_json(key, false)).collect();
                let text = format!(
                    "{{\"items\":[{}],\"HasMore\":{},\"AsOf\":{}}}",
                    page.join(","),
                    keys.len() > 500,
                    state.revision
                );
                drop(state);
                write_json(out, 200, &text)?;
            }
            ("GET", "/kv-watch") => {
                let prefix = req.query("Prefix").unwrap_or_default();
                let after: u64 = req.query("after").and_then(|v| v.parse().ok()).unwrap_or(0);
                let wait: u64 = req.query("WaitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state.lock().unwrap();
                let text = loop {
                    let events: Vec<String> = state
                        .events
                        .iter()
                        .filter(|e| e.revision > after && e.key.starts_with(&prefix))
                        .map(|e| match &e.item {
                            Some(item) => item.clone(),
                            None => format!(
                                "{{\"Key\":\"{}\",\"Revision\":{},\"Removed\":true}}",
                                e.key, e.revision
                            ),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        break format!(
                            "{{\"Events\":[{}],\"AsOf\":{}}}",
                            events.join(","),
                            state.revision
                        );
                    }
                    state = self.changed.wait_timeout(state, until - now).unwrap().0;
                };
                drop(state);
                write_json(out, 200, &text)?;
            }
            ("POST", "/kv-txn") => {
                let (status, text) = self.transact(&body);
                self.record.line(&format!(
                    "store: txn {} -> {status} {text}",
                    String::from_utf8_lossy(&req.body)
                ));
                write_json(out, status, &text)?;
            }
            ("POST", "/kv-lease") => {
                let ttl = body.num("TtlMs").unwrap_or(1_000.0).clamp(1_000.0, 600_000.0) as u64;
                let mut state = self.state.lock().unwrap();
                let lease = state.next_lease;
                state.next_lease += 1;
                let ttl_time = Duration::from_millis(ttl);
                let ends_at = Instant::now() + ttl_time;
                state.leases.insert(lease, Lease { ttl: ttl_time, ends_at });
                drop(state);
                write_json(out, 200, &format!("{{\"Lease\":{lease},\"TtlMs\":{ttl}}}"))?;
            }
            ("POST", p) if p.starts_with("/kv-keep/") => {
                let id: u64 = p["/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                let renewed = state.leases.get_mut(&id).map(|lease| {
                    lease.ends_at = Instant::now() + lease.ttl;
                    lease.ttl.as_millis()
                });
                drop(state);
                match renewed {
                    Some(ttl) => write_json(out, 200, &format!("{{\"TtlMs\":{ttl}}}"))?,
                    None => write_json(out, 404, "{}")?,
                }
            }
            ("DELETE", p) if p.starts_with("/kv-lease-end/") => {
                let id: u64 = p["/kv-lease-end/".len()..].parse().unwrap_or(0);
                let ended = self.state.lock().unwrap().end_lease(id);
                self.changed.notify_all();
                write_json(out, if ended { 200 } else { 404 }, "{}")?;
            }
            _ => write_json(out, 404, "{}")?,
        }
        Ok(true)
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let expected = body.arr("Expected");
        let holds = expected.iter().all(|row| {
            let key = row.str("Key").unwrap_or("");
            let revision = state.items.get(key).map_or(0, |item| item.revision);
            revision == row.num("Revision").unwrap_or(0.0) as u64
        });
        if !holds {
            let items: Vec<String> = expected
                .iter()
                .filter_map(|row| row.str("Key"))
                .filter(|key| state.items.contains_key(*key))
                .map(|key| state.item_json(key, false))
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        for put in body.arr("Puts") {
            let lease = put.num("Lease").unwrap_or(0.0) as u64;
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".into());
            }
            let key = put.str("Key").unwrap_or("");
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".into());
            }
        }
        state.revision += 1;
        for put in body.arr("Puts") {
            let value = decode64(put.str("Value").unwrap_or(""));
            let lease = put.num("Lease").unwrap_or(0.0) as u64;
            state.put(put.str("Key").unwrap_or(""), value, lease);
        }
        for key in body.arr("Remove") {
            if let Json::Str(key) = key {
                state.remove(key);
            }
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"Revision\":{revision}}}"))
    }
}
