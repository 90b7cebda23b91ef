//! The store client against a scripted listener.

use std::net::SocketAddr;
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
use tokio::time::sleep;

/// What the listener does with a connection once a request came.
#[derive(Debug, Clone, Copy)]
enum Script {
    /// Answers with this body.
    Answer(u16, &'static str),
    /// Closes without an answer.
    Close,
    /// Never answers.
    Silence,
    /// Answers with one chunk and then stays silent.
    OneChunk(&'static str),
}

async fn start_listener(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_one(stream, script));
        }
    });
    address
}

async fn serve_one(mut stream: TcpStream, script: Script) {
    let mut buf = [0; 4096];
    let _ = stream.read(&mut buf).await;
    let answer = match script {
        Script::Answer(status, body) => format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        ),
        Script::OneChunk(body) => format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n",
            body.len()
        ),
        Script::Close => return,
        Script::Silence => String::new(),
    };
    let _ = stream.write_all(answer.as_bytes()).await;
    sleep(Duration::from_secs(30)).await;
}

async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
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

fn key() -> KeyRange {
    KeyRange::Key(Bytes::from_static(b"k"))
}

#[tokio::test]
async fn store_put_without_listener() {
    let store = Store::new(&make_settings(&[unused_address().await]));
    let result = store.put(Bytes::new(), Bytes::new(), None).await;
    assert!(matches!(result, Err(StoreError::NotReached(_))));
}

#[tokio::test]
async fn store_put_answer_lost() {
    for script in [Script::Close, Script::Silence, Script::Answer(503, "")] {
        let store = Store::new(&make_settings(&[start_listener(script).await]));
        let result = store.put(Bytes::new(), Bytes::new(), None).await;
        assert!(matches!(result, Err(StoreError::Unknown(_))), "{script:?}");
    }
}

#[tokio::test]
async fn store_put_refused() {
    let address = start_listener(Script::Answer(429, "slow down")).await;
    let store = Store::new(&make_settings(&[address]));
    let result = store.put(Bytes::new(), Bytes::new(), None).await;
    let refused = StoreError::Refused {
        status: 429,
        message: "slow down".into(),
    };
    assert_eq!(result, Err(refused));
}

#[tokio::test]
async fn store_put_goes_on_only_if_unsent() {
    let good = start_listener(Script::Answer(200, r#"{"header":{"revision":"4"}}"#)).await;
    let absent = Store::new(&make_settings(&[unused_address().await, good]));
    let result = absent.put(Bytes::new(), Bytes::new(), None).await;
    assert_eq!(result, Ok(4));
    let silent = start_listener(Script::Silence).await;
    let silent = Store::new(&make_settings(&[silent, good]));
    let result = silent.put(Bytes::new(), Bytes::new(), None).await;
    assert!(matches!(result, Err(StoreError::Unknown(_))));
    let result = silent.put(Bytes::new(), Bytes::new(), None).await;
    assert_eq!(result, Ok(4), "the silent address is left aside next time");
}

#[tokio::test]
async fn store_range_goes_on_after_silence() {
    let body = r#"{"header":{"revision":"4"},"kvs":[{"key":"aw==","value":"dg=="}]}"#;
    let good = start_listener(Script::Answer(200, body)).await;
    let silent = start_listener(Script::Silence).await;
    let store = Store::new(&make_settings(&[silent, good]));
    let (revision, pairs) = store.range_at_revision(&key()).await.expect("an answer");
    assert_eq!(revision, 4);
    assert_eq!(pairs[0].value, Bytes::from_static(b"v"));
}

#[tokio::test]
async fn watch_change_then_silence() {
    let line = "{\"result\":{\"created\":true}}\n{\"result\":{\"events\":[\
        {\"kv\":{\"key\":\"aw==\",\"value\":\"dg==\",\"mod_revision\":\"5\"}},\
        {\"type\":\"DELETE\",\"kv\":{\"key\":\"aw==\",\"mod_revision\":\"6\"}}]}}\n";
    let address = start_listener(Script::OneChunk(line)).await;
    let store = Store::new(&make_settings(&[address]));
    let mut watch = store.watch(&key(), 5).await.expect("a watch");
    assert_eq!(watch.next().await.expect("a change").revision(), 5);
    let deleted = Change::Deleted(Bytes::from_static(b"k"), 6);
    assert_eq!(watch.next().await, Ok(deleted));
    assert!(matches!(watch.next().await, Err(WatchError::Connection(_))));
}

#[tokio::test]
async fn watch_compacted() {
    let line = "{\"result\":{\"canceled\":true,\"compact_revision\":\"9\"}}\n";
    let address = start_listener(Script::OneChunk(line)).await;
    let store = Store::new(&make_settings(&[address]));
    let mut watch = store.watch(&key(), 5).await.expect("a watch");
    assert_eq!(watch.next().await, Err(WatchError::Compacted));
}

#[tokio::test]
async fn host_list_read() {
    let body = r#"{"hosts":[{"name":"s1","role":"agent","zone":"a","pool":"p",
        "traffic":"127.0.0.1:1","peers":"127.0.0.1:2","state":"leaving"}]}"#;
    let address = start_listener(Script::Answer(200, body)).await;
    let list = HostList::new(&make_settings(&[address])).expect("an address");
    let hosts = list.read().await.expect("a list");
    assert_eq!(hosts[0].state, HostState::Leaving);
}

#[tokio::test]
async fn blocking_store_judges_failures() {
    let absent = BlockingStore::new(&make_settings(&[unused_address().await]));
    let lost = BlockingStore::new(&make_settings(&[start_listener(Script::Close).await]));
    let good = start_listener(Script::Answer(200, r#"{"succeeded":true}"#)).await;
    let good = BlockingStore::new(&make_settings(&[good]));
    let results = tokio::task::spawn_blocking(move || {
        let txn = Txn::default();
        (absent.txn(&txn), lost.txn(&txn), good.txn(&txn))
    });
    let (absent, lost, good) = results.await.expect("no panic");
    assert!(matches!(absent, Err(StoreError::NotReached(_))));
    assert!(matches!(lost, Err(StoreError::Unknown(_))), "{lost:?}");
    assert!(good.expect("an answer").succeeded);
}
