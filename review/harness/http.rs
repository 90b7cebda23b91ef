//! HTTP/1.1 for the stand-ins: one thread a connection, and a simple client.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Req {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (k, v) = pair.split_once('=')?;
            (k == name).then(|| decode_percent(v))
        })
    }
}

fn decode_percent(text: &str) -> String {
    let b = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < b.len() {
        if b[i] == b'%' && i + 2 < b.len() {
            if let Ok(v) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(v);
                i += 3;
                continue;
            }
        }
        out.push(b[i]);
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_string())
}

fn read_line(r: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    r.read_until(b'\n', &mut line)?;
    if !line.ends_with(b"\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    while line.ends_with(b"\n") || line.ends_with(b"\r") {
        line.pop();
    }
    String::from_utf8(line).map_err(|_| bad("not text"))
}

fn read_headers(r: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(r)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (n, v) = line.split_once(':').ok_or_else(|| bad("header"))?;
        headers.push((n.trim().to_ascii_lowercase(), v.trim().to_string()));
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
}

fn read_chunks(r: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let size = read_line(r)?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| bad("chunk"))?;
        if size == 0 {
            while !read_line(r)?.is_empty() {}
            return Ok(());
        }
        let from = body.len();
        body.resize(from + size, 0);
        r.read_exact(&mut body[from..])?;
        read_line(r)?;
    }
}

pub fn read_req(r: &mut impl BufRead) -> io::Result<Option<Req>> {
    if r.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let line = read_line(r)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let (method, target) = (method.to_string(), target.to_string());
    let headers = read_headers(r)?;
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        read_chunks(r, &mut body)?;
    } else if let Some(len) = find(&headers, "content-length") {
        body.resize(len.parse().map_err(|_| bad("length"))?, 0);
        r.read_exact(&mut body)?;
    }
    Ok(Some(Req { method, target, headers, body }))
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

pub fn write_resp(
    s: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (n, v) in headers {
        text.push_str(&format!("{n}: {v}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    s.write_all(&bytes)
}

pub fn write_json(s: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    write_resp(s, status, &[("Content-Type", "application/json".into())], body.as_bytes())
}

/// Answers one request; an error or `false` closes the connection.
pub type Handler = Arc<dyn Fn(Req, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return };
    let mut r = BufReader::new(stream);
    while let Ok(Some(req)) = read_req(&mut r) {
        match handler(req, &mut out) {
            Ok(true) => {}
            _ => break,
        }
    }
    let _ = out.shutdown(std::net::Shutdown::Both);
}

#[derive(Debug, Clone)]
pub struct Resp {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Resp {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A client's connection that is kept for several requests.
pub struct Kept {
    stream: BufReader<TcpStream>,
}

impl Kept {
    pub fn connect(to: SocketAddr) -> io::Result<Kept> {
        let s = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        s.set_nodelay(true)?;
        Ok(Kept { stream: BufReader::new(s) })
    }
    /// Returns whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let s = self.stream.get_ref();
        let _ = s.set_nonblocking(true);
        let read = s.peek(&mut [0]);
        let _ = s.set_nonblocking(false);
        !matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
    pub fn send_head(
        &mut self,
        target: &str,
        headers: &[(&str, String)],
        body_len: usize,
    ) -> io::Result<()> {
        let mut text = format!("POST {target} HTTP/1.1\r\n");
        for (n, v) in headers {
            text.push_str(&format!("{n}: {v}\r\n"));
        }
        text.push_str(&format!("Content-Length: {body_len}\r\n\r\n"));
        self.stream.get_mut().write_all(text.as_bytes())
    }
    pub fn send_body(&mut self, body: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(body)
    }
    pub fn read(&mut self, limit: Duration) -> io::Result<Resp> {
        self.stream.get_ref().set_read_timeout(Some(limit))?;
        read_resp(&mut self.stream)
    }
    /// Sends a request and reads its answer.
    pub fn call(
        &mut self,
        target: &str,
        headers: &[(&str, String)],
        body: &[u8],
        limit: Duration,
    ) -> io::Result<Resp> {
        self.send_head(target, headers, body.len())?;
        self.send_body(body)?;
        self.read(limit)
    }
}

fn read_resp(r: &mut BufReader<TcpStream>) -> io::Result<Resp> {
    let line = read_line(r)?;
    let status = line.split(' ').nth(1).and_then(|w| w.parse().ok()).ok_or_else(|| bad("status"))?;
    let headers = read_headers(r)?;
    let mut body = Vec::new();
    let ended = if find(&headers, "transfer-encoding").is_some() {
        read_chunks(r, &mut body)
    } else if let Some(len) = find(&headers, "content-length") {
        body.resize(len.parse().map_err(|_| bad("length"))?, 0);
        r.read_exact(&mut body)
    } else {
        r.read_to_end(&mut body).map(|_| ())
    };
    Ok(Resp { status, headers, body, is_whole: ended.is_ok() })
}

/// Sends one request on a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Resp> {
    let mut s = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    s.set_nodelay(true)?;
    s.set_read_timeout(Some(limit))?;
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (n, v) in headers {
        text.push_str(&format!("{n}: {v}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    s.write_all(&bytes)?;
    read_resp(&mut BufReader::new(s))
}
