//! Gets fencing tokens from the store for agents that have started or were out of
//! contact, and have to order their engines.

use std::collections::HashMap;
use std::mem::take;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use tokio::time::sleep;

use super::claim_rank::rank_of;
use super::context::GatewayContext;
use super::follow_agents::list_engines;
use super::substitute_agents::group_of;
use crate::core::MonotonicTime;
use crate::core::ServerName;
use crate::mesh::connect_mesh;

/// Interval between checks for agents that need a token.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which each further entry takes part, if an agent still needs a token.
const RANK_DELAY: Duration = Duration::from_millis(800);

/// Time after which an entry gets another token, if an agent still needs one.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of the message to an agent.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Agent that needs a token in one of its terms.
#[derive(Debug, Clone)]
struct WaitingAgent {
    name: ServerName,
    agent: SocketAddr,
    term: u64,
}

/// Passes tokens to agents for as long as the gateway runs.
pub async fn grant_orders(cx: Arc<GatewayContext>) {
    let mut next_attempts = HashMap::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let due = find_waiting_agents(&cx, &mut next_attempts);
        let grants = due
            .iter()
            .map(|(group, agents)| grant_group(&cx, *group, agents));
        join_all(grants).await;
    }
}

/// Returns the agents that this entry has to see to now, by their group.
/// `next_attempts` holds when this entry sees to each agent's term.
fn find_waiting_agents(
    cx: &GatewayContext,
    next_attempts: &mut HashMap<(ServerName, u64), MonotonicTime>,
) -> HashMap<u64, Vec<WaitingAgent>> {
    let now = cx.now();
    let waiting = list_waiting_agents(cx, now);
    let known = take(next_attempts);
    if waiting.is_empty() {
        return HashMap::new();
    }
    let peers = cx.known_entries.list_names(now);
    let mut due: HashMap<u64, Vec<WaitingAgent>> = HashMap::new();
    for agent in waiting {
        let key = (agent.name.clone(), agent.term);
        let group = group_of(agent.agent);
        let rank = rank_of(&cx.settings.name, &peers, group);
        let attempt_at = known.get(&key).copied().unwrap_or(now + RANK_DELAY * rank);
        if attempt_at <= now {
            next_attempts.insert(key, now + RETRY_INTERVAL);
            due.entry(group).or_default().push(agent);
        } else {
            next_attempts.insert(key, attempt_at);
        }
    }
    due
}

fn list_waiting_agents(cx: &GatewayContext, now: MonotonicTime) -> Vec<WaitingAgent> {
    let engines = list_engines(cx);
    let state = cx.lock();
    let waiting = engines.into_iter().filter_map(|(engine, _)| {
        let view = state.dispatcher.find_backend(&engine.name)?;
        Some(WaitingAgent {
            term: view.agent_term_without_fence(now)?,
            name: engine.name,
            agent: engine.agent,
        })
    });
    waiting.collect()
}

/// Gets one token for the agents of a group. Each of them has stated its term before
/// the store gives out the token.
async fn grant_group(cx: &GatewayContext, group: u64, agents: &[WaitingAgent]) {
    let fence = match cx.ports.claims.issue_fence(&group.to_string()).await {
        Ok(fence) => fence,
        Err(e) => {
            log::warn!("orders: no fencing token group={group} reason=\"{e}\"");
            return;
        }
    };
    join_all(agents.iter().map(|agent| pass_fence(agent, fence))).await;
}

async fn pass_fence(agent: &WaitingAgent, fence: u64) {
    let passed = match connect_mesh(agent.agent).await {
        Ok(client) => {
            let mut context = tarpc::context::current();
            context.deadline = Instant::now() + MESSAGE_TIMEOUT;
            let passed = client.grant_orders(context, agent.term, fence).await;
            passed.map_err(|e| e.to_string())
        }
        Err(e) => Err(e.to_string()),
    };
    let (name, term) = (&agent.name, agent.term);
    match passed {
        Ok(()) => log::info!("orders: permitted server={name} term={term:x} fence={fence}"),
        Err(e) => log::info!("orders: not permitted server={name} term={term:x} reason=\"{e}\""),
    }
}
