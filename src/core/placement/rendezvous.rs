//! Rendezvous hashing of prefixes to servers (Thaler and Ravishankar, 1998).

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::BlockHash;

/// Returns the score of a server for a prefix; the server with the highest
/// score wins. All entries compute the same scores, and the loss of a server
/// moves only the prefixes that it had won. `server_seed` is a hash of the
/// server's name.
pub fn score_rendezvous(prefix: BlockHash, server_seed: u64) -> u64 {
    xxh3_64_with_seed(&prefix.0.to_le_bytes(), server_seed)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn find_winner(prefix: u64, servers: impl Iterator<Item = u64>) -> Option<u64> {
        servers.max_by_key(|&server| score_rendezvous(BlockHash(prefix), server))
    }

    #[test]
    fn score_rendezvous_lost_server_moves_only_its_prefixes() {
        for prefix in 0..500 {
            let before = find_winner(prefix, 0..10);
            let after = find_winner(prefix, (0..10).filter(|&server| server != 3));
            assert!(before == Some(3) || before == after);
        }
    }

    #[test]
    fn score_rendezvous_spreads_evenly() {
        let mut counts = [0; 10];
        for prefix in 0..10_000 {
            let winner = find_winner(prefix, 0..10).expect("there are servers");
            counts[winner as usize] += 1;
        }
        assert!(counts.iter().all(|count| (800..1_200).contains(count)));
    }
}
