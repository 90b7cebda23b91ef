//! Whether an attempt may still run.

use std::sync::atomic::Ordering;

use super::AgentContext;
use crate::core::Envelope;
use crate::core::Refusal;

/// Judges whether an attempt may still run, by what the agent knows now.
///
/// # Errors
///
/// The attempt was planned on stale state; no byte of it has reached the
/// backend server.
pub fn judge_attempt(cx: &AgentContext, envelope: &Envelope) -> Result<(), Refusal> {
    if envelope.agent.is_some_and(|agent| agent != cx.incarnation) {
        return Err(Refusal::AgentRestarted);
    }
    if envelope.once && envelope.agent.is_none() {
        return Err(Refusal::AgentRestarted);
    }
    if cx.leaving.load(Ordering::Acquire) {
        return Err(Refusal::Leaving);
    }
    if envelope.deadline_ms == 0 {
        return Err(Refusal::DeadlinePassed);
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;
    use crate::core::ProcessIncarnation;
    use crate::core::RequestId;
    use crate::core::Revision;
    use crate::settings::AgentSettings;

    fn make_context() -> AgentContext {
        let settings = AgentSettings::parse(&json!({
            "name": "s1", "zone": "a", "pool": "p", "server": "127.0.0.1:1",
            "listen": {"traffic": "127.0.0.1:0"},
        }));
        AgentContext::new(settings.expect("valid settings"))
    }

    fn make_envelope(cx: &AgentContext) -> Envelope {
        Envelope {
            request: RequestId::draw(),
            attempt: 1,
            account: None,
            key_id: None,
            revision: Revision(0),
            agent: Some(cx.incarnation),
            engine: None,
            weights: None,
            cache_salt: None,
            deadline_ms: 1_000,
            priority: 0,
            once: false,
        }
    }

    #[test]
    fn judge_attempt_current() {
        let cx = make_context();
        assert_eq!(judge_attempt(&cx, &make_envelope(&cx)), Ok(()));
    }

    #[test]
    fn judge_attempt_other_run_of_agent() {
        let cx = make_context();
        let mut envelope = make_envelope(&cx);
        envelope.agent = Some(ProcessIncarnation(cx.incarnation.0 + 1));
        assert_eq!(judge_attempt(&cx, &envelope), Err(Refusal::AgentRestarted));
    }

    #[test]
    fn judge_attempt_once_for_any_run_of_agent() {
        let cx = make_context();
        let mut envelope = make_envelope(&cx);
        envelope.agent = None;
        assert_eq!(judge_attempt(&cx, &envelope), Ok(()));
        envelope.once = true;
        assert_eq!(judge_attempt(&cx, &envelope), Err(Refusal::AgentRestarted));
    }

    #[test]
    fn judge_attempt_leaving() {
        let cx = make_context();
        cx.leaving.store(true, Ordering::Release);
        assert_eq!(
            judge_attempt(&cx, &make_envelope(&cx)),
            Err(Refusal::Leaving)
        );
    }

    #[test]
    fn judge_attempt_deadline_passed() {
        let cx = make_context();
        let mut envelope = make_envelope(&cx);
        envelope.deadline_ms = 0;
        assert_eq!(judge_attempt(&cx, &envelope), Err(Refusal::DeadlinePassed));
    }
}
