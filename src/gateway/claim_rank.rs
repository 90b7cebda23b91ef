//! Order in which entries claim a task, so that few of them ask the store for it.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the number of known entries that claim the task with the hash `task` before
/// this one.
pub fn rank_of(own_name: &str, peers: &[String], task: u64) -> u32 {
    let score = |name: &str| xxh3_64_with_seed(name.as_bytes(), task);
    let own_score = score(own_name);
    let before = peers.iter().filter(|peer| score(peer) < own_score).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}
