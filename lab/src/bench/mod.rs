//! Benchmarks that `teaseldrum-lab bench` runs. Each returns its figures as JSON.

pub mod config;
pub mod decide;
mod overhead;
pub mod policy;
pub mod rate;
mod relay_codec;

use serde_json::Value;

/// A bench without options of its own, which the command line finds by name.
#[derive(Debug, Clone, Copy)]
pub struct Bench {
    /// Subcommand name, unique among [`BENCHES`].
    pub name: &'static str,
    /// Runs the bench with a seed and returns its figures as one JSON object.
    /// Progress goes to standard error.
    pub run: fn(seed: u64) -> Value,
}

/// Benches without options of their own. The others are subcommands of
/// `BenchCommand`.
pub const BENCHES: &[Bench] = &[
    Bench {
        name: "overhead",
        run: overhead::run,
    },
    Bench {
        name: "relay-codec",
        run: relay_codec::run,
    },
];

/// Returns the bench of [`BENCHES`] with this name.
pub fn find_bench(name: &str) -> Option<&'static Bench> {
    BENCHES.iter().find(|bench| bench.name == name)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn find_bench_names_differ() {
        for bench in BENCHES {
            let count = BENCHES.iter().filter(|other| other.name == bench.name);
            assert_eq!(count.count(), 1, "{}", bench.name);
        }
    }
}
