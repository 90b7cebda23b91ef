//! Stand-in for a worker of a plain service: runs each request for a while and answers.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::http::Message;
use crate::http::encode_response;
use crate::record::Record;

/// Run of a request at a worker.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub worker: String,
    /// Seconds since the start of the record.
    pub at: f64,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    work: Duration,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    has_exited: bool,
    open: Vec<TcpStream>,
}

impl Worker {
    /// Starts a worker that adds its runs to `runs`.
    pub fn start(id: &str, work: Duration, record: &Record, runs: &Arc<Mutex<Vec<Run>>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let worker = Self {
            id: id.into(),
            address: listener.local_addr().expect("bound"),
            work,
            record: record.clone(),
            runs: Arc::clone(runs),
            state: Arc::default(),
        };
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = serving.state.lock().expect("not poisoned");
                if state.has_exited {
                    return;
                }
                state.open.extend(stream.try_clone());
                let worker = serving.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Some(req) = connection.read_message() {
                        if !worker.answer(&req, &mut connection) {
                            return;
                        }
                    }
                });
            }
        });
        worker
    }

    fn answer(&self, req: &Message, connection: &mut Connection) -> bool {
        let id = req.header("x-teaseldrum-request-id").unwrap_or("").to_owned();
        let expected = req.header("x-teaseldrum-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [
                ("X-Teaseldrum-Request-Id", id.as_str()),
                ("X-Teaseldrum-Not-Run", "1"),
                ("X-Teaseldrum-Instance-Id", self.id.as_str()),
            ];
            return connection.write(&encode_response(421, &headers, b""));
        }
        if self.has_exited() {
            return false;
        }
        let run = Run { id: id.clone(), worker: self.id.clone(), at: self.record.now() };
        self.record.line(&format!("run id={id} worker={}", self.id));
        self.runs.lock().expect("not poisoned").push(run);
        thread::sleep(self.work);
        if self.has_exited() {
            return false;
        }
        let headers = [
            ("X-Teaseldrum-Request-Id", id.as_str()),
            ("X-Teaseldrum-Server-Seal", "3e1b.07.5a2"),
            ("X-Teaseldrum-Instance-Id", self.id.as_str()),
            ("X-Teaseldrum-Server-Load", "1,0,6"),
        ];
        connection.write(&encode_response(200, &headers, format!("done {id}").as_bytes()))
    }

    fn has_exited(&self) -> bool {
        self.state.lock().expect("not poisoned").has_exited
    }

    /// Ends the worker: its connections close, and its port takes no new ones.
    pub fn exit(&self) {
        let mut state = self.state.lock().expect("not poisoned");
        state.has_exited = true;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        drop(state);
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(self.address);
        self.record.line(&format!("exit worker={}", self.id));
    }

    /// The worker's entry in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> String {
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Seq\":1,\"born\":1790000000000}}",
            self.address
        )
    }
}
