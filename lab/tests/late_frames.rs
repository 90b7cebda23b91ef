//! Responses of an agent that belong to an earlier attempt on the same connection.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use teaseldrum::core::AttemptRefusal;
use teaseldrum::core::Envelope;
use teaseldrum::core::LoadReport;
use teaseldrum::core::ProcessIncarnation;
use teaseldrum::core::ResponseReport;
use teaseldrum::relay::ENVELOPE_HEADER;
use teaseldrum::relay::Frame;
use teaseldrum::relay::FrameCodec;
use teaseldrum::relay::ResponseHead;
use teaseldrum_lab::deployment::server_settings;
use teaseldrum_lab::deployment::start_entry;

const RULES: &str = "pool drafting model cedar # asked by the desk\n\
    route /v1/ pool drafting open # asked by the desk\n";

/// Starts an agent that refuses the first attempt and runs the others. On the connection
/// of the refusal it sends the refusal once more, before the next response.
fn start_agent(runs: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound address");
    let runs = Arc::clone(runs);
    thread::spawn(move || {
        let attempts = Arc::new(AtomicUsize::new(0));
        for stream in listener.incoming() {
            let stream = stream.expect("a connection");
            let (runs, attempts) = (Arc::clone(&runs), Arc::clone(&attempts));
            thread::spawn(move || serve_attempts(stream, &runs, &attempts));
        }
    });
    address
}

fn serve_attempts(mut stream: TcpStream, runs: &AtomicUsize, attempts: &AtomicUsize) {
    let mut copy = Vec::new();
    while let Some(envelope) = read_attempt(&mut stream) {
        let is_refused = attempts.fetch_add(1, Ordering::SeqCst) == 0;
        let mut bytes = std::mem::take(&mut copy);
        if is_refused {
            let refused = Frame::Refused(AttemptRefusal::KeyWithdrawn, report(&envelope));
            copy = encode_response(&[refused]);
            bytes.extend(&copy);
        } else {
            runs.fetch_add(1, Ordering::SeqCst);
            bytes.extend(encode_response(&[
                Frame::Accepted(report(&envelope)),
                Frame::Head(ResponseHead {
                    status: 200,
                    content_type: None,
                    streamed: false,
                }),
                Frame::Body("own".into()),
                Frame::End(report(&envelope)),
            ]));
        }
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// Reads one attempt; `None` if the connection ends before.
fn read_attempt(stream: &mut TcpStream) -> Option<Envelope> {
    let mut buf = Vec::new();
    let mut byte = [0];
    while !buf.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        buf.push(byte[0]);
    }
    let head = String::from_utf8(buf).expect("text");
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    };
    let length = header("content-length").map_or(0, |text| text.parse().expect("a number"));
    stream.read_exact(&mut vec![0; length]).ok()?;
    let envelope = header(ENVELOPE_HEADER).expect("an envelope");
    Some(serde_json::from_str(envelope).expect("a valid envelope"))
}

fn report(envelope: &Envelope) -> ResponseReport {
    ResponseReport {
        request: envelope.request,
        attempt: envelope.attempt,
        revision: envelope.revision,
        agent: envelope.agent.unwrap_or(ProcessIncarnation::random()),
        engine: None,
        weights: None,
        leaving: false,
        load: LoadReport::default(),
        stamp: 0,
    }
}

fn encode_response(frames: &[Frame]) -> Vec<u8> {
    let mut codec = FrameCodec::new();
    let body: Vec<u8> = frames
        .iter()
        .flat_map(|frame| codec.encode(frame).expect("a short frame"))
        .collect();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), &body].concat()
}

/// Sends a request to an entry and returns the status of the response.
fn send_request(entry: SocketAddr) -> u16 {
    let response = ureq::post(format!("http://{entry}/v1/completions"))
        .config()
        .http_status_as_error(false)
        .build()
        .send("{}")
        .expect("the entry responds");
    response.status().as_u16()
}

/// Guards against a request that an agent runs and whose caller is told that it was
/// refused: the refusal of an earlier request came once more on its connection.
#[test]
fn refusal_of_earlier_request_is_not_taken() {
    let runs = Arc::default();
    let agent = start_agent(&runs);
    let servers = [server_settings("s1", "drafting", agent)];
    let entry = start_entry("late-frames", RULES, &servers);
    assert_eq!(send_request(entry.address), 401);
    assert_eq!(runs.load(Ordering::SeqCst), 0);
    assert_eq!(send_request(entry.address), 200);
}
