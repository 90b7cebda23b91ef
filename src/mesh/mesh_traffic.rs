//! Counts the control messages of this process.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::message_kind::KIND_NAMES;

/// Maximum number of hosts that are counted separately; the hosts beyond share one
/// count. A fleet of 350 entries and 2,000 servers fits.
const MAX_HOSTS: usize = 4_096;

/// Bytes of the length before each message.
const LENGTH_BYTES: u64 = 4;

/// Messages exchanged with one host, by kind and direction.
#[derive(Debug, Default)]
pub(super) struct HostTraffic {
    sent: [KindTraffic; KIND_NAMES.len()],
    received: [KindTraffic; KIND_NAMES.len()],
}

#[derive(Debug, Default)]
struct KindTraffic {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl KindTraffic {
    fn count(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes
            .fetch_add(bytes as u64 + LENGTH_BYTES, Ordering::Relaxed);
    }
}

impl HostTraffic {
    pub(super) fn count_sent(&self, kind: usize, bytes: usize) {
        self.sent[kind].count(bytes);
    }

    pub(super) fn count_received(&self, kind: usize, bytes: usize) {
        self.received[kind].count(bytes);
    }
}

/// Number and bytes of the messages of one kind that were exchanged with one host since
/// the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageCount {
    /// The other host; `None` for hosts that share one count.
    pub host: Option<IpAddr>,
    /// Name of the kind: the method, or `other`.
    pub kind: &'static str,
    /// Whether this process sent the messages; otherwise it received them.
    pub is_sent: bool,
    /// Number of messages.
    pub messages: u64,
    /// Bytes of the messages with their lengths, without headers of TCP and IP.
    pub bytes: u64,
}

type Hosts = HashMap<Option<IpAddr>, Arc<HostTraffic>>;

/// One table for the process, since connections are opened in many places.
static HOSTS: LazyLock<Mutex<Hosts>> = LazyLock::new(Mutex::default);

/// Returns the counters of a host.
pub(super) fn count_for_host(host: Option<IpAddr>) -> Arc<HostTraffic> {
    let mut hosts = HOSTS.lock().unwrap_or_else(PoisonError::into_inner);
    let is_full = hosts.len() >= MAX_HOSTS;
    let key = host.filter(|_| !is_full || hosts.contains_key(&host));
    Arc::clone(hosts.entry(key).or_default())
}

/// Lists the messages of this process by host, kind and direction, without those of
/// which there were none.
pub fn list_message_counts() -> Vec<MessageCount> {
    let hosts = HOSTS.lock().unwrap_or_else(PoisonError::into_inner);
    let mut counts = Vec::new();
    for (host, traffic) in hosts.iter() {
        for (is_sent, kinds) in [(true, &traffic.sent), (false, &traffic.received)] {
            for (kind, counted) in KIND_NAMES.into_iter().zip(kinds) {
                let messages = counted.messages.load(Ordering::Relaxed);
                if messages > 0 {
                    counts.push(MessageCount {
                        host: *host,
                        kind,
                        is_sent,
                        messages,
                        bytes: counted.bytes.load(Ordering::Relaxed),
                    });
                }
            }
        }
    }
    counts
}
