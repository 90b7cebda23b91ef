//! Finds prompt parts and calls that crash servers, and shares them with agents, which
//! keep them if all entries are lost. Entries tell each other in their exchanges.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use tarpc::context::Context;
use tokio::time::sleep;

use super::context::GatewayContext;
use super::read_call::Call;
use crate::core::fleet::CallDigest;
use crate::core::fleet::Prompt;
use crate::core::fleet::QuarantineNews;
use crate::core::fleet::Suspect;
use crate::mesh::MeshClient;

/// Interval between checks of the evidence while there is any.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between messages to agents about crashes behind which nothing is found
/// yet.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which what this gateway has seen is told to agents: longer than
/// [`EVIDENCE_INTERVAL`].
const AGENT_NEWS_PERIOD: Duration = Duration::from_secs(2);

/// Timeout of a request to an agent.
const AGENT_TIMEOUT: Duration = Duration::from_millis(500);

/// Quarantines parts and calls as soon as the evidence suffices, for as long as the
/// gateway runs.
pub async fn quarantine_culprits(cx: Arc<GatewayContext>) {
    let mut news_rx = cx.news_count.subscribe();
    let mut told_at = cx.now();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = cx.now();
        let found = {
            let mut state = cx.lock();
            if !state.quarantine.has_crashes() {
                continue;
            }
            state.quarantine.evaluate(now)
        };
        for culprit in &found {
            log::warn!(
                "quarantine: started {} crashes={} source=own",
                culprit.suspect,
                culprit.crashes
            );
        }
        if !found.is_empty() {
            cx.announce_news();
        }
        // The sender is in the context, so it still exists.
        let has_news = news_rx.has_changed().unwrap_or(false);
        if !found.is_empty() || (has_news && now.since(told_at) >= EVIDENCE_INTERVAL) {
            news_rx.mark_unchanged();
            told_at = now;
            tell_agents(&cx);
        }
    }
}

/// Returns the digest of a call if it is needed to choose a server or to clear the call:
/// something is suspected or quarantined.
pub fn digest_if_needed(cx: &GatewayContext, call: &Call) -> Option<CallDigest> {
    let is_active = cx.lock().quarantine.is_active(cx.now());
    is_active.then(|| call.digest())
}

/// Applies what another process knows, and logs what changed by it.
pub fn apply_quarantine_news(cx: &GatewayContext, news: QuarantineNews, source: &str) {
    if news.is_empty() {
        return;
    }
    let now = cx.now();
    let learned = cx.lock().quarantine.apply_news(news, now);
    for suspect in &learned.quarantined {
        log::warn!("quarantine: started {suspect} source={source}");
    }
    log_released(&learned.released, source);
    // Not all other entries hear from the same ones.
    if learned.has_evidence || !learned.quarantined.is_empty() || !learned.released.is_empty() {
        cx.announce_news();
    }
}

/// Records that a call was answered to the end, which clears it and, if it has
/// succeeded, the parts that it shares. A server's own failure clears nothing: the
/// server may have given up before it began.
pub fn record_completion(cx: &Arc<GatewayContext>, call: &Call, status: StatusCode) {
    if status.is_server_error() {
        return;
    }
    let Some(digest) = digest_if_needed(cx, call) else {
        return;
    };
    let prompt = call.head.prompt.as_ref();
    let prompt = prompt.filter(|_| status.is_success());
    let parts = prompt.map_or(&[][..], Prompt::shared_parts);
    let now = cx.now();
    let released = cx.lock().quarantine.record_completion(parts, digest, now);
    if !released.is_empty() {
        log_released(&released, "own");
        cx.announce_news();
        tell_agents(cx);
    }
}

fn log_released(suspects: &[Suspect], source: &str) {
    for suspect in suspects {
        log::warn!("quarantine: ended, a call with it was answered {suspect} source={source}");
    }
}

fn tell_agents(cx: &Arc<GatewayContext>) {
    for client in cx.agent_connections.list_clients() {
        tokio::spawn(share_with_agent(Arc::clone(cx), client));
    }
}

/// Tells an agent what is quarantined and suspected, and learns what it keeps.
pub async fn share_with_agent(cx: Arc<GatewayContext>, client: MeshClient) {
    let now = cx.now();
    let news = cx.lock().quarantine.build_news(AGENT_NEWS_PERIOD, now);
    let mut context: Context = tarpc::context::current();
    context.deadline = Instant::now() + AGENT_TIMEOUT;
    match client.share_quarantine(context, news).await {
        Ok(known) => apply_quarantine_news(&cx, known, "agent"),
        Err(e) => log::debug!("quarantine: not shared with an agent reason=\"{e}\""),
    }
}
