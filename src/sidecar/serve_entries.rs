//! Tells entries the news of the engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tarpc::context::Context;
use tokio::time::timeout;

use super::context::SidecarContext;
use crate::clock::read_wall_clock_ms;
use crate::core::fleet::AgentReport;
use crate::core::fleet::Member;
use crate::core::fleet::TargetVersion;
use crate::mesh::EngineNews;
use crate::mesh::EntryNews;
use crate::mesh::Mesh;
use crate::mesh::ObserveRequest;

/// Longest time for which an entry waits for news; shorter than the silence
/// after which it stops to trust the last ones.
const NEWS_WAIT: Duration = Duration::from_millis(500);

/// The answering end for entries.
#[derive(Debug, Clone)]
pub struct SidecarService {
    /// What it tells of.
    pub cx: Arc<SidecarContext>,
}

impl Mesh for SidecarService {
    async fn observe(self, _: Context, req: ObserveRequest) -> Option<EngineNews> {
        let mut news = self.cx.news();
        self.take_request(&req);
        let is_current = req.incarnation == self.cx.incarnation;
        if is_current && *news.borrow_and_update() == req.known_news {
            // Without news the entry still hears that the agent lives.
            let _ = timeout(NEWS_WAIT, news.changed()).await;
        }
        let number = *news.borrow_and_update();
        self.cx.metrics.count_news();
        Some(self.make_news(&req, is_current, number))
    }

    async fn announce(self, _: Context, reading: Duration) {
        let now = self.cx.now();
        self.cx.lock().reading.add(reading, now);
        self.cx.publish();
    }

    async fn exchange(self, _: Context, _: EntryNews) -> Option<EntryNews> {
        None
    }

    async fn get_configuration(self, _: Context, _: u64) -> Option<Bytes> {
        None
    }

    async fn get_members(self, _: Context) -> Vec<Member> {
        Vec::new()
    }
}

impl SidecarService {
    fn take_request(&self, req: &ObserveRequest) {
        let now = self.cx.now();
        let mut state = self.cx.lock();
        state.rollout.set_batch_position(req.turn.0, req.turn.1);
        if state.engine.as_ref() != Some(&req.engine) {
            log::info!("engine: named server={}", req.engine);
            state.engine = Some(req.engine.clone());
        }
        let newer: Vec<&TargetVersion> = req
            .wanted
            .iter()
            .filter(|wanted| state.rollout.observe_target(wanted, now))
            .collect();
        for wanted in &newer {
            log::info!(
                "weights: wanted model={} version={} revision={} place={} of={}",
                wanted.model,
                wanted.version,
                wanted.revision,
                req.turn.0,
                req.turn.1
            );
        }
        let has_newer = !newer.is_empty();
        drop(state);
        if has_newer {
            self.cx.publish();
        }
    }

    fn make_news(&self, req: &ObserveRequest, is_current: bool, number: u64) -> EngineNews {
        let state = self.cx.lock();
        let changes = is_current
            .then(|| state.parts.changes_since(req.known_parts))
            .flatten();
        let is_whole = changes.is_none();
        let left = state.reading.remaining(self.cx.now());
        let mut newer = state.rollout.list_target_versions();
        newer.retain(|wanted| !req.wanted.contains(wanted));
        EngineNews {
            incarnation: self.cx.incarnation,
            clock_ms: read_wall_clock_ms(),
            number,
            facts: AgentReport {
                prefill_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
                ..state.facts.clone()
            },
            parts: changes.unwrap_or_else(|| state.parts.list()),
            is_whole,
            next_part: state.parts.next_number(),
            wanted: newer,
        }
    }
}
