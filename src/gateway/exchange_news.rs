//! Exchanges admissions and configuration with other entries.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::clocks::ClockOf;
use super::context::GatewayContext;
use super::state::GatewayState;
use crate::clock::read_wall_clock_ms;
use crate::core::MonotonicTime;
use crate::core::fleet::Member;
use crate::core::fleet::UsageQuery;
use crate::mesh::EngineUpdate;
use crate::mesh::KnownEntry;
use crate::mesh::Mesh;
use crate::mesh::MeshClient;
use crate::mesh::ObserveRequest;
use crate::mesh::PeerState;
use crate::mesh::connect_mesh;
use crate::mesh::serve_mesh;
use crate::peer::accept_peers;
use crate::ports::Area;

/// Time between two exchanges with one peer. Each side begins some, so that
/// an admission is known everywhere after about half of it.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(150);

/// Exchanges a second that one entry begins at most: in a large fleet each
/// peer is asked less often.
const MAX_EXCHANGES_PER_S: u64 = 150;

/// Exchanges of one connection after which the entries known are told again.
const ROSTER_EVERY: u64 = 16;

/// Time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for a configuration: a megabyte over a link of 10 Mbit/s that traffic
/// shares.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(6);

/// Pause after a peer could not be reached.
const RECONNECT_PAUSE: Duration = Duration::from_millis(400);

/// Time for which a peer may know of a record before this entry; longer than
/// the pause between two watches of members.
const BEHIND_PEERS: Duration = Duration::from_millis(700);

/// The same for a watch of the operator's records to be given up, since a
/// large configuration takes long to arrive; a peer is asked for it before.
const OPERATOR_BEHIND_PEERS: Duration = Duration::from_millis(1_400);

/// Silence after which a peer is not followed any more.
const PEER_FORGOTTEN: Duration = Duration::from_secs(15);

/// Entries that this one hears of.
#[derive(Debug, Default)]
pub struct EntryRoster {
    entries: Mutex<HashMap<String, (SocketAddr, MonotonicTime)>>,
}

impl EntryRoster {
    fn note(&self, name: &str, address: SocketAddr, now: MonotonicTime) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.insert(name.into(), (address, now));
    }

    fn remove(&self, name: &str) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.remove(name);
    }

    fn list(&self, now: MonotonicTime) -> Vec<KnownEntry> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|_, (_, heard_at)| now.since(*heard_at) < PEER_FORGOTTEN);
        entries
            .iter()
            .map(|(name, (address, _))| KnownEntry {
                name: name.clone(),
                address: *address,
            })
            .collect()
    }
}

/// The answering end for other entries.
#[derive(Clone)]
struct EntryService {
    cx: Arc<GatewayContext>,
    roster: Arc<EntryRoster>,
    found: UnboundedSender<SocketAddr>,
}

impl Mesh for EntryService {
    async fn observe(self, _: Context, _: ObserveRequest) -> Option<EngineUpdate> {
        None
    }

    async fn announce(self, _: Context, _: Duration) {}

    async fn exchange(self, _: Context, news: PeerState) -> Option<PeerState> {
        let (address, query) = (news.address, news.usage_query);
        let peer = news.usage.name.clone();
        let has_roster = !news.known_entries.is_empty();
        take_news(&self.cx, &self.roster, news, &self.found);
        // The receiver lives as long as the process.
        let _ = self.found.send(address);
        let mut answer = make_news(&self.cx, Some(&peer), query);
        if has_roster {
            answer.known_entries = self.roster.list(self.cx.now());
        }
        Some(answer)
    }

    async fn get_configuration(self, _: Context, held: u64) -> Option<Bytes> {
        let state = self.cx.lock();
        (state.configuration_version() > held).then(|| state.raw_configuration.clone())
    }

    async fn get_members(self, _: Context) -> Vec<Member> {
        self.cx.lock().directory.list()
    }
}

/// Serves other entries and follows them until dropped.
pub async fn exchange_news(cx: Arc<GatewayContext>, listener: TcpListener) {
    let roster = Arc::new(EntryRoster::default());
    let (found, mut found_rx) = unbounded_channel();
    let service = EntryService {
        cx: Arc::clone(&cx),
        roster: Arc::clone(&roster),
        found: found.clone(),
    };
    tokio::spawn(accept_peers(listener, move |stream| {
        serve_mesh(stream, service.clone())
    }));
    tokio::spawn(announce_seeds(Arc::clone(&cx), found.clone()));
    let mut followed: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    while let Some(address) = found_rx.recv().await {
        followed.retain(|_, follower| !follower.is_finished());
        if address == cx.settings.listen.peers || followed.contains_key(&address) {
            continue;
        }
        let is_seed = cx.seeds.borrow().contains(&address);
        let follower = follow_peer(
            Arc::clone(&cx),
            Arc::clone(&roster),
            address,
            found.clone(),
            is_seed,
        );
        followed.insert(address, tokio::spawn(follower));
    }
}

/// Names the seeds, now and whenever the settings change them.
async fn announce_seeds(cx: Arc<GatewayContext>, found: UnboundedSender<SocketAddr>) {
    let mut seeds = cx.seeds.subscribe();
    loop {
        for seed in seeds.borrow_and_update().iter() {
            // The receiver lives as long as the process.
            let _ = found.send(*seed);
        }
        if seeds.changed().await.is_err() {
            return;
        }
    }
}

/// Exchanges news with one peer; ends once a peer that is no seed is silent
/// for long.
async fn follow_peer(
    cx: Arc<GatewayContext>,
    roster: Arc<EntryRoster>,
    address: SocketAddr,
    found: UnboundedSender<SocketAddr>,
    is_seed: bool,
) {
    let mut heard_at = cx.now();
    let mut name = None;
    while is_seed || cx.now().since(heard_at) < PEER_FORGOTTEN {
        match connect_mesh(address).await {
            Ok(client) => {
                log::info!("peers: connected address={address}");
                let followed = Followed {
                    heard_at: &mut heard_at,
                    name: &mut name,
                };
                let reason = exchange_over(&cx, &roster, &client, &found, followed).await;
                log::info!("peers: lost address={address} reason=\"{reason}\"");
            }
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                if let Some(name) = &name {
                    cx.lock().quota.note_gone(name);
                }
            }
            // A peer that does not answer may still admit calls.
            Err(e) => log::debug!("peers: not reached address={address} reason=\"{e}\""),
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

/// What is known of a peer over its connections.
struct Followed<'a> {
    heard_at: &'a mut MonotonicTime,
    name: &'a mut Option<String>,
}

async fn exchange_over(
    cx: &GatewayContext,
    roster: &EntryRoster,
    client: &MeshClient,
    found: &UnboundedSender<SocketAddr>,
    followed: Followed<'_>,
) -> String {
    let mut query = UsageQuery::default();
    let mut round = 0_u64;
    loop {
        let mut news = make_news(cx, followed.name.as_deref(), query);
        if round.is_multiple_of(ROSTER_EVERY) {
            news.known_entries = roster.list(cx.now());
        }
        match client.exchange(call_context(), news).await {
            Ok(Some(news)) => {
                query = news.usage_query;
                *followed.heard_at = cx.now();
                *followed.name = Some(news.usage.name.clone());
                let version = news.configuration_version;
                take_news(cx, roster, news, found);
                fetch_configuration(cx, client, version).await;
                fetch_members(cx, client).await;
            }
            Ok(None) => return "it is no entry".into(),
            Err(e) => return e.to_string(),
        }
        let peers = cx.lock().quota.count_entries() as u64;
        let even = Duration::from_millis(1_000 * peers / MAX_EXCHANGES_PER_S);
        sleep(EXCHANGE_INTERVAL.max(even)).await;
        round = round.wrapping_add(1);
    }
}

/// Fetches the configuration of a peer that has a newer one: the store may be
/// out of reach for this entry alone.
async fn fetch_configuration(cx: &GatewayContext, client: &MeshClient, version: u64) {
    let now = cx.now();
    let held = {
        let mut state = cx.lock();
        let held = state.configuration_version();
        if version <= held {
            return;
        }
        let since = *state.outdated_since.get_or_insert(now);
        if held > 0 && now.since(since) < BEHIND_PEERS {
            return;
        }
        held
    };
    // One at a time: a large configuration from each peer that has it would
    // take a slow link for many seconds.
    let Ok(_fetching) = cx.fetching.try_lock() else {
        return;
    };
    let mut call = tarpc::context::current();
    call.deadline = Instant::now() + CONFIGURATION_TIMEOUT;
    let raw = match client.get_configuration(call, held).await {
        Ok(Some(raw)) => raw,
        Ok(None) => return,
        Err(e) => {
            log::warn!("config: not fetched from a peer version={version} reason=\"{e}\"");
            return;
        }
    };
    match cx.ports.source.read_configuration(&raw) {
        Ok(configuration) => {
            let version = configuration.version;
            let now = cx.now();
            if cx.lock().configure(Arc::new(configuration), raw, now) {
                log::info!("config: in force version={version} source=peer");
            }
        }
        Err(e) => log::error!("config: a peer's is malformed version={version} reason=\"{e}\""),
    }
}

/// Fetches the members from a peer while the store has not told them: it may
/// be out of reach for this entry alone.
async fn fetch_members(cx: &GatewayContext, client: &MeshClient) {
    if cx.lock().has_members {
        return;
    }
    let members = match client.get_members(call_context()).await {
        Ok(members) if !members.is_empty() => members,
        Ok(_) => return,
        Err(e) => {
            log::warn!("members: not fetched from a peer reason=\"{e}\"");
            return;
        }
    };
    let now = cx.now();
    let mut state = cx.lock();
    if state.has_members {
        return;
    }
    log::info!("members: taken over from a peer count={}", members.len());
    let changes = state.directory.replace(members, now);
    state.apply_members(changes);
    state.has_members = true;
}

/// Makes the news for a peer, by its name where that is known, and what it
/// asked for last.
fn make_news(cx: &GatewayContext, peer: Option<&str>, query: UsageQuery) -> PeerState {
    let now = cx.now();
    let mut state = cx.lock();
    PeerState {
        clock_ms: read_wall_clock_ms(),
        address: cx.settings.listen.peers,
        usage: state
            .quota
            .usage(&cx.settings.name, cx.incarnation, query, now),
        usage_query: state.quota.query(peer.unwrap_or_default(), now),
        configuration_version: state.configuration_version(),
        newest_revisions: state.progress.map(|progress| progress.newest),
        targets: state.dispatcher.list_wanted(),
        known_entries: Vec::new(),
        is_leaving: cx.is_draining(),
    }
}

fn take_news(
    cx: &GatewayContext,
    roster: &EntryRoster,
    news: PeerState,
    found: &UnboundedSender<SocketAddr>,
) {
    if news.usage.name == cx.settings.name {
        return;
    }
    let now = cx.now();
    let label = ClockOf::Entry(&news.usage.name);
    cx.clocks.note(label, news.clock_ms, read_wall_clock_ms());
    roster.note(&news.usage.name, news.address, now);
    for entry in &news.known_entries {
        if entry.name != cx.settings.name {
            // The receiver lives as long as the process.
            let _ = found.send(entry.address);
        }
    }
    let mut state = cx.lock();
    state.quota.observe_peer(&news.usage, now);
    state.hear_wanted(&news.targets, "peer", now);
    note_peer_progress(cx, &mut state, news.newest_revisions, now);
    if news.is_leaving {
        roster.remove(&news.usage.name);
    }
    let entries = state.quota.count_entries();
    state.retries.set_entries(entries);
}

/// Has an area read anew if a peer has known of a newer record for a while:
/// the watch of this entry may be on a connection that has gone silent.
fn note_peer_progress(
    cx: &GatewayContext,
    state: &mut GatewayState,
    newest: [u64; 2],
    now: MonotonicTime,
) {
    for area in Area::ALL {
        let progress = &mut state.progress[area.index()];
        if newest[area.index()] <= progress.complete {
            continue;
        }
        let since = *progress.behind_since.get_or_insert(now);
        let patience = match area {
            Area::Operator => OPERATOR_BEHIND_PEERS,
            Area::Members => BEHIND_PEERS,
        };
        if now.since(since) >= patience {
            progress.behind_since = None;
            log::info!(
                "store: behind a peer area={area:?} complete={}",
                progress.complete
            );
            cx.ask_read_anew(area);
        }
    }
}

fn call_context() -> Context {
    let mut call = tarpc::context::current();
    call.deadline = Instant::now() + ANSWER_TIMEOUT;
    call
}
