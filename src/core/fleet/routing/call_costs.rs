//! Cost model for choosing a backend server. Every cost is stated in
//! milliseconds of equivalent delay, so that costs can be added.

use super::BackendView;
use super::fetch_plan::FetchPlan;
use crate::core::MonotonicTime;
use crate::core::fleet::Prompt;

/// Prompt tokens that an engine prefills per millisecond; engines in use reach
/// 85 to 101.
const PREFILL_TOKENS_PER_MS: f64 = 85.0;

/// Prefill time for each pair of tokens that attend to each other: 0.18 ms per
/// million pairs.
const ATTENTION_MS_PER_PAIR: f64 = 0.18e-6;

/// Assumed time to prefill the prompt of a queued call of which nothing is
/// known: that of 4,000 tokens.
pub(super) const ASSUMED_PREFILL_MS: f64 = 47.0;

/// Tokens fetched per millisecond. A link of 1,100 Gbit/s carries 420 tokens of
/// 328 KB per millisecond. The rates are lower, because concurrent fetches
/// share a link: those of all engines the store's, those of a few engines an
/// engine's.
const STORE_TOKENS_PER_MS: f64 = 60.0;
const ENGINE_TOKENS_PER_MS: f64 = 150.0;

/// Cost per token, besides the prefill time, of prefilling a part that another
/// engine has already computed.
pub(super) const RECOMPUTE_COST_MS_PER_TOKEN: f64 = 0.12;

/// Cost of computing shared parts that no engine has computed on an engine
/// other than the preferred one; see
/// [`PartSources::is_preferred`](super::fetch_plan::PartSources::is_preferred).
/// It makes entries that choose independently agree on one engine.
const NOT_PREFERRED_COST_MS: f64 = 100.0;

/// Cost of each concurrent call at the engine, which lengthens its decoding
/// steps.
pub(super) const CONCURRENT_CALL_COST_MS: f64 = 0.6;

/// Time that a call occupies a slot, for the wait at a server whose slots are
/// all taken: of an engine, and of a server of a plain service.
pub(super) const ENGINE_SLOT_HOLD_MS: f64 = 350.0;
pub(super) const PLAIN_SLOT_HOLD_MS: f64 = 70.0;

/// Cost of a server in another availability zone.
pub(super) const OTHER_ZONE_COST_MS: f64 = 2.0;

/// Cost of a server at which every call fails; scales with the failure ratio.
pub(super) const FAILURE_COST_MS: f64 = 1_500.0;

/// Cost of an engine whose KV cache has no space for the prompt.
const NO_MEMORY_COST_MS: f64 = 600.0;

/// Time to generate one token of an answer.
const MS_PER_OUTPUT_TOKEN: f64 = 4.5;

/// Cost per millisecond of answer that is generated after a change of weights:
/// a whole answer of 1,500 ms costs about 600 ms.
const LOST_OUTPUT_COST_PER_MS: f64 = 0.4;

/// Share of the time that a slow server needs longer for the whole output that counts
/// as a cost: callers read the output while it is generated.
const SLOW_DECODE_SHARE: f64 = 0.25;

/// Cost of a silent server. Above all ordinary costs, so that it gets a call only if
/// all servers are silent.
pub(super) const SILENT_COST_MS: f64 = 20_000.0;

/// Predicts the time to generate a call's output at an engine of normal speed.
pub(super) fn predict_output_ms(prompt: &Prompt) -> f64 {
    f64::from(prompt.expected_output_tokens) * MS_PER_OUTPUT_TOKEN
}

/// Returns the cost of decoding that takes `factor` times as long as usual; negative
/// for an engine that is faster.
pub(super) fn slow_decode_cost_ms(prompt: &Prompt, factor: f64) -> f64 {
    predict_output_ms(prompt) * (factor - 1.0) * SLOW_DECODE_SHARE
}

/// Returns the usual time between two events of a stream, each of one token.
pub(super) fn usual_ms_per_token() -> f64 {
    MS_PER_OUTPUT_TOKEN
}

/// Predicts the time to prefill the last `prefill_tokens` of a prompt. Each
/// token also attends to all tokens before it.
pub(super) fn predict_prefill_ms(prompt: &Prompt, prefill_tokens: u32) -> f64 {
    let (prompt_tokens, prefill_tokens) =
        (f64::from(prompt.prompt_tokens), f64::from(prefill_tokens));
    let pairs = prefill_tokens * (prompt_tokens - prefill_tokens / 2.0).max(0.0);
    prefill_tokens / PREFILL_TOKENS_PER_MS + pairs * ATTENTION_MS_PER_PAIR
}

/// Returns the fetch rate from a KV cache store or from an engine, in tokens per
/// millisecond.
pub(super) fn fetch_tokens_per_ms(is_from_store: bool) -> f64 {
    if is_from_store {
        STORE_TOKENS_PER_MS
    } else {
        ENGINE_TOKENS_PER_MS
    }
}

/// Predicts the wait for a slot at a server, from the calls at it and the time
/// `hold_ms` that a call occupies a slot. Zero while a slot is free.
pub(super) fn slot_wait_ms(load: f64, slots: u32, hold_ms: f64) -> f64 {
    let slots = f64::from(slots.max(1));
    ((load + 1.0 - slots).max(0.0) / slots) * hold_ms
}

/// Predicts the wait for a slot like [`slot_wait_ms`], if the load is only known with the
/// standard deviation `deviation`. Without it, entries that see the same free slot all
/// send there.
pub(super) fn uncertain_slot_wait_ms(load: f64, deviation: f64, slots: u32, hold_ms: f64) -> f64 {
    let slots = f64::from(slots.max(1));
    let excess = load + 1.0 - slots;
    // Mean of the positive part of a normal distribution: exact at zero, where it is
    // 0.4 deviations, and far from it.
    let mean_excess = 0.5 * (excess + excess.hypot(0.8 * deviation));
    mean_excess / slots * hold_ms
}

/// Returns the cost of computing new shared parts away from their preferred
/// engine.
pub(super) fn affinity_cost_ms(plan: &FetchPlan, is_preferred: bool) -> f64 {
    if plan.new_shared_tokens == 0 || is_preferred {
        0.0
    } else {
        NOT_PREFERRED_COST_MS
    }
}

/// Returns the cost of the output that a call would generate only after the
/// engine changes its weights; that output counts as lost. `ttft_ms` is the
/// predicted time to first token.
pub(super) fn switch_cost_ms(
    prompt: &Prompt,
    ttft_ms: f64,
    view: &BackendView,
    now: MonotonicTime,
) -> f64 {
    let Some(time_until_order) = view.time_until_order(now) else {
        return 0.0;
    };
    let end_ms = ttft_ms + f64::from(prompt.expected_output_tokens) * MS_PER_OUTPUT_TOKEN;
    let lost_ms = end_ms - time_until_order.as_secs_f64() * 1_000.0;
    lost_ms.max(0.0) * LOST_OUTPUT_COST_PER_MS
}

/// Returns the cost of an engine whose free KV cache is smaller than the
/// prompt.
pub(super) fn memory_cost_ms(prompt: &Prompt, view: &BackendView, now: MonotonicTime) -> f64 {
    let needed = u64::from(prompt.prompt_tokens);
    match view.free_tokens(now) {
        Some(free) if free < needed => NO_MEMORY_COST_MS,
        _ => 0.0,
    }
}
