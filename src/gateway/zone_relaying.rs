//! Passes on the state of entries between availability zones.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::context::GatewayContext;
use super::exchange_peer_state::apply_entry_news;
use super::share_quarantine::apply_quarantine_news;
use crate::core::MonotonicTime;
use crate::core::fleet::Exchange;
use crate::core::fleet::ExchangePlan;
use crate::core::fleet::HeardEntry;
use crate::core::fleet::RelayLink;
use crate::core::fleet::RelayedOutcome;
use crate::core::fleet::RelayedUsage;
use crate::core::fleet::ZoneRelays;
use crate::mesh::FleetNews;
use crate::mesh::PeerState;
use crate::mesh::RelayedEntry;
use crate::mesh::ZoneExchange;

/// Interval between two plans. It adds to the age from which entries exchange directly.
const PLAN_INTERVAL: Duration = Duration::from_millis(40);

/// Time for which the news of an entry is passed on after it was last heard.
const NEWS_MAX_AGE: Duration = Duration::from_millis(600);

/// What an entry knows of the zones of others, and the plan that follows.
#[derive(Debug)]
pub struct ZoneRelaying {
    relays: Mutex<ZoneRelays>,
    plan: watch::Sender<Arc<ExchangePlan>>,
    /// The news in the last message of each entry, and when it was received.
    news: Mutex<HashMap<String, (FleetNews, MonotonicTime)>>,
}

impl ZoneRelaying {
    /// Creates the state of an entry that has heard no other one.
    pub fn new(name: &str, zone: &str) -> Self {
        Self {
            relays: Mutex::new(ZoneRelays::new(name, zone)),
            plan: watch::channel(Arc::default()).0,
            news: Mutex::default(),
        }
    }

    /// Returns a receiver of the plan.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ExchangePlan>> {
        self.plan.subscribe()
    }

    /// Returns how the state is exchanged with a peer.
    pub fn find_exchange(&self, peer: &str) -> Exchange {
        self.plan.borrow().find(peer)
    }

    /// Returns whether entries exchange through relays.
    pub fn is_active(&self) -> bool {
        !self.plan.borrow().relays.is_empty()
    }

    /// Returns the zone of an entry, if it is known.
    pub fn find_zone(&self, name: &str) -> Option<String> {
        self.lock().find_zone(name).map(str::to_owned)
    }

    /// Records that the host of an entry refuses connections.
    pub fn record_stopped_entry(&self, name: &str) {
        self.lock().record_stopped_entry(name);
    }

    /// Records a message that an entry sent itself; `zone` is `None` for an entry of an
    /// earlier release.
    pub fn record_direct(&self, state: &PeerState, zone: Option<&str>, now: MonotonicTime) {
        let heard = HeardEntry {
            name: &state.usage.name,
            incarnation: state.usage.incarnation,
            is_leaving: state.is_leaving,
        };
        self.lock().record_direct(heard, zone, now);
        if self.is_active() {
            self.record_news(heard.name, &state.news, now);
        }
    }

    fn record_news(&self, name: &str, news: &FleetNews, heard_at: MonotonicTime) {
        let mut all = self.news.lock().unwrap_or_else(PoisonError::into_inner);
        if news.is_empty() {
            all.remove(name);
        } else {
            all.insert(name.into(), (news.clone(), heard_at));
        }
    }

    /// Returns the news of an entry that is passed on, with its ages as of now.
    fn build_news(&self, name: &str, now: MonotonicTime) -> FleetNews {
        let all = self.news.lock().unwrap_or_else(PoisonError::into_inner);
        let news = all
            .get(name)
            .filter(|(_, at)| now.since(*at) < NEWS_MAX_AGE);
        news.map(|(news, at)| news.to_passed_on(now.since(*at)))
            .unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, ZoneRelays> {
        self.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Decides regularly with whom this entry exchanges directly, and logs which relays
/// were chosen.
pub async fn plan_zone_exchanges(cx: Arc<GatewayContext>) {
    loop {
        sleep(PLAN_INTERVAL).await;
        let relaying = &cx.zone_relaying;
        let plan = {
            let mut relays = relaying.lock();
            if cx.is_draining() {
                relays.record_stop();
            }
            relays.plan(cx.now())
        };
        relaying.plan.send_if_modified(|current| {
            if **current == plan {
                return false;
            }
            if current.relays != plan.relays {
                let mut relays: Vec<_> = plan.relays.iter().collect();
                relays.sort_unstable();
                log::info!(
                    "relays: chosen zone={} entries={} relays={relays:?}",
                    cx.settings.zone,
                    plan.peers.len() + 1
                );
            }
            let list_direct = |plan: &ExchangePlan| {
                let is_direct = |exchange: &&Exchange| **exchange == Exchange::Direct;
                plan.peers.values().filter(is_direct).count()
            };
            let (before, after) = (list_direct(current), list_direct(&plan));
            // Only the first and the last one, since entries come and go one by one.
            if (before == 0) != (after == 0) {
                log::info!("relays: direct exchanges between zones count={after} before={before}");
            }
            *current = Arc::new(plan);
            true
        });
    }
}

/// Adds to a message what this entry passes on to its receiver.
pub fn build_zone_exchange(
    cx: &GatewayContext,
    link: &mut RelayLink,
    peer: Option<&str>,
    mut state: PeerState,
    wants_all: bool,
) -> ZoneExchange {
    let now = cx.now();
    state.targets = link.select_targets(state.targets);
    let relaying = &cx.zone_relaying;
    let plan = Arc::clone(&relaying.plan.borrow());
    let relayed = match peer {
        Some(peer) if relaying.is_active() => {
            let (state, relays) = (cx.lock(), relaying.lock());
            RelayedUsage::list(&relays, &plan, &state.quota, link, peer, now)
        }
        _ => Vec::new(),
    };
    let relayed = relayed.into_iter().map(|relayed| RelayedEntry {
        news: relaying.build_news(&relayed.usage.name, now),
        // Rounded up: an age that is too low would hide silence.
        age_ms: u32::try_from(relayed.age.as_millis() + 1).unwrap_or(u32::MAX),
        is_leaving: relayed.is_leaving,
        usage: relayed.usage,
    });
    ZoneExchange {
        wants_all,
        zone: cx.settings.zone.clone(),
        state,
        relayed: relayed.collect(),
    }
}

/// Applies what a relay passed on. `delay` is how long the message may have been on its
/// way. Returns whether the relay should send everything again.
pub fn apply_relayed(cx: &GatewayContext, relayed: Vec<RelayedEntry>, delay: Duration) -> bool {
    let now = cx.now();
    let mut wants_all = false;
    for entry in relayed {
        if entry.usage.name == cx.settings.name {
            continue;
        }
        let age = Duration::from_millis(u64::from(entry.age_ms)) + delay;
        let relayed = RelayedUsage {
            usage: entry.usage,
            age,
            is_leaving: entry.is_leaving,
        };
        let outcome = {
            let (mut state, mut relays) = (cx.lock(), cx.zone_relaying.lock());
            relayed.apply(&mut relays, &mut state.quota, now)
        };
        if matches!(outcome, RelayedOutcome::UnknownRun | RelayedOutcome::TooOld) {
            continue;
        }
        wants_all |= outcome == RelayedOutcome::UnknownBase;
        let name = &relayed.usage.name;
        let heard_at = now.saturating_sub(age);
        if entry.is_leaving {
            cx.known_entries.remove(name);
        } else {
            cx.known_entries.refresh(name, heard_at);
        }
        cx.zone_relaying.record_news(name, &entry.news, heard_at);
        apply_entry_news(cx, &mut cx.lock(), name, &entry.news, now);
        apply_quarantine_news(cx, entry.news.quarantine, name);
    }
    wants_all
}
