//! What it costs to send a call to a server, in milliseconds of delay that
//! are as bad.

use std::net::SocketAddr;

use super::BackendView;
use super::Prompt;
use super::fetch_plan::FetchPlan;
use crate::core::MonotonicTime;

/// Prompt tokens that an engine reads in a millisecond. The engines of both
/// deployments read 85 to 101.
const PREFILL_TOKENS_PER_MS: f64 = 85.0;

/// Time for a pair of prompt tokens that attend to each other: 0.18 ms for a
/// million.
const ATTENTION_MS_PER_PAIR: f64 = 0.18e-6;

/// Time to read the prompt of a waiting call of which nothing is known, in
/// milliseconds: that of 4,000 tokens.
pub(super) const MEAN_READING_MS: f64 = 47.0;

/// Tokens fetched in a millisecond. A link of 1,100 Gbit/s carries 420 tokens
/// of 328 KB, but all engines share the store's, and few that of an engine.
const STORE_TOKENS_PER_MS: f64 = 60.0;
const ENGINE_TOKENS_PER_MS: f64 = 150.0;

/// Cost of reading a token again that another engine has read, in
/// milliseconds of delay that are as bad.
pub(super) const READ_AGAIN_MS_PER_TOKEN: f64 = 0.12;

/// Cost of an engine that is not the first choice for a part that nobody has
/// read, in milliseconds: entries that choose alone agree by it.
const NOT_HOME_MS: f64 = 100.0;

/// Cost of each call that runs beside, in milliseconds: it lengthens steps.
pub(super) const BESIDE_MS: f64 = 0.6;

/// Time that a call keeps a slot, in milliseconds, when slots are full.
pub(super) const ENGINE_RUN_MS: f64 = 350.0;
pub(super) const PLAIN_RUN_MS: f64 = 70.0;

/// Cost of a server in another availability zone, in milliseconds.
pub(super) const OTHER_ZONE_MS: f64 = 2.0;

/// Cost of a server all of whose calls fail, in milliseconds.
pub(super) const FAILING_MS: f64 = 1_500.0;

/// Cost of an engine without room for the prompt in memory, in milliseconds.
const NO_ROOM_MS: f64 = 600.0;

/// Time that an engine takes for a token of an answer, in milliseconds.
const MS_PER_OUTPUT_TOKEN: f64 = 4.5;

/// Cost of a millisecond of answer that is made under changed weights, in
/// milliseconds: a whole answer of 1,500 ms is worth about 600.
const LOST_OUTPUT_COST: f64 = 0.4;

/// Predicts the time to read the last `prefill` tokens of a prompt: each also
/// attends to all tokens before it.
pub(super) fn prefill_ms(prompt: &Prompt, prefill: u32) -> f64 {
    let (all, read) = (f64::from(prompt.prompt_tokens), f64::from(prefill));
    let pairs = read * (all - read / 2.0).max(0.0);
    read / PREFILL_TOKENS_PER_MS + pairs * ATTENTION_MS_PER_PAIR
}

/// Tokens that are fetched in a millisecond from a source.
pub(super) fn fetch_rate(source: Option<SocketAddr>, store: Option<SocketAddr>) -> f64 {
    if source == store {
        STORE_TOKENS_PER_MS
    } else {
        ENGINE_TOKENS_PER_MS
    }
}

/// Predicts the wait for a slot of a server at which all are taken.
pub(super) fn wait_for_slot(load: f64, slots: u32, run_ms: f64) -> f64 {
    let slots = f64::from(slots.max(1));
    ((load + 1.0 - slots).max(0.0) / slots) * run_ms
}

/// Rates an engine for shared parts that nobody has read.
pub(super) fn rate_home(plan: &FetchPlan, is_home: bool) -> f64 {
    if plan.shared_first == 0 || is_home {
        0.0
    } else {
        NOT_HOME_MS
    }
}

/// Rates what a call would make after a change of weights under it, which is
/// worth nothing.
pub(super) fn rate_switch(
    prompt: &Prompt,
    start_ms: f64,
    view: &BackendView,
    now: MonotonicTime,
) -> f64 {
    let Some(time_until_switch) = view.time_until_switch(now) else {
        return 0.0;
    };
    let end_ms = start_ms + f64::from(prompt.expected_output_tokens) * MS_PER_OUTPUT_TOKEN;
    let lost_ms = end_ms - time_until_switch.as_secs_f64() * 1_000.0;
    lost_ms.max(0.0) * LOST_OUTPUT_COST
}

/// Rates an engine without room for a prompt in memory.
pub(super) fn rate_memory(prompt: &Prompt, view: &BackendView, now: MonotonicTime) -> f64 {
    let needed = u64::from(prompt.prompt_tokens);
    match view.free_tokens(now) {
        Some(free) if free < needed => NO_ROOM_MS,
        _ => 0.0,
    }
}
