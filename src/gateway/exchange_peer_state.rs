//! Exchanges account usage, target versions, revisions and known entries with
//! other entries (peers), and fetches a configuration or members from a peer if
//! this entry lacks them.

use std::collections::HashMap;
use std::io;
use std::mem::take;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use super::attempt::log_limit;
use super::clock_offsets::ClockOwner;
use super::context::GatewayContext;
use super::follow_members::serve_members;
use super::known_entries::PEER_EXPIRY;
use super::lead_rollouts::learn_rollouts;
use super::peer_contacts::PeerContacts;
use super::share_quarantine::apply_quarantine_news;
use super::state::GatewayState;
use super::zone_relaying::apply_relayed;
use super::zone_relaying::build_zone_exchange;
use crate::clock::read_wall_clock_ms;
use crate::core::MonotonicTime;
use crate::core::ServerName;
use crate::core::fleet::Exchange;
use crate::core::fleet::KnownOrigin;
use crate::core::fleet::Member;
use crate::core::fleet::QuarantineNews;
use crate::core::fleet::RelayLink;
use crate::core::fleet::RolloutPlan;
use crate::core::fleet::RolloutReport;
use crate::core::fleet::StreamKey;
use crate::core::fleet::StreamOrigin;
use crate::core::fleet::UsageQuery;
use crate::core::fleet::WeightsHold;
use crate::mesh::CollectRequest;
use crate::mesh::CollectResponse;
use crate::mesh::EngineUpdate;
use crate::mesh::FleetNews;
use crate::mesh::MembersCursor;
use crate::mesh::MembersUpdate;
use crate::mesh::Mesh;
use crate::mesh::MeshClient;
use crate::mesh::ObserveRequest;
use crate::mesh::PeerState;
use crate::mesh::ZoneExchange;
use crate::mesh::connect_mesh;
use crate::mesh::serve_mesh;
use crate::peer::accept_peers;
use crate::ports::Area;

/// Interval between exchanges with one peer, of which one side starts all. An
/// admission is known everywhere after about half this interval.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(75);

/// Maximum number of exchanges per second in which one entry takes part, on
/// either side. In a large fleet, the interval is longer.
const MAX_EXCHANGES_PER_S: u64 = 200;

/// Time for which news of crashed servers is gathered before it is told: several calls
/// break with a server.
const NEWS_DELAY: Duration = Duration::from_millis(10);

/// Like [`NEWS_DELAY`], while there are relays: news is gathered three times then.
const RELAYED_NEWS_DELAY: Duration = Duration::from_millis(3);

/// Time, besides two intervals, without an exchange that the peer starts after
/// which the other side starts one.
const CONTACT_MARGIN: Duration = Duration::from_millis(400);

/// Minimum number of exchanges over one connection after which the known
/// entries are sent again. In a large fleet, it is the number of entries: an
/// entry receives the list from each of them.
const MIN_EXCHANGES_PER_ENTRY_LIST: u64 = 16;

/// Like [`MIN_EXCHANGES_PER_ENTRY_LIST`], over a connection with a shorter interval.
const MIN_RELAY_EXCHANGES_PER_ENTRY_LIST: u64 = 64;

/// Minimum time between two windows of measured speeds, and the number of exchanges with
/// each peer in which one is sent, since an exchange may be lost.
const MIN_SPEED_WINDOW: Duration = Duration::from_secs(1);
const SPEED_SENDS: u32 = 2;

/// Bytes a second that an entry sends of measured speeds, a third of the 12 KB a second
/// for control messages, and the size of one.
const SPEED_BYTES_PER_S: f64 = 4_000.0;
const SPEED_NOTICE_BYTES: f64 = 20.0;

/// Maximum number of measured speeds in a message of a small fleet.
const MAX_SPEED_NOTICES: usize = 64;

/// Timeout of a request to a peer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout for fetching a configuration. It allows for one megabyte over a 10
/// Mbit/s link that also carries traffic.
const CONFIGURATION_FETCH_TIMEOUT: Duration = Duration::from_secs(6);

/// Delay before reconnecting to a peer.
const RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// Time for which a peer may have a newer record before this entry resyncs or
/// fetches the configuration from it. It is longer than the pause between two
/// watches of members.
const PEER_LAG_TOLERANCE: Duration = Duration::from_millis(700);

/// Like [`PEER_LAG_TOLERANCE`], for the operator's records. It is longer since
/// a large configuration takes long to arrive, and a newer one is fetched from
/// the peer before this time has passed.
const OPERATOR_LAG_TOLERANCE: Duration = Duration::from_millis(1_400);

/// What the tasks that exchange state with peers share.
struct PeerExchange {
    cx: Arc<GatewayContext>,
    contacts: PeerContacts,
    discovered_tx: UnboundedSender<SocketAddr>,
}

/// RPC service of this entry for one connection of a peer. Every process of the
/// fleet serves the same RPC interface; an entry sends no engine updates and
/// ignores announced calls.
#[derive(Clone)]
struct EntryService {
    exchange: Arc<PeerExchange>,
    connection: Arc<ServedConnection>,
}

/// Connection that a peer has opened. The peer's contact ends when this is
/// dropped.
struct ServedConnection {
    exchange: Arc<PeerExchange>,
    peer: Mutex<Option<SocketAddr>>,
    link: Mutex<RelayLink>,
}

impl ServedConnection {
    fn record_contact(&self, peer: SocketAddr) {
        *self.peer.lock().unwrap_or_else(PoisonError::into_inner) = Some(peer);
        let now = self.exchange.cx.now();
        self.exchange.contacts.record(peer, now);
    }
}

impl Drop for ServedConnection {
    fn drop(&mut self) {
        let peer = *self.peer.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = peer {
            log::info!("peers: lost address={peer} reason=\"it closed its connection\"");
            self.exchange.contacts.remove(peer);
        }
    }
}

impl EntryService {
    /// Applies the state of a peer, whose zone is `None` if it is of an earlier release,
    /// and returns the state of this entry.
    fn answer_exchange(&self, peer_state: PeerState, zone: Option<&str>) -> PeerState {
        let (address, usage_query) = (peer_state.address, peer_state.usage_query);
        let peer = peer_state.usage.name.clone();
        let peer_sent_entries = !peer_state.known_entries.is_empty();
        let version = peer_state.configuration_version;
        let peer_lacks_members = peer_state.newest_revisions[Area::Members.index()] == 0;
        let peer_read_store = peer_state.newest_revisions.iter().any(|newest| *newest > 0);
        self.connection.record_contact(address);
        let exchange = &self.exchange;
        apply_peer_state(exchange, peer_state, zone);
        if peer_read_store && is_fetch_due(&exchange.cx, version) {
            // Outlives this response, which the peer waits for.
            tokio::spawn(fetch_from_peer(Arc::clone(&exchange.cx), address, version));
        }
        // Fails only during shutdown, when the receiver was dropped.
        let _ = exchange.discovered_tx.send(address);
        let mut own_state =
            build_peer_state(&exchange.cx, Some(&peer), usage_query, peer_sent_entries);
        if peer_sent_entries {
            own_state.known_entries = exchange.cx.known_entries.list(exchange.cx.now());
        }
        if peer_lacks_members {
            own_state.news.departures = exchange.cx.lock().directory.list_departures();
        }
        own_state
    }
}

impl Mesh for EntryService {
    async fn observe(self, _: Context, _: ObserveRequest) -> Option<EngineUpdate> {
        None
    }

    async fn announce(self, _: Context, _: Duration) {}

    async fn collect(self, _: Context, _: CollectRequest) -> Option<CollectResponse> {
        None
    }

    async fn forward_announcement(self, _: Context, _: ServerName, _: Duration) {}

    async fn yield_orders(self, _: Context, _: u64) {}

    async fn grant_orders(self, _: Context, _: u64, _: u64) {}

    async fn hold_weights(self, _: Context, _: WeightsHold) -> bool {
        false
    }

    async fn release_weights(self, _: Context, _: ServerName, _: u64) {}

    async fn exchange(self, _: Context, peer_state: PeerState) -> Option<PeerState> {
        Some(self.answer_exchange(peer_state, None))
    }

    async fn exchange_zones(self, _: Context, message: ZoneExchange) -> Option<ZoneExchange> {
        let peer = message.state.usage.name.clone();
        let own_state = self.answer_exchange(message.state, Some(&message.zone));
        let cx = &self.exchange.cx;
        let wants_all = apply_relayed(cx, message.relayed, Duration::ZERO);
        let link = &self.connection.link;
        let mut link = link.lock().unwrap_or_else(PoisonError::into_inner);
        link.record_received(message.wants_all);
        Some(build_zone_exchange(
            cx,
            &mut link,
            Some(&peer),
            own_state,
            wants_all,
        ))
    }

    async fn get_configuration(self, _: Context, held: u64) -> Option<Bytes> {
        let state = self.exchange.cx.lock();
        (state.configuration_version() > held).then(|| state.raw_configuration.clone())
    }

    async fn get_members(self, _: Context) -> Vec<Member> {
        self.exchange.cx.lock().directory.list()
    }

    async fn keep_streams(self, _: Context, origins: Vec<StreamOrigin>) {
        let cx = &self.exchange.cx;
        let now = cx.now();
        let mut state = cx.lock();
        for origin in origins {
            state.streams.learn(origin, now);
        }
    }

    async fn find_stream(self, _: Context, stream: StreamKey, service: String) -> KnownOrigin {
        let cx = &self.exchange.cx;
        cx.lock().streams.find(stream, &service, cx.now())
    }

    async fn share_quarantine(self, _: Context, news: QuarantineNews) -> QuarantineNews {
        // Entries share it in their exchanges.
        news
    }

    async fn report_rollout(self, _: Context, report: RolloutReport) -> Option<RolloutPlan> {
        let cx = &self.exchange.cx;
        cx.rollouts.answer(report, cx.now())
    }

    async fn follow_members(self, _: Context, known: MembersCursor) -> Option<MembersUpdate> {
        serve_members(&self.exchange.cx, known).await
    }
}

/// Serves other entries and exchanges state with each one that is discovered.
/// When this is dropped, no more peers are discovered, but the tasks that it
/// has spawned continue until the runtime ends.
pub async fn exchange_peer_state(cx: Arc<GatewayContext>, listener: TcpListener) {
    let (discovered_tx, mut discovered_rx) = unbounded_channel();
    let exchange = Arc::new(PeerExchange {
        cx: Arc::clone(&cx),
        contacts: PeerContacts::default(),
        discovered_tx: discovered_tx.clone(),
    });
    let served_exchange = Arc::clone(&exchange);
    let max_connections = cx.settings.max_peer_connections();
    tokio::spawn(accept_peers(listener, max_connections, move |stream| {
        let connection = ServedConnection {
            exchange: Arc::clone(&served_exchange),
            peer: Mutex::default(),
            link: Mutex::default(),
        };
        let service = EntryService {
            exchange: Arc::clone(&served_exchange),
            connection: Arc::new(connection),
        };
        serve_mesh(stream, service)
    }));
    tokio::spawn(discover_seeds(Arc::clone(&cx), discovered_tx));
    // Also ends the inquiry where the store cannot be read.
    let inquiring = Arc::clone(&cx);
    tokio::spawn(async move { inquiring.start_inquiry.wait().await });
    let mut exchange_tasks: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    while let Some(address) = discovered_rx.recv().await {
        exchange_tasks.retain(|_, task| !task.is_finished());
        if address == cx.settings.listen.peers || exchange_tasks.contains_key(&address) {
            continue;
        }
        let is_seed = cx.seeds.borrow().contains(&address);
        let task = exchange_with_peer(Arc::clone(&exchange), address, is_seed);
        exchange_tasks.insert(address, tokio::spawn(task));
    }
}

/// Reports the seeds, which are the peer addresses in the settings, as
/// discovered, now and whenever the settings change them.
async fn discover_seeds(cx: Arc<GatewayContext>, discovered_tx: UnboundedSender<SocketAddr>) {
    let mut seeds = cx.seeds.subscribe();
    loop {
        for seed in seeds.borrow_and_update().iter() {
            // Fails only during shutdown, when the receiver was dropped.
            let _ = discovered_tx.send(*seed);
        }
        if seeds.changed().await.is_err() {
            return;
        }
    }
}

/// Exchanges state with one peer. The side with the lower address starts all
/// exchanges; the other side starts some only while it hears nothing, so that
/// peers find each other whichever side knows the other's address first. Ends
/// once a peer that is not a seed has not responded for [`PEER_EXPIRY`].
async fn exchange_with_peer(exchange: Arc<PeerExchange>, address: SocketAddr, is_seed: bool) {
    let cx = &exchange.cx;
    let starts_exchanges = cx.settings.listen.peers < address;
    let mut last_heard_at = cx.now();
    let mut is_earlier_release = false;
    while is_seed || cx.now().since(last_heard_at) < PEER_EXPIRY {
        if is_reached_through_relays(cx, address) {
            wait_for_direct_exchange(cx, address).await;
            last_heard_at = cx.now();
            continue;
        }
        // A peer that starts the exchanges tells no departures.
        if !starts_exchanges
            && !cx.start_inquiry.awaits(address)
            && exchange
                .contacts
                .is_recent(cx, address, max_contact_age(cx))
        {
            exchange
                .contacts
                .wait_until_lost(cx, address, max_contact_age(cx))
                .await;
            last_heard_at = cx.now();
        }
        match connect_mesh(address).await {
            Ok(client) => {
                log::info!("peers: connected address={address}");
                let contact = PeerContact {
                    last_heard_at: &mut last_heard_at,
                    address,
                    starts_exchanges,
                    is_earlier_release,
                };
                is_earlier_release = false;
                match exchange_over_connection(&exchange, &client, contact).await {
                    ExchangeEnd::ThroughRelays => {
                        log::info!("peers: closed address={address} reason=\"relays\"");
                        continue;
                    }
                    ExchangeEnd::EarlierRelease => {
                        log::info!("peers: of an earlier release address={address}");
                        is_earlier_release = true;
                        continue;
                    }
                    ExchangeEnd::PeerStarts => log::info!("peers: closed address={address}"),
                    ExchangeEnd::Lost(reason) => {
                        log::info!("peers: lost address={address} reason=\"{reason}\"");
                    }
                }
            }
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                if let Some(name) = cx.known_entries.find_name(address) {
                    let now = cx.now();
                    cx.zone_relaying.record_stopped_entry(&name);
                    let mut state = cx.lock();
                    state.quota.mark_peer_stopped(&name);
                    let limits = &mut state.dispatcher.server_limits;
                    limits.record_stopped_entry(&name, now);
                }
            }
            // A peer that does not respond may still admit calls, so it is not
            // marked as stopped.
            Err(e) => log::debug!("peers: connection failed address={address} reason=\"{e}\""),
        }
        cx.start_inquiry.record_heard(address);
        sleep(RECONNECT_DELAY).await;
    }
}

/// Returns the interval between exchanges with one peer.
pub fn exchange_interval(cx: &GatewayContext) -> Duration {
    let peer_count = cx.lock().quota.count_entries() as u64 - 1;
    EXCHANGE_INTERVAL.max(Duration::from_millis(
        1_000 * peer_count / MAX_EXCHANGES_PER_S,
    ))
}

/// Returns the interval between exchanges with an entry of the same zone or a relay;
/// `None` for other peers.
fn find_peer_interval(cx: &GatewayContext, peer: Option<&str>) -> Option<Duration> {
    match cx.zone_relaying.find_exchange(peer?) {
        Exchange::Every(interval) => Some(interval),
        Exchange::Direct | Exchange::ThroughRelays => None,
    }
}

/// Returns whether relays pass on the states of this entry and the peer at `address`.
fn is_reached_through_relays(cx: &GatewayContext, address: SocketAddr) -> bool {
    let name = cx.known_entries.find_name(address);
    name.is_some_and(|name| cx.zone_relaying.find_exchange(&name) == Exchange::ThroughRelays)
}

/// Waits until the peer at `address` is to be exchanged with directly.
async fn wait_for_direct_exchange(cx: &GatewayContext, address: SocketAddr) {
    let mut plan_rx = cx.zone_relaying.subscribe();
    while is_reached_through_relays(cx, address) {
        // The sender is in the context, so it still exists.
        let _ = plan_rx.changed().await;
    }
}

/// Returns the time without an exchange after which a peer that should start
/// them counts as lost.
fn max_contact_age(cx: &GatewayContext) -> Duration {
    exchange_interval(cx) * 2 + CONTACT_MARGIN
}

/// What is known of a peer across connections: its address, which side starts
/// exchanges, and when it last responded.
struct PeerContact<'a> {
    address: SocketAddr,
    starts_exchanges: bool,
    /// Whether it knows no zones.
    is_earlier_release: bool,
    last_heard_at: &'a mut MonotonicTime,
}

/// Why an entry no longer starts exchanges over a connection.
enum ExchangeEnd {
    /// The peer starts them, as it should.
    PeerStarts,
    /// Relays pass on the states of both.
    ThroughRelays,
    /// The peer does not know the request.
    EarlierRelease,
    /// The connection failed; holds the reason.
    Lost(String),
}

/// Exchanges state at intervals until the connection fails or the peer starts
/// the exchanges.
async fn exchange_over_connection(
    exchange: &PeerExchange,
    client: &MeshClient,
    contact: PeerContact<'_>,
) -> ExchangeEnd {
    let cx = &*exchange.cx;
    // What the peer asked for in its last message: this entry's admissions
    // since those that it knows.
    let mut usage_query = UsageQuery::default();
    let mut peer_name: Option<String> = None;
    let mut exchange_count = 0_u64;
    let mut news_rx = cx.news_count.subscribe();
    let mut woken_at = None;
    let mut link = RelayLink::default();
    let mut wants_all = false;
    loop {
        let peer_interval = find_peer_interval(cx, peer_name.as_deref());
        let min_exchanges = match peer_interval {
            Some(_) => MIN_RELAY_EXCHANGES_PER_ENTRY_LIST,
            None => MIN_EXCHANGES_PER_ENTRY_LIST,
        };
        let entry_count = cx.lock().quota.count_entries() as u64;
        let is_full = exchange_count.is_multiple_of(entry_count.max(min_exchanges));
        let mut own_state = build_peer_state(cx, peer_name.as_deref(), usage_query, is_full);
        if is_full {
            own_state.known_entries = cx.known_entries.list(cx.now());
        }
        let response = if contact.is_earlier_release {
            let response = client.exchange(rpc_context(), own_state).await;
            response.map(|state| state.map(|state| (state, None)))
        } else {
            let peer = peer_name.as_deref();
            let message = build_zone_exchange(cx, &mut link, peer, own_state, wants_all);
            let sent_at = cx.now();
            let response = client.exchange_zones(rpc_context(), message).await;
            response.map(|message| {
                message.map(|message| {
                    link.record_received(message.wants_all);
                    let delay = cx.now().since(sent_at);
                    (message.state, Some((message.zone, message.relayed, delay)))
                })
            })
        };
        match response {
            Ok(Some((peer_state, zone_state))) => {
                usage_query = peer_state.usage_query;
                *contact.last_heard_at = cx.now();
                peer_name = Some(peer_state.usage.name.clone());
                let version = peer_state.configuration_version;
                let zone = zone_state.as_ref().map(|(zone, ..)| zone.as_str());
                apply_peer_state(exchange, peer_state, zone);
                wants_all =
                    zone_state.is_some_and(|(_, relayed, delay)| apply_relayed(cx, relayed, delay));
                if is_fetch_due(cx, version) {
                    if peer_interval.is_some() {
                        // What relays pass on must not wait for a large configuration.
                        let cx = Arc::clone(&exchange.cx);
                        tokio::spawn(fetch_from_peer(cx, contact.address, version));
                    } else {
                        fetch_missing_state(cx, client, version).await;
                    }
                }
                cx.start_inquiry.record_heard(contact.address);
            }
            Ok(None) => return ExchangeEnd::Lost("the process is not an entry".into()),
            Err(RpcError::Shutdown) if exchange_count == 0 && !contact.is_earlier_release => {
                return ExchangeEnd::EarlierRelease;
            }
            Err(e) => return ExchangeEnd::Lost(e.to_string()),
        }
        let interval = find_peer_interval(cx, peer_name.as_deref());
        let interval = interval.unwrap_or_else(|| exchange_interval(cx));
        woken_at = wait_for_next_exchange(cx, interval, &mut news_rx, woken_at).await;
        let peer = peer_name.as_deref().unwrap_or_default();
        if cx.zone_relaying.find_exchange(peer) == Exchange::ThroughRelays {
            return ExchangeEnd::ThroughRelays;
        }
        let max_age = max_contact_age(cx);
        if !contact.starts_exchanges && exchange.contacts.is_recent(cx, contact.address, max_age) {
            return ExchangeEnd::PeerStarts;
        }
        exchange_count = exchange_count.wrapping_add(1);
    }
}

/// Waits for the interval between exchanges, or only until there is news of crashed
/// servers. Returns when there was news; the next one may end a wait an interval after
/// it, so that there are at most twice as many exchanges.
async fn wait_for_next_exchange(
    cx: &GatewayContext,
    interval: Duration,
    news_rx: &mut watch::Receiver<u64>,
    woken_at: Option<MonotonicTime>,
) -> Option<MonotonicTime> {
    let until_wakeable = woken_at.map_or(Duration::ZERO, |at| {
        interval.saturating_sub(cx.now().since(at))
    });
    sleep(until_wakeable).await;
    let rest = interval.saturating_sub(until_wakeable);
    // The sender is in the context, so it still exists.
    if timeout(rest, news_rx.changed()).await.is_err() {
        return None;
    }
    let news_delay = if cx.zone_relaying.is_active() {
        RELAYED_NEWS_DELAY
    } else {
        NEWS_DELAY
    };
    sleep(news_delay).await;
    news_rx.mark_unchanged();
    Some(cx.now())
}

/// Returns whether to fetch the members or the configuration from a peer with
/// `peer_version`, since the store may be unreachable for this entry only: what
/// this entry lacks immediately, a newer configuration once a peer has been
/// ahead for [`PEER_LAG_TOLERANCE`].
fn is_fetch_due(cx: &GatewayContext, peer_version: u64) -> bool {
    let now = cx.now();
    let mut state = cx.lock();
    let held_version = state.configuration_version();
    if peer_version <= held_version {
        return !state.has_members;
    }
    let behind_since = *state.configuration_behind_since.get_or_insert(now);
    held_version == 0 || !state.has_members || now.since(behind_since) >= PEER_LAG_TOLERANCE
}

/// Connects to the peer at `address` and fetches what this entry lacks.
async fn fetch_from_peer(cx: Arc<GatewayContext>, address: SocketAddr, peer_version: u64) {
    // Checked again when fetching; avoids needless connections.
    if cx.peer_fetch.try_lock().is_err() {
        return;
    }
    match connect_mesh(address).await {
        Ok(client) => fetch_missing_state(&cx, &client, peer_version).await,
        Err(e) => log::debug!("peers: connection failed address={address} reason=\"{e}\""),
    }
}

/// Fetches the configuration of a peer with `peer_version` if that is newer, and
/// the members if this entry has none.
async fn fetch_missing_state(cx: &GatewayContext, client: &MeshClient, peer_version: u64) {
    // Only one fetch runs at a time: fetching a large configuration from each
    // peer that has it would occupy a slow link for many seconds.
    let Ok(_fetch_guard) = cx.peer_fetch.try_lock() else {
        return;
    };
    fetch_configuration(cx, client, peer_version).await;
    fetch_members(cx, client).await;
}

async fn fetch_configuration(cx: &GatewayContext, client: &MeshClient, peer_version: u64) {
    let held_version = cx.lock().configuration_version();
    if peer_version <= held_version {
        return;
    }
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + CONFIGURATION_FETCH_TIMEOUT;
    let raw = match client.get_configuration(context, held_version).await {
        Ok(Some(raw)) => raw,
        Ok(None) => return,
        Err(e) => {
            log::warn!("config: not fetched from a peer version={peer_version} reason=\"{e}\"");
            return;
        }
    };
    match cx.ports.source.decode_configuration(&raw) {
        Ok(configuration) => {
            let version = configuration.version;
            let now = cx.now();
            if cx
                .lock()
                .apply_configuration(Arc::new(configuration), raw, now)
            {
                log::info!("config: in force version={version} source=peer");
            }
        }
        Err(e) => {
            log::error!(
                "config: malformed configuration from a peer version={peer_version} reason=\"{e}\""
            )
        }
    }
}

/// Fetches the members from a peer as long as they have not been read from the
/// store, which may be unreachable for this entry only.
async fn fetch_members(cx: &GatewayContext, client: &MeshClient) {
    if cx.lock().has_members {
        return;
    }
    let members = match client.get_members(rpc_context()).await {
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
    log::info!("members: copied from a peer count={}", members.len());
    let changes = state.directory.replace(members, now);
    state.apply_member_changes(changes, now);
    state.has_members = true;
    state.streams.builds.start(now);
}

/// Builds the state to send to a peer. `peer` is its name, if known, and
/// `usage_query` is what it asked for in its last message. With `is_full`, all limits
/// of servers are sent, else those that have changed.
fn build_peer_state(
    cx: &GatewayContext,
    peer: Option<&str>,
    usage_query: UsageQuery,
    is_full: bool,
) -> PeerState {
    let now = cx.now();
    let interval = exchange_interval(cx);
    let news_period = interval * 3 + CONTACT_MARGIN;
    let mut state = cx.lock();
    let max_notices = max_speed_notices(interval, state.quota.count_entries());
    let news = FleetNews {
        quarantine: state.quarantine.build_news(news_period, now),
        leaving: state.dispatcher.list_leaving_runs(),
        limits: state
            .dispatcher
            .server_limits
            .build_update(news_period, is_full, now),
        rollouts: state.rollouts.list().filter_map(|r| r.news(now)).collect(),
        speeds: state.dispatcher.build_speed_update(
            MIN_SPEED_WINDOW.max(interval * SPEED_SENDS),
            interval * SPEED_SENDS,
            max_notices,
            read_wall_clock_ms(),
            now,
        ),
        demand: state
            .admission
            .as_ref()
            .map_or_else(Vec::new, |admission| admission.build_demand(now)),
        departures: Vec::new(),
    };
    PeerState {
        clock_ms: read_wall_clock_ms(),
        address: cx.settings.listen.peers,
        usage: state
            .quota
            .build_usage(&cx.settings.name, cx.incarnation, usage_query, now),
        usage_query: state.quota.build_query(peer.unwrap_or_default(), now),
        configuration_version: state.configuration_version(),
        newest_revisions: state.progress.map(|progress| progress.newest_revision),
        targets: state.dispatcher.list_target_versions(),
        known_entries: Vec::new(),
        is_leaving: cx.is_draining(),
        news,
    }
}

/// Returns how many speeds of servers one message holds, so that those to all peers
/// stay below [`SPEED_BYTES_PER_S`].
fn max_speed_notices(interval: Duration, entry_count: usize) -> usize {
    let window = MIN_SPEED_WINDOW.max(interval * SPEED_SENDS);
    let bytes_per_window = SPEED_BYTES_PER_S * window.as_secs_f64();
    let sends = entry_count.max(1) as f64 * f64::from(SPEED_SENDS);
    let notices = bytes_per_window / (SPEED_NOTICE_BYTES * sends);
    (notices as usize).clamp(1, MAX_SPEED_NOTICES)
}

/// Applies the state that a peer in `zone` sent, and reports the entries that it lists as
/// discovered.
fn apply_peer_state(exchange: &PeerExchange, mut peer_state: PeerState, zone: Option<&str>) {
    let cx = &*exchange.cx;
    if peer_state.usage.name == cx.settings.name {
        return;
    }
    let now = cx.now();
    let owner = ClockOwner::Entry(&peer_state.usage.name);
    cx.clock_offsets
        .record(owner, peer_state.clock_ms, read_wall_clock_ms());
    cx.zone_relaying.record_direct(&peer_state, zone, now);
    cx.known_entries
        .record(&peer_state.usage.name, peer_state.address, now);
    for entry in &peer_state.known_entries {
        if entry.name != cx.settings.name {
            // Fails only during shutdown, when the receiver was dropped.
            let _ = exchange.discovered_tx.send(entry.address);
        }
    }
    let quarantine = take(&mut peer_state.news.quarantine);
    apply_quarantine_news(cx, quarantine, &peer_state.usage.name);
    let mut state = cx.lock();
    let departures = take(&mut peer_state.news.departures);
    state.directory.learn_departures(departures, now);
    for entry in &peer_state.known_entries {
        if entry.name != cx.settings.name {
            state.retries.record_entry(&entry.name, now);
        }
    }
    for run in take(&mut peer_state.news.leaving) {
        if let Some(server) = state.dispatcher.record_leaving(run, now) {
            log::info!(
                "members: leaving server={server} source={}",
                peer_state.usage.name
            );
        }
    }
    let name = &peer_state.usage.name;
    apply_entry_news(cx, &mut state, name, &peer_state.news, now);
    let limits = peer_state.news.limits;
    let notices = limits.map_or_else(Vec::new, |limits| limits.notices);
    for (server, calls_per_s) in state.dispatcher.apply_limit_notices(&notices, now) {
        log_limit(&server, calls_per_s, name);
    }
    state.quota.observe_peer_usage(&peer_state.usage, now);
    state.learn_targets(&peer_state.targets, "peer", now);
    if peer_state.newest_revisions[Area::Operator.index()] > 0 {
        state.record_peer_targets(now);
    }
    resync_if_behind(cx, &mut state, peer_state.newest_revisions, now);
    if peer_state.is_leaving {
        cx.known_entries.remove(&peer_state.usage.name);
    }
}

/// Applies what the entry `name` told, directly or through a relay, of rollouts, of
/// servers' speeds and of its own load, and records that it runs.
pub fn apply_entry_news(
    cx: &GatewayContext,
    state: &mut GatewayState,
    name: &str,
    news: &FleetNews,
    now: MonotonicTime,
) {
    state.retries.record_entry(name, now);
    learn_rollouts(cx, state, &news.rollouts, now);
    if let Some(admission) = &mut state.admission {
        admission.record_demand(name, news.demand.clone(), now);
    }
    if let Some(update) = &news.speeds {
        state.dispatcher.apply_speed_update(name, update, now);
    }
    let calls_per_s = news.limits.as_ref().map(|limits| limits.calls_per_s);
    let limits = &mut state.dispatcher.server_limits;
    limits.record_entry(name, calls_per_s, now);
}

/// Requests a resync of an area if a peer has had a newer record for a while:
/// the watch of this entry may be on a dead connection.
fn resync_if_behind(
    cx: &GatewayContext,
    state: &mut GatewayState,
    newest_revisions: [u64; 2],
    now: MonotonicTime,
) {
    for area in Area::ALL {
        if area == Area::Members && state.follows_peer_members {
            continue;
        }
        let progress = &mut state.progress[area.index()];
        if newest_revisions[area.index()] <= progress.complete_revision {
            continue;
        }
        let behind_since = *progress.behind_since.get_or_insert(now);
        let tolerance = match area {
            Area::Operator => OPERATOR_LAG_TOLERANCE,
            Area::Members => PEER_LAG_TOLERANCE,
        };
        if now.since(behind_since) >= tolerance {
            progress.behind_since = None;
            log::info!(
                "store: resync requested, behind a peer area={area:?} complete={}",
                progress.complete_revision
            );
            cx.request_resync(area);
        }
    }
}

fn rpc_context() -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + RESPONSE_TIMEOUT;
    context
}
