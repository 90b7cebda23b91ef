//! Benches: one bench a file or folder, each returning its figures.

pub mod config;
pub mod decide;
mod overhead;
pub mod policy;
pub mod rate;
mod relay_codec;

use serde_json::Value;

/// A bench that the command line can run.
#[derive(Debug, Clone, Copy)]
pub struct Bench {
    /// Name on the command line.
    pub name: &'static str,
    /// Runs the bench with a seed and returns its figures as one JSON object;
    /// progress goes to standard error.
    pub run: fn(seed: u64) -> Value,
}

/// All benches.
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

/// Finds a bench by name.
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
