//! Measures the time of one placement decision of an entry, and the memory of
//! its placement state.

use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use teaseldrum::cli::Exit;
use teaseldrum::core::LoadReport;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::ServerName;
use teaseldrum::core::placement::BlockHash;
use teaseldrum::core::placement::CostModel;
use teaseldrum::core::placement::PREFIX_TABLE_CAPACITY;
use teaseldrum::core::placement::PlanRequest;
use teaseldrum::core::placement::Planner;
use teaseldrum::core::placement::PromptPrefix;
use teaseldrum::core::placement::ServerKey;
use teaseldrum::core::placement::ServerView;

const POOL: &str = "drafting";
const ZONES: usize = 16;
/// Decisions that fill the prefix table before any is measured.
const WARM_UP_DECISIONS: usize = 20_000;
const MEASURED_DECISIONS: usize = 20_000;
/// Distinct shared prefixes among the prompts.
const DOCUMENTS: u64 = 5_000;
/// Blocks that all prompts of one document begin with.
const SHARED_BLOCKS: u64 = 200;
/// Blocks at the end of a prompt that no other prompt has.
const UNIQUE_BLOCKS: u64 = 8;
/// Virtual time between two requests.
const ARRIVAL_GAP: Duration = Duration::from_millis(20);
const MAX_DECISION_NANOS: u64 = 10_000_000_000;

/// Measure the time and memory of one placement decision among many servers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "decide")]
pub struct DecideCommand {
    /// servers of the pool
    #[argh(option, default = "2_000")]
    servers: usize,
    /// random seed
    #[argh(option, default = "1")]
    seed: u64,
    /// print one JSON object as the last line
    #[argh(switch)]
    json: bool,
}

impl DecideCommand {
    /// Runs the bench and prints its figures as JSON.
    pub fn run(self) -> Exit {
        let figures = measure_decisions(self.servers, self.seed);
        if self.json {
            println!("{figures}");
        } else {
            println!("{figures:#}");
        }
        Exit::Success
    }
}

fn measure_decisions(servers: usize, seed: u64) -> Value {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut planner = Planner::new("zone-0", CostModel::default(), PREFIX_TABLE_CAPACITY);
    let keys: Vec<ServerKey> = (0..servers)
        .map(|number| {
            let name = ServerName::from(format!("server-{number}").as_str());
            let zone = format!("zone-{}", number % ZONES);
            planner.add_server(ServerView::new(name, POOL, &zone))
        })
        .collect();
    let mut times =
        Histogram::<u64>::new_with_bounds(1, MAX_DECISION_NANOS, 3).expect("valid bounds");
    let mut now = MonotonicTime::ZERO;
    for number in 0..WARM_UP_DECISIONS + MEASURED_DECISIONS {
        now = now + ARRIVAL_GAP;
        let prefix = draw_prefix(&mut rng, number as u64);
        let started = Instant::now();
        let server = decide(&mut planner, &prefix, now);
        let elapsed = started.elapsed();
        if number >= WARM_UP_DECISIONS {
            times.saturating_record(elapsed.as_nanos() as u64);
        }
        if let Some(server) = server {
            planner.record_end(server);
        }
        if !keys.is_empty() {
            let reporting = keys[rng.random_range(0..keys.len())];
            planner.observe_load(reporting, draw_load(&mut rng), now);
        }
    }
    let state = planner.memory_bytes();
    let per_server = planner.server_bytes() as f64 / servers.max(1) as f64;
    json!({
        "servers": servers,
        "decisions": MEASURED_DECISIONS,
        "p50_us": times.value_at_quantile(0.5) as f64 / 1_000.0,
        "p99_us": times.value_at_quantile(0.99) as f64 / 1_000.0,
        "bytes_per_server": per_server.round(),
        "placement_state_bytes": state,
    })
}

fn decide(planner: &mut Planner, prefix: &PromptPrefix, now: MonotonicTime) -> Option<ServerKey> {
    let request = PlanRequest {
        pool: POOL,
        prefix: Some(prefix),
        tried: &[],
    };
    let plan = planner.plan(&request, now)?;
    planner.record_sent(&plan, Some(prefix), now);
    Some(plan.server)
}

fn draw_prefix(rng: &mut StdRng, request_number: u64) -> PromptPrefix {
    let document = rng.random_range(0..DOCUMENTS) << 32;
    let shared = (0..SHARED_BLOCKS).map(|block| BlockHash(mix_bits(document + block)));
    let unique =
        (0..UNIQUE_BLOCKS).map(|block| BlockHash(mix_bits((request_number << 40) + block)));
    let tokens = (SHARED_BLOCKS + UNIQUE_BLOCKS) as u32 * 64;
    PromptPrefix::of_blocks(tokens, shared.chain(unique))
}

/// Maps a number to well-distributed 64 bits, like the hash of a block.
fn mix_bits(number: u64) -> u64 {
    number
        .wrapping_add(1)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(29)
        .wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

fn draw_load(rng: &mut StdRng) -> LoadReport {
    LoadReport {
        running: rng.random_range(0..40),
        queued: rng.random_range(0..4),
        queued_prompt_tokens: rng.random_range(0..20_000),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MAX_STATE_BYTES: u64 = 32 * 1024 * 1024;

    #[test]
    fn measure_decisions_state_is_bounded() {
        let figures = measure_decisions(200, 1);
        let per_server = figures["bytes_per_server"]
            .as_f64()
            .expect("the bytes per server are a number");
        let learned = figures["placement_state_bytes"]
            .as_u64()
            .expect("the state bytes are a whole number");
        let at_target = learned as f64 + 2_000.0 * per_server;
        assert!(at_target <= MAX_STATE_BYTES as f64, "{at_target}");
    }
}
