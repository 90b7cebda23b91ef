//! Choice of the entries that watch the store for newer rules, and the rate at
//! which all entries poll it.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Entries that watch the store at a time.
const WATCHER_COUNT: usize = 3;
/// Mean time between polls of the store by all entries together.
const FLEET_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Returns whether an entry is one of the few that watch the store: those whose
/// names have the lowest hashes. Entries with different lists may disagree.
/// Additional watchers do no harm, and without any the polls still find newer
/// rules.
pub fn is_watcher<'a>(name: &str, entries: impl Iterator<Item = &'a str>) -> bool {
    let own_hash = xxh3_64(name.as_bytes());
    let lower_ranked = entries
        .filter(|entry| *entry != name)
        .filter(|entry| xxh3_64(entry.as_bytes()) < own_hash)
        .count();
    lower_ranked < WATCHER_COUNT
}

/// Returns the mean time between an entry's polls of the store. It grows with
/// the number of entries, so that their total rate is constant.
pub fn poll_interval(entries: usize) -> Duration {
    let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
    FLEET_POLL_INTERVAL.saturating_mul(entries)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn count_watchers(entries: usize) -> usize {
        let names: Vec<String> = (0..entries).map(|index| format!("e{index}")).collect();
        let is_chosen =
            |name: &&String| is_watcher(name.as_str(), names.iter().map(String::as_str));
        names.iter().filter(is_chosen).count()
    }

    #[test]
    fn is_watcher_few_of_many() {
        assert_eq!(count_watchers(350), WATCHER_COUNT);
        assert_eq!(count_watchers(2), 2);
        assert!(is_watcher("e1", std::iter::empty()));
    }

    #[test]
    fn poll_interval_fleet_rate() {
        assert_eq!(poll_interval(0), FLEET_POLL_INTERVAL);
        assert_eq!(poll_interval(350), 350 * FLEET_POLL_INTERVAL);
    }
}
