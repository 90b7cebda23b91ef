//! Tests the HTTP server against callers that leave while its process stands still.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use http::Response;
use rstest::rstest;
use teaseldrum::http::ServerLimits;
use teaseldrum::http::full_body;
use teaseldrum::http::serve;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time for which the server's only thread stands still.
const STALL: Duration = Duration::from_millis(600);

/// Time after which the callers leave, within [`STALL`].
const CALLER_PATIENCE: Duration = Duration::from_millis(200);

/// Paths of the requests that were handled long enough to be sent on.
type HandledPaths = Arc<Mutex<Vec<String>>>;

fn limits() -> ServerLimits {
    ServerLimits {
        max_connections: 64,
        max_head_bytes: 8_192,
        head_timeout: Duration::from_secs(5),
        dead_peer_timeout: Duration::from_secs(5),
        drain_timeout: Duration::from_secs(5),
        reader: None,
    }
}

/// Starts a server on a thread of its own, which stands still for [`STALL`] in each
/// request for `/stall`.
fn start_server(handled: HandledPaths) -> SocketAddr {
    let (address_tx, address_rx) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("runtime");
        runtime.block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0")
                .await
                .expect("a port is free");
            address_tx
                .send(listener.local_addr().expect("bound address"))
                .expect("the test waits for the address");
            let (_drain_tx, drain) = watch::channel(false);
            let handle = move |req: http::Request<hyper::body::Incoming>, _| {
                let handled = Arc::clone(&handled);
                async move {
                    let path = req.uri().path().to_owned();
                    if path == "/stall" {
                        thread::sleep(STALL);
                    }
                    // Stands for what a gateway awaits before it sends a call.
                    let _ = teaseldrum::http::read_body(req.into_body(), 1_000, STALL).await;
                    handled.lock().expect("not poisoned").push(path);
                    Response::new(full_body("ok"))
                }
            };
            serve(listener, limits(), handle, drain).await;
        });
    });
    address_rx.recv().expect("the server has started")
}

async fn send(stream: &mut TcpStream, path: &str, extra: &str) {
    let request = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx{extra}");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the connection is open");
}

/// Guards against requests being handled whose callers left while the process stood
/// still, on connections that were open before and on new ones.
#[rstest]
#[case::kept_connection(true, "")]
#[case::new_connection(false, "")]
#[case::more_bytes_follow(true, "GET /next HTTP/1.1\r\n")]
#[tokio::test]
async fn request_abandoned_during_stall_is_not_handled(#[case] is_kept: bool, #[case] extra: &str) {
    let handled = HandledPaths::default();
    let address = start_server(Arc::clone(&handled));
    let mut kept = TcpStream::connect(address).await.expect("connect");
    send(&mut kept, "/first", "").await;
    let mut buf = [0; 1_024];
    assert!(kept.read(&mut buf).await.expect("response") > 0);
    let mut stalling = TcpStream::connect(address).await.expect("connect");
    send(&mut stalling, "/stall", "").await;
    sleep(STALL / 6).await;
    let mut caller = if is_kept {
        kept
    } else {
        TcpStream::connect(address).await.expect("connect")
    };
    send(&mut caller, "/abandoned", extra).await;
    sleep(CALLER_PATIENCE).await;
    drop(caller);
    assert!(stalling.read(&mut buf).await.expect("response") > 0);
    sleep(STALL / 3).await;
    let paths = handled.lock().expect("not poisoned").clone();
    assert_eq!(paths, ["/first", "/stall"]);
}

/// Guards against callers that came last being served first, when several connections
/// wait to be accepted.
#[tokio::test]
async fn connections_accepted_together_are_served_in_order() {
    let handled = HandledPaths::default();
    let address = start_server(Arc::clone(&handled));
    let mut stalling = TcpStream::connect(address).await.expect("connect");
    send(&mut stalling, "/stall", "").await;
    sleep(STALL / 6).await;
    let mut callers = Vec::new();
    for number in 0..4 {
        let mut caller = TcpStream::connect(address).await.expect("connect");
        send(&mut caller, &format!("/{number}"), "").await;
        callers.push(caller);
    }
    let mut buf = [0; 1_024];
    for caller in &mut callers {
        assert!(caller.read(&mut buf).await.expect("response") > 0);
    }
    let paths = handled.lock().expect("not poisoned").clone();
    assert_eq!(paths, ["/stall", "/0", "/1", "/2", "/3"]);
}
