//! The two deployments of the demo and their traffic.

use std::time::Duration;

/// A client account of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct AccountSpec {
    /// Account name in the rules.
    pub name: &'static str,
    /// Share of the deployment's requests, from 0 to 1.
    pub share: f64,
    /// Rate limit in tokens per second.
    pub tokens_per_second: u64,
}

/// Sizes of a deployment and of its traffic.
#[derive(Debug, Clone)]
pub struct DeploymentSpec {
    /// Name, which prefixes the names of all processes and keys.
    pub name: &'static str,
    /// Availability zones, each with one entry.
    pub zones: &'static [&'static str],
    /// Number of model engines in the pool `drafting`.
    pub engine_count: usize,
    /// Name of the pool of plain services.
    pub service_pool: &'static str,
    /// Number of servers in that pool.
    pub service_count: usize,
    /// Client accounts.
    pub accounts: [AccountSpec; 5],
    /// Number of files of each account. Each prompt holds one after the preamble.
    pub files_per_account: usize,
    /// Length of the preamble that all prompts of an account share, in tokens.
    pub preamble_tokens: usize,
    /// Length of a file, in tokens.
    pub file_tokens: usize,
    /// Length of the question at the end of a prompt, in tokens.
    pub question_tokens: usize,
    /// Length of a response, in tokens.
    pub output_tokens: u32,
    /// Mean requests per second.
    pub requests_per_second: f64,
    /// Cache size of each engine, in blocks.
    pub cache_blocks: usize,
    /// Time that an engine takes to load new weights.
    pub weight_load_time: Duration,
    /// Weight loads that may run at once without slowing each other down.
    pub concurrent_weight_loads: u32,
}

const TRAFFIC_SHARES: [f64; 5] = [0.40, 0.30, 0.15, 0.10, 0.05];
const TOTAL_TOKENS_PER_SECOND: u64 = 400_000;

fn make_accounts(names: [&'static str; 5]) -> [AccountSpec; 5] {
    let mut shares = TRAFFIC_SHARES.into_iter();
    names.map(|name| {
        let share = shares.next().unwrap_or_default();
        AccountSpec {
            name,
            share,
            tokens_per_second: (share * TOTAL_TOKENS_PER_SECOND as f64) as u64,
        }
    })
}

impl DeploymentSpec {
    /// Deployment of a violin makers' commissions desk: few, long files.
    pub fn guild() -> Self {
        Self {
            name: "guild",
            zones: &["kathmandu-a", "kathmandu-b", "kathmandu-c"],
            engine_count: 18,
            service_pool: "booking",
            service_count: 3,
            accounts: make_accounts(["workshops", "players", "schools", "orchestras", "repairs"]),
            files_per_account: 5,
            preamble_tokens: 1_024,
            file_tokens: 5_120,
            question_tokens: 192,
            output_tokens: 32,
            requests_per_second: 14.0,
            cache_blocks: 640,
            weight_load_time: Duration::from_millis(300),
            concurrent_weight_loads: 3,
        }
    }

    /// Deployment of a filter service: many, shorter site histories.
    pub fn sabarmati() -> Self {
        Self {
            name: "sabarmati",
            zones: &["gujarat-a", "gujarat-b", "gujarat-c"],
            engine_count: 12,
            service_pool: "dispatch",
            service_count: 3,
            accounts: make_accounts(["hospitals", "pharma", "textiles", "tagging", "lookups"]),
            files_per_account: 12,
            preamble_tokens: 768,
            file_tokens: 2_048,
            question_tokens: 128,
            output_tokens: 24,
            requests_per_second: 16.0,
            cache_blocks: 640,
            weight_load_time: Duration::from_millis(200),
            concurrent_weight_loads: 2,
        }
    }
}
