//! Tests the HTTP client against a server whose connections stall.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use rstest::rstest;
use teaseldrum::http::Client;
use teaseldrum::http::ClientError;
use teaseldrum::http::ClientTimeouts;
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

async fn send_get(client: &Client, address: SocketAddr) -> Result<(), ClientError> {
    let req = Request::get("/")
        .header("host", "x")
        .body(empty_body())
        .expect("valid request");
    let mut exchange = client.send(address, req).await?;
    exchange.read_rest(16).await.map(|_| ())
}

/// All idle connections to a server may stall at once. The first request to
/// time out must drop the others, or each further request would time out on the
/// next stalled connection.
#[tokio::test]
async fn send_after_idle_connections_stalled() {
    let address = start_listener().await;
    let client = make_client();
    let requests: Vec<_> = (0..4).map(|_| send_get(&client, address)).collect();
    for result in futures::future::join_all(requests).await {
        assert_eq!(result, Ok(()));
    }
    assert_eq!(send_get(&client, address).await, Err(ClientError::TimedOut));
    assert_eq!(send_get(&client, address).await, Ok(()));
}

/// A request is built only for a connection that is there: what it says of the time
/// left holds when it is sent.
#[tokio::test]
async fn send_built_unreachable_builds_nothing() {
    let refused = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = refused.local_addr().expect("local address");
    drop(refused);
    let builds = std::cell::Cell::new(0);
    let build = || {
        builds.set(builds.get() + 1);
        Request::get("/")
            .header("host", "x")
            .body(empty_body())
            .expect("valid request")
    };
    let result = make_client().send_built(address, build).await;
    assert!(matches!(result, Err(ClientError::Connect(_))), "{result:?}");
    assert_eq!(builds.get(), 0);
    let sent = make_client()
        .send_built(start_listener().await, build)
        .await;
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
