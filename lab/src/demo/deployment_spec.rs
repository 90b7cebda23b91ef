//! The deployments that the demo shows.

use std::time::Duration;

/// A client account of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct AccountSpec {
    /// Name.
    pub name: &'static str,
    /// Share of the traffic.
    pub share: f64,
    /// Tokens a second that it may use.
    pub tokens_per_second: u64,
}

/// A deployment and its traffic.
#[derive(Debug, Clone)]
pub struct DeploymentSpec {
    /// Name.
    pub name: &'static str,
    /// Availability zones.
    pub zones: &'static [&'static str],
    /// Workers of the pool `drafting`, which are model engines.
    pub engine_count: usize,
    /// Pool of plain services.
    pub service_pool: &'static str,
    /// Workers of that pool.
    pub service_count: usize,
    /// Client accounts.
    pub accounts: [AccountSpec; 5],
    /// Files of each account that prompts begin with.
    pub files_per_account: usize,
    /// Length of what all prompts of an account share, in tokens.
    pub preamble_tokens: usize,
    /// Length of a file, in tokens.
    pub file_tokens: usize,
    /// Length of the question at the end of a prompt, in tokens.
    pub question_tokens: usize,
    /// Length of an answer, in tokens.
    pub output_tokens: u32,
    /// Requests a second.
    pub requests_per_second: f64,
    /// Cache of each engine, in blocks.
    pub cache_blocks: usize,
    /// Time that new weights take to load.
    pub weight_load_time: Duration,
    /// Weight loads that may run at once without being slower.
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
    /// A commissions desk of violin makers: few, long files.
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

    /// A filter service: many, shorter site histories.
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
