//! Reconcile loop: reads the engine's reports, and sends the engine orders
//! until it serves the target weights version.

use std::mem::take;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use super::context::SidecarContext;
use crate::core::fleet::AgentReport;
use crate::core::fleet::OrderOutcome;
use crate::core::fleet::PrefillQueue;
use crate::core::fleet::ReportedLoad;
use crate::core::fleet::WeightsChangeStep;
use crate::ports::EngineReport;
use crate::ports::PortError;
use crate::ports::WeightsOrder;

/// Quotient of the interval between reads and that while the engine accepts no
/// calls, shortly before and during a change of weights.
const NOT_ACCEPTING_SPEEDUP: u32 = 3;

/// Minimum time between two updates that only change the load.
const LOAD_PUBLISH_INTERVAL: Duration = Duration::from_millis(150);

/// Minimum change of the number of calls at the engine that is published. If a
/// quarter of the number published before is more, that is the minimum.
const MIN_PUBLISHED_LOAD_CHANGE: u32 = 3;

/// Number of consecutive failed reads after which the engine is considered
/// down.
const MAX_FAILED_READS: u32 = 2;

/// Runs the reconcile loop for as long as the sidecar runs.
pub async fn reconcile_engine(cx: Arc<SidecarContext>) {
    let mut failed_reads = 0;
    loop {
        if cx.pause.is_paused() {
            sleep(cx.report_interval).await;
            continue;
        }
        let requested_at = Instant::now();
        match cx.ports.engine.read_report(cx.settings.engine).await {
            Ok(report) => {
                let is_accepting = cx.lock().weights_change.is_accepting();
                cx.metrics
                    .count_report(requested_at.elapsed(), is_accepting);
                if failed_reads >= MAX_FAILED_READS {
                    log::info!("engine: regained address={}", cx.settings.engine);
                }
                failed_reads = 0;
                cx.order_right.check().await;
                apply_report(&cx, report).await;
            }
            Err(PortError::Paused(pause)) => record_pause(&cx, pause),
            Err(e) => {
                failed_reads += 1;
                cx.metrics
                    .count_report_failure(failed_reads < MAX_FAILED_READS);
                if failed_reads == MAX_FAILED_READS {
                    log::warn!("engine: lost address={} reason=\"{e}\"", cx.settings.engine);
                    let mut state = cx.lock();
                    state.report.is_alive = false;
                    state.prefill_queue = PrefillQueue::default();
                    drop(state);
                    cx.publish();
                }
            }
        }
        let is_accepting = cx.lock().weights_change.is_accepting();
        sleep(if is_accepting {
            cx.report_interval
        } else {
            cx.report_interval / NOT_ACCEPTING_SPEEDUP
        })
        .await;
    }
}

fn record_pause(cx: &SidecarContext, pause: Duration) {
    log::info!(
        "engine: paused address={} asked_ms={}",
        cx.settings.engine,
        pause.as_millis()
    );
    cx.pause.record(pause);
}

async fn apply_report(cx: &SidecarContext, report: EngineReport) {
    let now = cx.now();
    let earliest_order = cx.order_right.time_until_order().map(|time| now + time);
    let step = {
        let mut state = cx.lock();
        state.weights_change.set_earliest_order(earliest_order);
        let step = state.weights_change.advance(&report.status, now);
        let is_outdated = state.weights_change.is_outdated(&report.status);
        if let Some(percent) = report.load.slowness {
            state.speed.observe_stated(percent, now);
        }
        let agent_report = AgentReport {
            is_accepting: state.weights_change.is_accepting() && !report.is_leaving,
            is_alive: true,
            switch_in_ms: state
                .weights_change
                .time_until_order(&report.status, now)
                .map(|time| u32::try_from(time.as_millis()).unwrap_or(u32::MAX)),
            versions: report.status.versions.clone(),
            load: report.load,
            // Filled in when the report is sent.
            prefill_ms: 0,
            used_tokens: report.used_kv_tokens,
            capacity_tokens: report.total_kv_tokens,
            usual_slowness: state.speed.usual_percent(),
            term_without_fence: is_outdated
                .then(|| cx.agent_right.term_without_fence())
                .flatten(),
        };
        let should_publish = take(&mut state.has_unpublished_changes)
            || has_notable_change(
                &state.published_report,
                &agent_report,
                now.since(state.published_at),
            );
        state.report = agent_report.clone();
        if should_publish {
            state.published_report = agent_report;
            state.published_at = now;
            drop(state);
            cx.publish();
        }
        step
    };
    match step {
        WeightsChangeStep::Wait => {}
        WeightsChangeStep::StopAccepting => log::info!(
            "weights: stopped accepting calls running={} waiting={}",
            report.load.running,
            report.load.waiting
        ),
        WeightsChangeStep::ResumeAccepting => {
            log::info!(
                "weights: accepting calls again versions={:?}",
                report.status.versions
            )
        }
        WeightsChangeStep::Order {
            target,
            running,
            accepted_orders,
        } => {
            let Some(fence) = cx.order_right.find_fence(target.revision).await else {
                // Tried again later, like an order that had no effect.
                let now = cx.now();
                cx.lock()
                    .weights_change
                    .record_outcome(OrderOutcome::Conflict, now);
                return;
            };
            let order = WeightsOrder {
                target,
                fence,
                running_calls: running,
                accepted_orders,
                holder: cx.settings.name.clone(),
                engine_run: cx.lock().engine_run.clone(),
            };
            send_order(cx, order, report.load).await;
        }
    }
}

/// Returns whether a report differs enough from the published one, which is
/// `age` old, to be sent to every entry. Changes other than of the load always
/// count. The load changes with every call, each update costs traffic to every
/// entry, and entries know their own calls, so only larger changes of it count,
/// and those only after [`LOAD_PUBLISH_INTERVAL`].
fn has_notable_change(published: &AgentReport, current: &AgentReport, age: Duration) -> bool {
    if published.is_accepting != current.is_accepting
        || published.is_alive != current.is_alive
        || published.versions != current.versions
        || published.switch_in_ms.is_some() != current.switch_in_ms.is_some()
        || published.term_without_fence != current.term_without_fence
    {
        return true;
    }
    if age < LOAD_PUBLISH_INTERVAL {
        return false;
    }
    let calls = |state: &AgentReport| state.load.running + state.load.waiting;
    let change = calls(published).abs_diff(calls(current));
    change >= MIN_PUBLISHED_LOAD_CHANGE.max(calls(published) / 4)
        || has_other_slowness(published.load.slowness, current.load.slowness)
}

/// Returns whether the slowness differs by more than a quarter, or is stated only once.
fn has_other_slowness(published: Option<u16>, current: Option<u16>) -> bool {
    match (published, current) {
        (Some(published), Some(current)) => published.abs_diff(current) > published / 4,
        (published, current) => published != current,
    }
}

async fn send_order(cx: &SidecarContext, order: WeightsOrder, reported_load: ReportedLoad) {
    let result = cx
        .ports
        .engine
        .order_weights(cx.settings.engine, &order)
        .await;
    let outcome = match result {
        Ok(outcome) => outcome,
        Err(PortError::Paused(pause)) => {
            record_pause(cx, pause);
            OrderOutcome::Refused
        }
        Err(e) => {
            log::warn!("weights: order failed reason=\"{e}\"");
            OrderOutcome::Unknown
        }
    };
    log::info!(
        "weights: ordered model={} version={} fence={} accepted_before={} running={} calls={} outcome={}",
        order.target.model,
        order.target.version,
        order.fence,
        order.accepted_orders,
        reported_load.running,
        order.running_calls.label(),
        outcome.label()
    );
    cx.metrics.count_order(outcome.label());
    if outcome == OrderOutcome::Fenced {
        cx.order_right.record_fenced();
    }
    let now = cx.now();
    cx.lock().weights_change.record_outcome(outcome, now);
}
