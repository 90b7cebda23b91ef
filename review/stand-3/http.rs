//! Blocking HTTP/1.1: messages, a server with a thread for each connection, and a client.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Request or response: first line, headers with names in lower case, and body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived whole.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(key, _)| key == name);
        header.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decode_percent(value))
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reader of one connection with what it has read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> bool {
        let mut chunk = [0; 16_384];
        match self.stream.read(&mut chunk) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&chunk[..count]);
                true
            }
            _ => false,
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn exact(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads the head of a message; `None` at the end of the connection.
    pub fn read_head(&mut self) -> Option<Message> {
        let line = self.line()?;
        let mut headers = Vec::new();
        loop {
            let header = self.line()?;
            if header.is_empty() {
                break;
            }
            let (name, value) = header.split_once(':')?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        Some(Message { line, headers, body: Vec::new(), is_whole: false })
    }

    /// Reads the body that follows a head; `observe` gets each part as it arrives.
    pub fn read_body(&mut self, message: &mut Message, mut observe: impl FnMut(&[u8])) {
        let is_chunked = message.header("transfer-encoding").is_some();
        if is_chunked {
            loop {
                let Some(size) = self.line() else { return };
                let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                else {
                    return;
                };
                let Some(chunk) = self.exact(size + 2) else { return };
                if size == 0 {
                    message.is_whole = true;
                    return;
                }
                observe(&chunk[..size]);
                message.body.extend_from_slice(&chunk[..size]);
            }
        }
        let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) else {
            message.is_whole = true;
            return;
        };
        while message.body.len() < length {
            if self.buffer.is_empty() && !self.fill() {
                return;
            }
            let count = self.buffer.len().min(length - message.body.len());
            let part: Vec<u8> = self.buffer.drain(..count).collect();
            observe(&part);
            message.body.extend_from_slice(&part);
        }
        message.is_whole = true;
    }

    pub fn read_message(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message, |_| {});
        message.is_whole.then_some(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// Serves connections with `handle`, which returns whether the connection stays open.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(&Message, &mut Connection) -> bool + Clone + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Some(req) = connection.read_message() {
                    if !handle(&req, &mut connection) {
                        return;
                    }
                }
            });
        }
    });
}

/// Encodes a response with a body of known length.
pub fn encode_response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and returns the whole response, or `None` if none
/// arrives within `wait`.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let mut connection = Connection::new(stream);
    let mut head = format!("{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    if !connection.write(&bytes) {
        return None;
    }
    let mut response = connection.read_head()?;
    connection.read_body(&mut response, |_| {});
    Some(response)
}
