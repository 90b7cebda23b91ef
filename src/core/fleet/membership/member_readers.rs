//! Chooses the entries of a large fleet that read the list of backend servers
//! from the store; the others learn it from them.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of entries up to which all of them read the store.
pub const MAX_READING_ENTRIES: usize = 32;

/// Number of entries that read the store in a larger fleet. Several may be lost
/// at once before the others read the store themselves.
const READER_COUNT: usize = 6;

/// Source of the list of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberSource {
    /// The store itself.
    Store,
    /// Names of peers that read the store, the preferred one first.
    Peers(Vec<String>),
}

/// Chooses the source for the entry `own_name` that knows `peers`, by rendezvous
/// hashing (Thaler and Ravishankar, 1998): all entries that know the same peers
/// choose the same readers, and followers spread over them.
pub fn choose_member_source(own_name: &str, peers: &[String]) -> MemberSource {
    if peers.len() < MAX_READING_ENTRIES {
        return MemberSource::Store;
    }
    let mut readers: Vec<&str> = peers.iter().map(String::as_str).collect();
    readers.push(own_name);
    readers.sort_unstable_by_key(|name| (xxh3_64(name.as_bytes()), *name));
    readers.dedup();
    readers.truncate(READER_COUNT);
    if readers.contains(&own_name) {
        return MemberSource::Store;
    }
    let own_seed = xxh3_64(own_name.as_bytes());
    readers.sort_unstable_by_key(|name| xxh3_64_with_seed(name.as_bytes(), own_seed));
    MemberSource::Peers(readers.into_iter().map(str::to_owned).collect())
}
