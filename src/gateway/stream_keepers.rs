//! Tells other processes at which builds streams began, and asks them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::channel;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use super::context::GatewayContext;
use super::follow_agents::list_engines;
use crate::core::fleet::Build;
use crate::core::fleet::KnownOrigin;
use crate::core::fleet::StreamKey;
use crate::core::fleet::StreamOrigin;
use crate::core::fleet::choose_keepers;
use crate::mesh::MeshClient;
use crate::mesh::connect_mesh;

/// Interval between checks for streams that others have to be told of because a
/// second build has appeared, and for changed keepers.
const KEEPER_INTERVAL: Duration = Duration::from_millis(100);

/// Requests that wait for one keeper; more are dropped, as it is stuck.
const MAX_QUEUED_REQUESTS: usize = 1_024;

/// Time without requests after which the connection to a keeper is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of a request to a keeper.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for asking all keepers of a stream; its caller waits.
const FIND_TIMEOUT: Duration = Duration::from_millis(500);

/// Processes that keep the origins of streams for each other, and the queues of
/// requests to them.
#[derive(Debug, Default)]
pub struct StreamKeepers {
    candidates: Mutex<Arc<KeeperCandidates>>,
    queues: Mutex<HashMap<SocketAddr, Sender<KeeperRequest>>>,
}

/// Processes among which the keepers of a stream are chosen.
#[derive(Debug, Default)]
struct KeeperCandidates {
    entries: Vec<SocketAddr>,
    agents: Vec<SocketAddr>,
}

#[derive(Debug)]
enum KeeperRequest {
    Keep(StreamOrigin),
    Find(StreamKey, String, oneshot::Sender<KnownOrigin>),
}

impl StreamKeepers {
    /// Queues the origin of a stream for each of its keepers other than `own`.
    /// Returns false if there are none.
    fn tell(&self, own: SocketAddr, origin: &StreamOrigin) -> bool {
        let keepers = self.choose(own, origin.stream);
        for keeper in &keepers {
            self.queue(*keeper, KeeperRequest::Keep(origin.clone()));
        }
        !keepers.is_empty()
    }

    /// Returns whether any process other than `own` may keep streams.
    fn has_others(&self, own: SocketAddr) -> bool {
        let candidates = Arc::clone(&lock(&self.candidates));
        let mut all = candidates.entries.iter().chain(&candidates.agents);
        all.any(|address| *address != own)
    }

    /// Returns the keepers of a stream other than `own`.
    fn choose(&self, own: SocketAddr, stream: StreamKey) -> Vec<SocketAddr> {
        let candidates = Arc::clone(&lock(&self.candidates));
        let mut keepers = choose_keepers(stream, &candidates.entries, &candidates.agents);
        keepers.retain(|keeper| *keeper != own);
        keepers
    }

    fn queue(&self, keeper: SocketAddr, request: KeeperRequest) {
        let mut queues = lock(&self.queues);
        let queue = queues
            .entry(keeper)
            .and_modify(|queue| {
                if queue.is_closed() {
                    *queue = start_queue(keeper);
                }
            })
            .or_insert_with(|| start_queue(keeper));
        if queue.try_send(request).is_err() {
            log::debug!("streams: request dropped keeper={keeper} reason=\"queue is full\"");
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start_queue(keeper: SocketAddr) -> Sender<KeeperRequest> {
    let (tx, rx) = channel(MAX_QUEUED_REQUESTS);
    tokio::spawn(serve_queue(keeper, rx));
    tx
}

/// Sends queued requests to one keeper until there have been none for
/// [`IDLE_TIMEOUT`]. Requests that fail are dropped: another keeper has them too.
async fn serve_queue(keeper: SocketAddr, mut requests: Receiver<KeeperRequest>) {
    let mut client: Option<MeshClient> = None;
    while let Ok(Some(first)) = timeout(IDLE_TIMEOUT, requests.recv()).await {
        let mut batch = vec![first];
        while let Ok(request) = requests.try_recv() {
            batch.push(request);
        }
        if client.is_none() {
            match connect_mesh(keeper).await {
                Ok(connected) => client = Some(connected),
                Err(e) => {
                    log::debug!("streams: keeper not reached address={keeper} reason=\"{e}\"");
                    continue;
                }
            }
        }
        if let Some(connected) = &client
            && let Err(e) = send_batch(connected, batch).await
        {
            log::info!("streams: lost keeper={keeper} reason=\"{e}\"");
            client = None;
        }
    }
}

async fn send_batch(client: &MeshClient, batch: Vec<KeeperRequest>) -> Result<(), RpcError> {
    let mut origins = Vec::new();
    let mut result = Ok(());
    for request in batch {
        match request {
            KeeperRequest::Keep(origin) => origins.push(origin),
            KeeperRequest::Find(stream, service, answer_tx) => {
                match client.find_stream(rpc_context(), stream, service).await {
                    // Fails if the caller no longer waits.
                    Ok(known) => drop(answer_tx.send(known)),
                    Err(e) => result = Err(e),
                }
            }
        }
    }
    if !origins.is_empty() {
        client.keep_streams(rpc_context(), origins).await?;
    }
    result
}

fn rpc_context() -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + KEEPER_TIMEOUT;
    context
}

/// Records that the first event of a stream arrived from a server of a build, and
/// tells the keepers if the service may have several builds.
pub fn record_stream_start(cx: &GatewayContext, origin: StreamOrigin) {
    let now = cx.now();
    let has_to_be_told = cx.lock().streams.begin(origin.clone(), now);
    if has_to_be_told && cx.stream_keepers.tell(cx.settings.listen.peers, &origin) {
        cx.lock().streams.mark_told(origin.stream);
    }
}

/// Finds the build at which a stream of a service began, from this entry's own
/// records or from its keepers; `None` if it is not certain.
pub async fn find_stream_build(
    cx: &GatewayContext,
    stream: Option<StreamKey>,
    service: &str,
) -> Option<Build> {
    // A stream that is not named is recorded nowhere.
    let stream = stream.unwrap_or(StreamKey::UNNAMED);
    let known = cx.lock().streams.find(stream, service, cx.now());
    if let Some(build) = known.recorded {
        return Some(build);
    }
    let mut pending: FuturesUnordered<oneshot::Receiver<KnownOrigin>> = cx
        .stream_keepers
        .choose(cx.settings.listen.peers, stream)
        .into_iter()
        .map(|keeper| {
            let (tx, rx) = oneshot::channel();
            let request = KeeperRequest::Find(stream, service.to_owned(), tx);
            cx.stream_keepers.queue(keeper, request);
            rx
        })
        .collect();
    let asked = pending.len();
    let mut answers = Vec::new();
    let gather = async {
        while let Some(answer) = pending.next().await {
            let Ok(known) = answer else { continue };
            let is_recorded = known.recorded.is_some();
            answers.push(known);
            if is_recorded {
                return;
            }
        }
    };
    // What arrived before the timeout is used.
    let _ = timeout(FIND_TIMEOUT, gather).await;
    let now = cx.now();
    let build = cx
        .lock()
        .streams
        .decide_build(stream, service, asked, &answers, now);
    log::info!(
        "streams: asked stream={:x} service={service} others={asked} answers={} build={}",
        stream.0,
        answers.len(),
        build.as_ref().map_or("unknown", Build::as_str)
    );
    build
}

/// Keeps the candidates up to date, and tells the keepers of earlier streams once
/// a service may have several builds, for as long as the gateway runs.
pub async fn tell_stream_keepers(cx: Arc<GatewayContext>) {
    loop {
        let now = cx.now();
        let own = cx.settings.listen.peers;
        let peers = cx.known_entries.list(now).into_iter();
        let entries = peers.map(|entry| entry.address).chain([own]).collect();
        let engines = list_engines(&cx).into_iter();
        let agents = engines.map(|(engine, _)| engine.agent).collect();
        *lock(&cx.stream_keepers.candidates) = Arc::new(KeeperCandidates { entries, agents });
        let untold = if cx.stream_keepers.has_others(own) {
            cx.lock().streams.take_untold(now)
        } else {
            Vec::new()
        };
        for origin in &untold {
            cx.stream_keepers.tell(own, origin);
        }
        if !untold.is_empty() {
            log::info!("streams: told of earlier ones count={}", untold.len());
        }
        sleep(KEEPER_INTERVAL).await;
    }
}
