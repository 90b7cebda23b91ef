//! The HTTP client against a listener whose connections go silent.

use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use teaseldrum::http::Client;
use teaseldrum::http::ClientError;
use teaseldrum::http::ClientTimeouts;
use teaseldrum::http::empty_body;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Answers the first request of each connection and no other.
async fn start_listener() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_one(stream));
        }
    });
    address
}

async fn serve_one(mut stream: TcpStream) {
    let mut buf = [0; 4096];
    let _ = stream.read(&mut buf).await;
    let _ = stream.write_all(ANSWER).await;
    sleep(Duration::from_secs(30)).await;
}

fn make_client() -> Client {
    let limit = Duration::from_millis(200);
    Client::new(ClientTimeouts {
        connect: limit,
        head: limit,
        read: limit,
        idle: Duration::from_secs(30),
    })
}

async fn ask(client: &Client, address: SocketAddr) -> Result<(), ClientError> {
    let req = Request::get("/")
        .header("host", "x")
        .body(empty_body())
        .expect("a request");
    let mut exchange = client.send(address, req).await?;
    exchange.read_rest(16).await.map(|_| ())
}

#[tokio::test]
async fn send_after_all_kept_connections_went_silent() {
    let address = start_listener().await;
    let client = make_client();
    let asked: Vec<_> = (0..4).map(|_| ask(&client, address)).collect();
    for answer in futures::future::join_all(asked).await {
        assert_eq!(answer, Ok(()));
    }
    assert_eq!(ask(&client, address).await, Err(ClientError::TimedOut));
    assert_eq!(ask(&client, address).await, Ok(()));
}
