//! Workloads of the policy bench and their parameters.

use std::str::FromStr;
use std::time::Duration;

/// Workload named on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// Drafts written from long files of violin makers.
    Guild,
    /// Service reports written from site histories. Sensitive to tail latency.
    Sabarmati,
}

/// Parameters of a workload.
#[derive(Debug, Clone, Copy)]
pub struct WorkloadParameters {
    /// Number of servers.
    pub servers: usize,
    /// Number of entries.
    pub entries: usize,
    /// Requests per second over all accounts.
    pub requests_per_second: f64,
    /// Time for the caches to fill. Requests that arrive in it are not measured.
    pub warm_up: Duration,
    /// Length of the run including the warm-up.
    pub duration: Duration,
    /// Share of each client account in the traffic.
    pub account_shares: &'static [f64],
    /// Number of long documents (maker files, site histories) over all accounts.
    pub documents: usize,
    /// Length of the preamble that all prompts of an account share, by account.
    pub preamble_tokens: &'static [u32],
    /// Shortest and longest document in tokens.
    pub document_tokens: (u32, u32),
    /// Number of sections, one of which follows the document in each prompt.
    pub sections: usize,
    /// Shortest and longest section in tokens.
    pub section_tokens: (u32, u32),
    /// Fewest and most tokens at the end of a prompt that no other prompt has.
    pub unique_tokens: (u32, u32),
    /// Shortest and longest response in tokens.
    pub output_tokens: (u32, u32),
    /// Power of its rank with which the popularity of a document falls.
    pub popularity_exponent: f64,
    /// Time between two changes of the popularity order.
    pub drift_interval: Duration,
    /// Cache size of an engine in blocks.
    pub cache_blocks: usize,
    /// One-way delay between entry and server in the same availability zone.
    pub same_zone_delay: Duration,
    /// One-way delay between entry and server in different availability zones.
    pub other_zone_delay: Duration,
}

impl Workload {
    /// Returns the parameters of the workload.
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
            _ => Err("expected one of guild, sabarmati".into()),
        }
    }
}
