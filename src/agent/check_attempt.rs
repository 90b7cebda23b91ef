//! Decides whether the agent accepts or refuses an attempt, before any byte of
//! it is sent to the backend server.

use super::AgentContext;
use crate::core::AttemptRefusal;
use crate::core::Envelope;

/// Checks an attempt, by its metadata (envelope), against the state that the agent
/// knows now. An attempt that resumes a stream already runs, so only the agent's
/// incarnation is checked.
///
/// # Errors
///
/// The attempt was planned on outdated state or cannot run now; no byte of it
/// has reached the backend server.
pub fn check_attempt(cx: &AgentContext, envelope: &Envelope) -> Result<(), AttemptRefusal> {
    if envelope.agent.is_some_and(|agent| agent != cx.incarnation) {
        return Err(AttemptRefusal::AgentRestarted);
    }
    if envelope.resume_after.is_some() {
        return Ok(());
    }
    // The request may run only once. Without the incarnation that the attempt was
    // planned for, a restart of the agent, which forgets the attempts that it has
    // seen, cannot be ruled out.
    if envelope.once && envelope.agent.is_none() {
        return Err(AttemptRefusal::AgentRestarted);
    }
    // `Leaving` also tells the entry that the server is loading weights.
    if cx.refuses_new_work() {
        return Err(AttemptRefusal::Leaving);
    }
    check_engine(cx, envelope)?;
    if is_key_withdrawn(cx, envelope) {
        return Err(AttemptRefusal::KeyWithdrawn);
    }
    // `deadline_ms` is the time left until the deadline.
    if envelope.deadline_ms == 0 {
        return Err(AttemptRefusal::DeadlinePassed);
    }
    Ok(())
}

/// Refuses an attempt that was planned for the cache of another engine
/// incarnation or for other weights.
fn check_engine(cx: &AgentContext, envelope: &Envelope) -> Result<(), AttemptRefusal> {
    let Some(state) = cx.engine_state() else {
        return Ok(());
    };
    if envelope
        .engine
        .is_some_and(|incarnation| incarnation.0 != state.incarnation)
    {
        return Err(AttemptRefusal::EngineRestarted);
    }
    if envelope
        .weights
        .is_some_and(|version| version.0 != state.weights)
    {
        return Err(AttemptRefusal::WeightsChanged);
    }
    Ok(())
}

/// Returns whether the agent has newer rules than the entry had, and they no
/// longer let the key use the account. If the entry's rules were as new or
/// newer, its own check of the key stands.
fn is_key_withdrawn(cx: &AgentContext, envelope: &Envelope) -> bool {
    let rules = cx.rules.load();
    if rules.revision <= envelope.revision {
        return false;
    }
    match (&envelope.key_id, &envelope.account) {
        (Some(key_id), Some(account)) => !rules.key_belongs_to(key_id, account),
        _ => false,
    }
}

#[cfg(test)]
mod tests {
    use std::sync::atomic::Ordering;

    use rstest::rstest;
    use serde_json::json;

    use super::*;
    use crate::core::AccountName;
    use crate::core::EngineIncarnation;
    use crate::core::KeyDigest;
    use crate::core::ProcessIncarnation;
    use crate::core::RequestId;
    use crate::core::Revision;
    use crate::core::WeightsVersion;
    use crate::core::config::RulesRecord;
    use crate::core::order::ServerState;
    use crate::settings::AgentSettings;

    fn make_context() -> AgentContext {
        let settings = AgentSettings::parse(&json!({
            "name": "s1", "zone": "a", "pool": "p", "server": "127.0.0.1:1",
            "listen": {"traffic": "127.0.0.1:0"},
        }));
        AgentContext::new(settings.expect("the settings are valid"))
    }

    fn make_envelope(cx: &AgentContext) -> Envelope {
        Envelope {
            request: RequestId::random(),
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
            stamp: 0,
            entry: None,
            resume_after: None,
        }
    }

    #[test]
    fn check_attempt_accepted() {
        let cx = make_context();
        assert_eq!(check_attempt(&cx, &make_envelope(&cx)), Ok(()));
    }

    #[test]
    fn check_attempt_other_agent_incarnation() {
        let cx = make_context();
        let mut envelope = make_envelope(&cx);
        envelope.agent = Some(ProcessIncarnation(cx.incarnation.0 + 1));
        assert_eq!(
            check_attempt(&cx, &envelope),
            Err(AttemptRefusal::AgentRestarted)
        );
    }

    #[test]
    fn check_attempt_once_without_agent_incarnation() {
        let cx = make_context();
        let mut envelope = make_envelope(&cx);
        envelope.agent = None;
        assert_eq!(check_attempt(&cx, &envelope), Ok(()));
        envelope.once = true;
        assert_eq!(
            check_attempt(&cx, &envelope),
            Err(AttemptRefusal::AgentRestarted)
        );
    }

    #[test]
    fn check_attempt_other_engine_incarnation_or_weights() {
        let cx = make_context();
        cx.set_engine_state(ServerState {
            incarnation: 7,
            weights: 3,
            role: String::new(),
        });
        let mut envelope = make_envelope(&cx);
        envelope.engine = Some(EngineIncarnation(7));
        envelope.weights = Some(WeightsVersion(3));
        assert_eq!(check_attempt(&cx, &envelope), Ok(()));
        envelope.weights = Some(WeightsVersion(2));
        assert_eq!(
            check_attempt(&cx, &envelope),
            Err(AttemptRefusal::WeightsChanged)
        );
        envelope.engine = Some(EngineIncarnation(6));
        assert_eq!(
            check_attempt(&cx, &envelope),
            Err(AttemptRefusal::EngineRestarted)
        );
    }

    #[test]
    fn check_attempt_while_weights_load() {
        let cx = make_context();
        cx.loading_weights.store(true, Ordering::Release);
        assert_eq!(
            check_attempt(&cx, &make_envelope(&cx)),
            Err(AttemptRefusal::Leaving)
        );
    }

    #[test]
    fn check_attempt_leaving() {
        let cx = make_context();
        cx.leaving.store(true, Ordering::Release);
        assert_eq!(
            check_attempt(&cx, &make_envelope(&cx)),
            Err(AttemptRefusal::Leaving)
        );
    }

    fn adopt_rules(cx: &AgentContext, revision: u64, key_id: &str) {
        let digest = KeyDigest::of_key(b"secret");
        let text = format!(
            "account desk rate 1 burst 1 # the desk\n\
             key {key_id} account desk digest {digest} # the desk\n"
        );
        let record = RulesRecord {
            revision: Revision(revision),
            parent: Revision(revision - 1),
            accept_id: String::new(),
            accepted_by: "desk-operator".into(),
            reason: "test".into(),
            accepted_at_ms: 0,
            text,
        };
        assert_eq!(cx.rules.adopt(record.into()), Ok(true));
    }

    #[rstest]
    #[case::kept_key(5, 4, "desk-1", Ok(()))]
    #[case::withdrawn_key(5, 4, "desk-2", Err(AttemptRefusal::KeyWithdrawn))]
    #[case::same_revision(5, 5, "desk-2", Ok(()))]
    #[case::newer_entry(5, 6, "desk-2", Ok(()))]
    fn check_attempt_key_withdrawn_by_newer_rules(
        #[case] agent_revision: u64,
        #[case] entry_revision: u64,
        #[case] key_id: &str,
        #[case] expected: Result<(), AttemptRefusal>,
    ) {
        let cx = make_context();
        adopt_rules(&cx, agent_revision, "desk-1");
        let mut envelope = make_envelope(&cx);
        envelope.revision = Revision(entry_revision);
        envelope.account = Some(AccountName::from("desk"));
        envelope.key_id = Some(key_id.into());
        assert_eq!(check_attempt(&cx, &envelope), expected);
    }

    #[test]
    fn check_attempt_deadline_passed() {
        let cx = make_context();
        let mut envelope = make_envelope(&cx);
        envelope.deadline_ms = 0;
        assert_eq!(
            check_attempt(&cx, &envelope),
            Err(AttemptRefusal::DeadlinePassed)
        );
    }
}
