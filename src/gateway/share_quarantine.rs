//! Finds prompt parts that crash servers, and shares them with agents, which keep
//! them if all entries are lost. Entries tell each other in their exchanges.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tarpc::context::Context;
use tokio::time::sleep;

use super::context::GatewayContext;
use crate::core::fleet::PartId;
use crate::core::fleet::PromptPart;
use crate::core::fleet::QuarantineNews;
use crate::mesh::MeshClient;

/// Interval between checks of the evidence while there is any.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a request to an agent.
const AGENT_TIMEOUT: Duration = Duration::from_millis(500);

/// Quarantines parts as soon as the evidence suffices, for as long as the gateway
/// runs.
pub async fn quarantine_parts(cx: Arc<GatewayContext>) {
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
        for (part, crashes) in &found {
            log::warn!(
                "quarantine: started part={:x} crashes={crashes} source=own",
                part.0
            );
        }
        if !found.is_empty() {
            tell_agents(&cx);
        }
    }
}

/// Applies what another process knows, and logs what changed by it.
pub fn apply_quarantine_news(cx: &GatewayContext, news: QuarantineNews, source: &str) {
    if news.is_empty() {
        return;
    }
    let now = cx.now();
    let (quarantined, released) = cx.lock().quarantine.apply_news(news, now);
    for part in quarantined {
        log::warn!("quarantine: started part={:x} source={source}", part.0);
    }
    log_released(&released, source);
}

/// Records that a call was answered to the end, which clears its parts.
pub fn record_completion(cx: &Arc<GatewayContext>, parts: &[PromptPart]) {
    let now = cx.now();
    let released = cx.lock().quarantine.record_completion(parts, now);
    if !released.is_empty() {
        log_released(&released, "own");
        tell_agents(cx);
    }
}

fn log_released(parts: &[PartId], source: &str) {
    for part in parts {
        log::warn!(
            "quarantine: ended, a call with the part was answered part={:x} source={source}",
            part.0
        );
    }
}

fn tell_agents(cx: &Arc<GatewayContext>) {
    for client in cx.agent_connections.list_clients() {
        tokio::spawn(share_with_agent(Arc::clone(cx), client));
    }
}

/// Tells an agent of quarantined parts and learns those that it keeps.
pub async fn share_with_agent(cx: Arc<GatewayContext>, client: MeshClient) {
    let news = cx.lock().quarantine.build_news(AGENT_TIMEOUT, cx.now());
    let mut context: Context = tarpc::context::current();
    context.deadline = Instant::now() + AGENT_TIMEOUT;
    match client.share_quarantine(context, news).await {
        Ok(known) => apply_quarantine_news(&cx, known, "agent"),
        Err(e) => log::debug!("quarantine: not shared with an agent reason=\"{e}\""),
    }
}
