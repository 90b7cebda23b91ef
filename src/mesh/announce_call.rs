//! Announces calls with long prompts to the agents of their engines.

use std::time::Duration;
use std::time::Instant;

use super::MeshClient;
use crate::core::ServerName;

/// Timeout of an announcement; later it would be useless.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(300);

/// Process that an announcement is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementReceiver {
    /// The agent of the engine.
    Agent,
    /// A collector, which passes the announcement on to the agent.
    Collector,
}

/// Announces in the background that a call was sent to the engine `server`;
/// `prefill_time` is the expected prefill time of its prompt.
pub fn announce_call(
    client: MeshClient,
    receiver: AnnouncementReceiver,
    server: ServerName,
    prefill_time: Duration,
) {
    tokio::spawn(async move {
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + ANNOUNCE_TIMEOUT;
        let announced = match receiver {
            AnnouncementReceiver::Agent => client.announce(context, prefill_time).await,
            AnnouncementReceiver::Collector => {
                let server = server.clone();
                client
                    .forward_announcement(context, server, prefill_time)
                    .await
            }
        };
        if let Err(e) = announced {
            // Updates fail as well, which is logged where they are read.
            log::debug!("agents: not told of a call server={server} reason=\"{e}\"");
        }
    });
}
