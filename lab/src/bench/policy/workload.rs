//! The two workloads and their sizes.

use std::str::FromStr;
use std::time::Duration;

/// A workload of the bench.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// Drafts read against long maker files.
    Guild,
    /// Service reports from site histories, sensitive to the tail.
    Sabarmati,
}

/// Sizes of a workload.
#[derive(Debug, Clone, Copy)]
pub struct WorkloadParameters {
    /// Drafting servers.
    pub servers: usize,
    /// Entries.
    pub entries: usize,
    /// Requests a second over all accounts.
    pub requests_per_second: f64,
    /// Time in which caches fill; requests of it are not counted.
    pub warm_up: Duration,
    /// Length of the run, with its warm-up.
    pub duration: Duration,
    /// Share of the traffic of each client account.
    pub account_shares: &'static [f64],
    /// Long documents (maker files, site histories) over all accounts.
    pub documents: usize,
    /// Tokens that all prompts of each account begin with.
    pub preamble_tokens: &'static [u32],
    /// Least and most tokens of a document.
    pub document_tokens: (u32, u32),
    /// Sections that may follow a document.
    pub sections: usize,
    /// Least and most tokens of a section.
    pub section_tokens: (u32, u32),
    /// Least and most tokens that only one request has.
    pub unique_tokens: (u32, u32),
    /// Least and most tokens of an answer.
    pub output_tokens: (u32, u32),
    /// Exponent of the popularity of documents.
    pub popularity_exponent: f64,
    /// Time after which some documents change their popularity.
    pub drift_interval: Duration,
    /// Blocks that fit into an engine's cache.
    pub cache_blocks: usize,
    /// One way to a server in the same zone.
    pub same_zone_delay: Duration,
    /// One way to a server in another zone.
    pub other_zone_delay: Duration,
}

impl Workload {
    /// Returns the sizes of the workload.
    pub fn parameters(self) -> WorkloadParameters {
        match self {
            Self::Guild => WorkloadParameters {
                servers: 18,
                entries: 4,
                requests_per_second: 100.0,
                warm_up: Duration::from_secs(40),
                duration: Duration::from_secs(160),
                account_shares: &[0.42, 0.3, 0.16, 0.08, 0.04],
                documents: 300,
                preamble_tokens: &[1_100, 2_300, 700, 1_500, 400],
                document_tokens: (6_000, 20_000),
                sections: 3,
                section_tokens: (800, 2_400),
                unique_tokens: (80, 500),
                output_tokens: (80, 320),
                popularity_exponent: 1.1,
                drift_interval: Duration::from_secs(30),
                cache_blocks: 5_600,
                same_zone_delay: Duration::from_micros(200),
                other_zone_delay: Duration::from_micros(500),
            },
            Self::Sabarmati => WorkloadParameters {
                servers: 12,
                entries: 3,
                requests_per_second: 90.0,
                warm_up: Duration::from_secs(40),
                duration: Duration::from_secs(160),
                account_shares: &[0.4, 0.28, 0.18, 0.1, 0.04],
                documents: 220,
                preamble_tokens: &[1_500, 600, 2_200, 900, 300],
                document_tokens: (3_000, 10_000),
                sections: 3,
                section_tokens: (400, 1_600),
                unique_tokens: (40, 400),
                output_tokens: (60, 240),
                popularity_exponent: 1.1,
                drift_interval: Duration::from_secs(20),
                cache_blocks: 3_200,
                same_zone_delay: Duration::from_micros(250),
                other_zone_delay: Duration::from_micros(750),
            },
        }
    }
}

impl FromStr for Workload {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "guild" => Ok(Self::Guild),
            "sabarmati" => Ok(Self::Sabarmati),
            _ => Err("known: guild, sabarmati".into()),
        }
    }
}
