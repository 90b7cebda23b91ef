//! Tests the clients of the store and of the host list against a server with
//! scripted replies: each failure must be classified by whether the request may
//! have been applied.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use serde_json::json;
use teaseldrum::registry::BlockingStore;
use teaseldrum::registry::Change;
use teaseldrum::registry::HostList;
use teaseldrum::registry::HostState;
use teaseldrum::registry::KeyRange;
use teaseldrum::registry::Store;
use teaseldrum::registry::StoreError;
use teaseldrum::registry::Txn;
use teaseldrum::registry::WatchError;
use teaseldrum::settings::PlatformSettings;
use teaseldrum::settings::Section;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// How the server replies to the first request of a connection.
#[derive(Debug, Clone, Copy)]
enum Reply {
    /// Responds with this status and body.
    Respond(u16, &'static str),
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open and never responds.
    Stall,
    /// Sends a response head and one chunk, then nothing more.
    ChunkThenStall(&'static str),
}

async fn start_listener(reply: Reply) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind a loopback port");
    let address = listener
        .local_addr()
        .expect("local address of the listener");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, reply));
        }
    });
    address
}

async fn serve_connection(mut stream: TcpStream, reply: Reply) {
    let mut buf = [0; 4096];
    let _ = stream.read(&mut buf).await;
    let response = match reply {
        Reply::Respond(status, body) => format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        ),
        Reply::ChunkThenStall(body) => format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n",
            body.len()
        ),
        Reply::Close => return,
        Reply::Stall => String::new(),
    };
    let _ = stream.write_all(response.as_bytes()).await;
    sleep(Duration::from_secs(30)).await;
}

async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind a loopback port");
    listener
        .local_addr()
        .expect("local address of the listener")
}

fn make_settings(store: &[SocketAddr]) -> PlatformSettings {
    let value = json!({
        "store": store,
        "hosts": store.first(),
        "call_timeout_ms": 100,
        "watch_timeout_ms": 100,
    });
    PlatformSettings::read(&mut Section::new("platform", value))
}

fn one_key_range() -> KeyRange {
    KeyRange::Key(Bytes::from_static(b"k"))
}

#[tokio::test]
async fn store_put_without_listener() {
    let store = Store::new(&make_settings(&[unused_address().await]));
    let result = store.put(Bytes::new(), Bytes::new(), None).await;
    assert!(matches!(result, Err(StoreError::NotReached(_))));
}

#[tokio::test]
async fn store_put_response_lost() {
    for reply in [Reply::Close, Reply::Stall, Reply::Respond(503, "")] {
        let store = Store::new(&make_settings(&[start_listener(reply).await]));
        let result = store.put(Bytes::new(), Bytes::new(), None).await;
        assert!(matches!(result, Err(StoreError::Unknown(_))), "{reply:?}");
    }
}

#[tokio::test]
async fn store_put_refused() {
    let address = start_listener(Reply::Respond(429, "slow down")).await;
    let store = Store::new(&make_settings(&[address]));
    let result = store.put(Bytes::new(), Bytes::new(), None).await;
    let refused = StoreError::Refused {
        status: 429,
        message: "slow down".into(),
    };
    assert_eq!(result, Err(refused));
}

#[tokio::test]
async fn store_put_next_address_only_if_unsent() {
    let working = start_listener(Reply::Respond(200, r#"{"header":{"revision":"4"}}"#)).await;
    let unreachable = Store::new(&make_settings(&[unused_address().await, working]));
    let result = unreachable.put(Bytes::new(), Bytes::new(), None).await;
    assert_eq!(result, Ok(4));
    let stalled = start_listener(Reply::Stall).await;
    let stalled = Store::new(&make_settings(&[stalled, working]));
    let result = stalled.put(Bytes::new(), Bytes::new(), None).await;
    assert!(matches!(result, Err(StoreError::Unknown(_))));
    let result = stalled.put(Bytes::new(), Bytes::new(), None).await;
    assert_eq!(
        result,
        Ok(4),
        "the address that timed out is not tried first again"
    );
}

#[tokio::test]
async fn store_range_next_address_after_timeout() {
    let body = r#"{"header":{"revision":"4"},"kvs":[{"key":"aw==","value":"dg=="}]}"#;
    let working = start_listener(Reply::Respond(200, body)).await;
    let stalled = start_listener(Reply::Stall).await;
    let store = Store::new(&make_settings(&[stalled, working]));
    let (revision, pairs) = store
        .range_at_revision(&one_key_range())
        .await
        .expect("response of the working address");
    assert_eq!(revision, 4);
    assert_eq!(pairs[0].value, Bytes::from_static(b"v"));
}

#[tokio::test]
async fn watch_change_then_timeout() {
    let line = "{\"result\":{\"created\":true}}\n{\"result\":{\"events\":[\
        {\"kv\":{\"key\":\"aw==\",\"value\":\"dg==\",\"mod_revision\":\"5\"}},\
        {\"type\":\"DELETE\",\"kv\":{\"key\":\"aw==\",\"mod_revision\":\"6\"}}]}}\n";
    let address = start_listener(Reply::ChunkThenStall(line)).await;
    let store = Store::new(&make_settings(&[address]));
    let mut watch = store
        .watch(&one_key_range(), 5)
        .await
        .expect("watch response");
    assert_eq!(watch.next().await.expect("first change").revision(), 5);
    let deleted = Change::Deleted(Bytes::from_static(b"k"), 6);
    assert_eq!(watch.next().await, Ok(deleted));
    assert!(matches!(watch.next().await, Err(WatchError::Connection(_))));
}

#[tokio::test]
async fn watch_compacted() {
    let line = "{\"result\":{\"canceled\":true,\"compact_revision\":\"9\"}}\n";
    let address = start_listener(Reply::ChunkThenStall(line)).await;
    let store = Store::new(&make_settings(&[address]));
    let mut watch = store
        .watch(&one_key_range(), 5)
        .await
        .expect("watch response");
    assert_eq!(watch.next().await, Err(WatchError::Compacted));
}

#[tokio::test]
async fn host_list_read() {
    let body = r#"{"hosts":[{"name":"s1","role":"agent","zone":"a","pool":"p",
        "traffic":"127.0.0.1:1","peers":"127.0.0.1:2","state":"leaving"}]}"#;
    let address = start_listener(Reply::Respond(200, body)).await;
    let list = HostList::new(&make_settings(&[address])).expect("address of the host list");
    let hosts = list.read().await.expect("host list");
    assert_eq!(hosts[0].state, HostState::Leaving);
}

#[tokio::test]
async fn blocking_store_classifies_failures() {
    let unreachable = BlockingStore::new(&make_settings(&[unused_address().await]));
    let closed = BlockingStore::new(&make_settings(&[start_listener(Reply::Close).await]));
    let working = start_listener(Reply::Respond(200, r#"{"succeeded":true}"#)).await;
    let working = BlockingStore::new(&make_settings(&[working]));
    let results = tokio::task::spawn_blocking(move || {
        let txn = Txn::default();
        (unreachable.txn(&txn), closed.txn(&txn), working.txn(&txn))
    });
    let (unreachable, closed, working) = results.await.expect("blocking task without a panic");
    assert!(matches!(unreachable, Err(StoreError::NotReached(_))));
    assert!(matches!(closed, Err(StoreError::Unknown(_))), "{closed:?}");
    assert!(working.expect("transaction response").succeeded);
}

/// Starts a server that responds with the revision 1, 2 and so on. When a further request
/// arrives on a connection, it first sends the response to the one before once more.
async fn start_copying_listener() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("local address");
    let revision = Arc::new(AtomicU64::new(0));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_copies(stream, Arc::clone(&revision)));
        }
    });
    address
}

async fn serve_copies(mut stream: TcpStream, revision: Arc<AtomicU64>) {
    let mut last = String::new();
    while read_put(&mut stream).await {
        let revision = revision.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(r#"{{"header":{{"revision":"{revision}"}}}}"#);
        let length = body.len();
        let own = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
        let bytes = [last.as_bytes(), own.as_bytes()].concat();
        last = own;
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Reads a whole write; false if the connection ends before. Its body alone ends in a brace.
async fn read_put(stream: &mut TcpStream) -> bool {
    let mut received = Vec::new();
    let mut buf = [0; 4096];
    while !received.ends_with(b"}") {
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => return false,
            Ok(count) => received.extend_from_slice(&buf[..count]),
        }
    }
    true
}

/// Guards against a write that is taken for the one before, since the response to that
/// came once more on the connection.
#[tokio::test]
async fn store_put_takes_no_earlier_response() {
    let store = Store::new(&make_settings(&[start_copying_listener().await]));
    for revision in 1..4 {
        let result = store.put(Bytes::new(), Bytes::new(), None).await;
        assert_eq!(result, Ok(revision));
    }
    let settings = make_settings(&[start_copying_listener().await]);
    let puts = spawn_blocking(move || {
        let store = BlockingStore::new(&settings);
        [(); 3].map(|()| store.put(Bytes::new(), Bytes::new(), None))
    });
    assert_eq!(puts.await.expect("no panic"), [Ok(1), Ok(2), Ok(3)]);
}
