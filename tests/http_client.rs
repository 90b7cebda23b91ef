//! Tests the HTTP client against servers whose connections stall or bring late responses.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use rstest::rstest;
use teaseldrum::http::Client;
use teaseldrum::http::ClientError;
use teaseldrum::http::ClientTimeouts;
use teaseldrum::http::Exchange;
use teaseldrum::http::HttpBody;
use teaseldrum::http::empty_body;
use teaseldrum::http::full_body;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Starts a server that responds to the first request of each connection and
/// then keeps the connection open without responding.
async fn start_listener() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind a loopback port");
    let address = listener
        .local_addr()
        .expect("local address of the listener");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond_once(stream));
        }
    });
    address
}

async fn respond_once(mut stream: TcpStream) {
    let mut buf = [0; 4096];
    let _ = stream.read(&mut buf).await;
    let _ = stream.write_all(RESPONSE).await;
    sleep(Duration::from_secs(30)).await;
}

fn make_client() -> Client {
    let time_limit = Duration::from_millis(200);
    Client::new(ClientTimeouts {
        connect: time_limit,
        head: time_limit,
        read: time_limit,
        idle: Duration::from_secs(30),
    })
}

fn build_get() -> Request<HttpBody> {
    let req = Request::get("/").header("host", "x").body(empty_body());
    req.expect("valid request")
}

async fn send_get(client: &Client, address: SocketAddr, name: u8) -> Result<(), ClientError> {
    let mut exchange = client.send_named(address, &[name], build_get).await?;
    exchange.allow_reuse();
    exchange.read_rest(16).await.map(|_| ())
}

/// All idle connections to a server may stall at once. The first request to
/// time out must drop the others, or each further request would time out on the
/// next stalled connection.
#[tokio::test]
async fn send_after_idle_connections_stalled() {
    let address = start_listener().await;
    let client = make_client();
    let requests: Vec<_> = (0..4)
        .map(|name| send_get(&client, address, name))
        .collect();
    for result in futures::future::join_all(requests).await {
        assert_eq!(result, Ok(()));
    }
    let timed_out = send_get(&client, address, 4).await;
    assert_eq!(timed_out, Err(ClientError::TimedOut));
    assert_eq!(send_get(&client, address, 5).await, Ok(()));
}

/// A request is built only for a connection that is there: what it says of the time
/// left holds when it is sent.
#[tokio::test]
async fn send_named_unreachable_builds_nothing() {
    let refused = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = refused.local_addr().expect("local address");
    drop(refused);
    let builds = std::cell::Cell::new(0);
    let build = || {
        builds.set(builds.get() + 1);
        build_get()
    };
    let result = make_client().send_named(address, b"n", build).await;
    assert!(matches!(result, Err(ClientError::Connect(_))), "{result:?}");
    assert_eq!(builds.get(), 0);
    let address = start_listener().await;
    let sent = make_client().send_named(address, b"n", build).await;
    assert!(sent.is_ok(), "{sent:?}");
    assert_eq!(builds.get(), 1);
}

/// Starts a server that sends `response` once it has read a part of a request, and then
/// ends its sending side.
async fn start_half_closing_listener(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("local address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buf = [0; 4096];
        let _ = stream.read(&mut buf).await;
        let _ = stream.write_all(response.as_bytes()).await;
        let _ = stream.shutdown().await;
        sleep(Duration::from_secs(30)).await;
    });
    address
}

/// Larger than all socket buffers.
const UPLOAD_BYTES: usize = 24 * 1024 * 1024;

/// Guards all roles against a part of a response that passes for a whole one, since the
/// connection ends before the whole request was sent, and against a protocol that nobody
/// asked for. A response without length to a request that was sent whole is complete.
#[rstest]
#[case::request_sent("HTTP/1.1 200 OK\r\n\r\nok", 2, true)]
#[case::request_not_sent("HTTP/1.1 200 OK\r\n\r\nok", UPLOAD_BYTES, false)]
#[case::length_stated("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", UPLOAD_BYTES, true)]
#[case::switched("HTTP/1.1 101 Switching Protocols\r\n\r\nok", 2, false)]
#[tokio::test]
async fn read_rest_response_before_end_of_request(
    #[case] response: &'static str,
    #[case] body_bytes: usize,
    #[case] is_whole: bool,
) {
    let address = start_half_closing_listener(response).await;
    let body = full_body(Bytes::from(vec![b'b'; body_bytes]));
    let req = Request::post("/").header("host", "x").body(body);
    let client = make_client();
    let sent = client.send(address, req.expect("valid request")).await;
    let result = match sent {
        Ok(mut exchange) => exchange.read_rest(16).await,
        Err(e) => Err(e),
    };
    match result {
        Ok(body) => assert!(is_whole, "{body:?}"),
        Err(e) => assert!(!is_whole && matches!(e, ClientError::Broken(_)), "{e:?}"),
    }
}

/// Starts a server on a thread that responds with the number of the connection, from 1,
/// and sends `extra` once, 20 ms after its first response.
fn start_numbering_listener(extra: &'static [u8]) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("local address");
    thread::spawn(move || {
        for (index, stream) in listener.incoming().enumerate() {
            let stream = stream.expect("a connection");
            thread::spawn(move || respond_with_number(stream, index + 1, extra));
        }
    });
    address
}

fn respond_with_number(mut stream: std::net::TcpStream, number: usize, extra: &[u8]) {
    let mut buf = [0; 4096];
    let mut is_first = number == 1;
    while stream.read(&mut buf).is_ok_and(|count| count > 0) {
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}");
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
        if is_first {
            thread::sleep(Duration::from_millis(20));
            let _ = stream.write_all(extra);
        }
        is_first = false;
    }
}

/// Reads the number of the connection, and has it used again if `is_own`.
async fn read_number(sent: Result<Exchange, ClientError>, is_own: bool) -> String {
    let mut exchange = sent.expect("a response arrives");
    if is_own {
        exchange.allow_reuse();
    }
    let body = exchange.read_rest(16).await.expect("a whole body");
    String::from_utf8(body.to_vec()).expect("text")
}

/// Guards all roles against a late response that is taken for that to a later request: a
/// connection carries no name twice, and none after a response that nobody has identified.
#[tokio::test]
async fn send_named_uses_connection_once_for_a_name() {
    let address = start_numbering_listener(b"");
    let client = make_client();
    let mut numbers = Vec::new();
    for (name, is_own) in [
        ("a", true),
        ("b", true),
        ("a", true),
        ("b", true),
        ("c", false),
    ] {
        let sent = client.send_named(address, name.as_bytes(), build_get).await;
        numbers.push(read_number(sent, is_own).await);
    }
    let sent = client.send_named(address, b"d", build_get).await;
    numbers.push(read_number(sent, true).await);
    let sent = client.send(address, build_get()).await;
    numbers.push(read_number(sent, true).await);
    let sent = client.send_named(address, b"e", build_get).await;
    numbers.push(read_number(sent, true).await);
    assert_eq!(numbers, ["1", "1", "2", "2", "2", "1", "3", "1"]);
}

/// Guards all roles against a response that was sent before the request and is taken for
/// its response: it has arrived, but the runtime has not heard of it.
#[tokio::test]
async fn send_named_input_before_request_is_not_its_response() {
    let address = start_numbering_listener(RESPONSE);
    let client = make_client();
    let sent = client.send_named(address, b"a", build_get).await;
    assert_eq!(read_number(sent, true).await, "1");
    thread::sleep(Duration::from_millis(60));
    let sent = client.send_named(address, b"b", build_get).await;
    assert_eq!(read_number(sent, true).await, "2");
}

/// Guards against connections that nobody can use and that count against the limit of
/// their server, and against polls of one topic that meet late responses to another.
#[tokio::test]
async fn poll_keeps_connection_for_its_topic_and_a_bounded_number() {
    let address = start_numbering_listener(b"");
    let client = make_client();
    let mut numbers = Vec::new();
    for topic in ["load", "events", "load", "events"] {
        let sent = client.poll(address, topic, build_get).await;
        numbers.push(read_number(sent, true).await);
    }
    assert_eq!(numbers, ["1", "2", "1", "2"]);
    for _ in 2..256 {
        let sent = client.poll(address, "load", build_get).await;
        assert_eq!(read_number(sent, true).await, "1");
    }
    let sent = client.poll(address, "load", build_get).await;
    assert_eq!(read_number(sent, true).await, "3");
}
