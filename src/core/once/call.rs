//! State machine of one request that may run at most once.

use std::time::Duration;

use super::AttemptTarget;
use super::OnceAction;
use super::OnceError;
use super::OnceEvent;
use super::OnceRecord;
use super::OnceState;
use super::RequestDigest;
use super::WriteCondition;
use crate::core::RequestId;

/// Store calls to write an intent, reads after an unknown effect included,
/// before the request is refused.
const MAX_INTENT_TRIES: u32 = 3;
/// Failed store calls after which an outcome or a release is given up.
const MAX_OUTCOME_FAILURES: u32 = 12;
/// Wait after the first failure; each further failure doubles it.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// Time between reads of a record that another request owns.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Reads of a record that another request owns before this request is refused.
const MAX_POLLS: u32 = 20;

/// State machine of one request that may run at most once.
///
/// An attempt is sent only while the record in the store is an intent that
/// names this request and attempt. The record passes to another attempt, or to
/// another request, only after an attempt certainly did not run.
#[derive(Debug)]
pub struct OnceCall {
    digest: RequestDigest,
    request: RequestId,
    attempt: u32,
    phase: Phase,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// No server has been chosen for the next attempt. Its intent will be
    /// written under this condition.
    Planning(WriteCondition),
    /// The intent is being written.
    WritingIntent(IntentWrite),
    /// Another request owns the record. Holds the number of waits for it so
    /// far.
    AwaitingOwner(IntentWrite, u32),
    /// The attempt may be sent: its intent was stored at this store revision.
    Sending(i64, OnceRecord),
    /// The outcome of the attempt is being written.
    WritingOutcome(OutcomeWrite),
    /// The intent may be stored although nothing was sent, so it is released.
    /// Holds the number of failed store calls.
    ReleasingIntent(OnceRecord, u32),
    Finished,
}

/// Write of an intent in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
struct IntentWrite {
    condition: WriteCondition,
    record: OnceRecord,
    tries: u32,
    /// The store did not answer a write of the intent.
    may_be_stored: bool,
}

/// Write of an outcome in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
struct OutcomeWrite {
    /// Store revision of the intent, which the outcome replaces.
    revision: i64,
    record: OnceRecord,
    failures: u32,
    /// A server for another attempt is chosen after the write. Cleared when a
    /// write fails, so that the caller is answered without waiting for the
    /// store.
    plan_next: bool,
}

impl OnceCall {
    /// Creates the state machine of a request. The first event is
    /// [`OnceEvent::Planned`].
    pub fn new(digest: RequestDigest, request: RequestId) -> Self {
        Self {
            digest,
            request,
            attempt: 0,
            phase: Phase::Planning(WriteCondition::Absent),
        }
    }

    /// Returns whether the caller can be answered, because at most a record is
    /// left to be written.
    pub fn can_answer(&self) -> bool {
        match &self.phase {
            Phase::WritingOutcome(outcome) => !outcome.plan_next,
            Phase::ReleasingIntent(..) | Phase::Finished => true,
            _ => false,
        }
    }

    /// Handles an event and returns the next action.
    pub fn step(&mut self, event: OnceEvent) -> OnceAction {
        // A step that sets no phase ends the request.
        match std::mem::replace(&mut self.phase, Phase::Finished) {
            Phase::Planning(condition) => self.step_planning(condition, event),
            Phase::WritingIntent(intent) => self.step_writing_intent(intent, event),
            Phase::AwaitingOwner(intent, polls) => self.step_awaiting_owner(intent, polls, event),
            Phase::Sending(revision, record) => self.step_sending(revision, record, event),
            Phase::WritingOutcome(outcome) => self.step_writing_outcome(outcome, event),
            Phase::ReleasingIntent(record, failures) => {
                self.step_releasing_intent(record, failures, event)
            }
            Phase::Finished => OnceAction::Stop,
        }
    }

    fn step_planning(&mut self, condition: WriteCondition, event: OnceEvent) -> OnceAction {
        let OnceEvent::Planned(target) = event else {
            return OnceAction::Stop;
        };
        self.start_intent(condition, &target)
    }

    fn start_intent(&mut self, condition: WriteCondition, target: &AttemptTarget) -> OnceAction {
        self.attempt += 1;
        let record = OnceRecord::new_intent(self.digest, self.request, self.attempt, target);
        self.write_intent(IntentWrite {
            condition,
            record,
            tries: 0,
            may_be_stored: false,
        })
    }

    fn write_intent(&mut self, mut intent: IntentWrite) -> OnceAction {
        intent.tries += 1;
        if intent.tries > MAX_INTENT_TRIES {
            return self.abandon_intent(intent);
        }
        let action = OnceAction::Write(intent.condition, intent.record.clone());
        self.phase = Phase::WritingIntent(intent);
        action
    }

    fn step_writing_intent(&mut self, mut intent: IntentWrite, event: OnceEvent) -> OnceAction {
        match event {
            OnceEvent::Written(revision) => self.send_attempt(revision, intent.record),
            OnceEvent::Found(found, revision) => {
                self.resolve_existing_record(intent, found, revision, 0)
            }
            OnceEvent::Absent if intent.condition == WriteCondition::Absent => {
                self.write_intent(intent)
            }
            OnceEvent::EffectUnknown if intent.tries < MAX_INTENT_TRIES => {
                intent.tries += 1;
                intent.may_be_stored = true;
                self.phase = Phase::WritingIntent(intent);
                OnceAction::Read
            }
            // The store failed, or the record that the intent replaces is gone.
            _ => self.abandon_intent(intent),
        }
    }

    /// Refuses the request, which was not sent. An intent that may be stored is
    /// released afterwards; otherwise a repeat of the request would be refused
    /// with [`OnceError::InDoubt`].
    fn abandon_intent(&mut self, intent: IntentWrite) -> OnceAction {
        if intent.may_be_stored {
            self.phase = Phase::ReleasingIntent(intent.record, 0);
        }
        OnceAction::Refuse(OnceError::StoreUnavailable)
    }

    fn step_releasing_intent(
        &mut self,
        record: OnceRecord,
        failures: u32,
        event: OnceEvent,
    ) -> OnceAction {
        match event {
            OnceEvent::Found(found, revision) if found == record => {
                self.write_outcome(OutcomeWrite {
                    revision,
                    record: OnceRecord {
                        state: OnceState::Free,
                        ..record
                    },
                    failures,
                    plan_next: false,
                })
            }
            OnceEvent::Waited => {
                self.phase = Phase::ReleasingIntent(record, failures);
                OnceAction::Read
            }
            OnceEvent::Found(..) => OnceAction::Stop,
            // The first event after the refusal, `Replied`, also gets here.
            _ if failures < MAX_OUTCOME_FAILURES => {
                self.phase = Phase::ReleasingIntent(record, failures + 1);
                OnceAction::Wait(backoff_delay(failures))
            }
            _ => OnceAction::Stop,
        }
    }

    /// Decides what follows from the record found after a write that may have
    /// failed, or while another request owns the record.
    fn resolve_existing_record(
        &mut self,
        mut intent: IntentWrite,
        found: OnceRecord,
        revision: i64,
        polls: u32,
    ) -> OnceAction {
        if found == intent.record {
            return self.send_attempt(revision, found);
        }
        // Unchanged since the condition was set: the write had no effect.
        if intent.condition == WriteCondition::ModRevision(revision) {
            return self.write_intent(intent);
        }
        if found.digest != self.digest {
            return OnceAction::Refuse(OnceError::KeyReused);
        }
        match found.state {
            OnceState::Free => {
                intent.condition = WriteCondition::ModRevision(revision);
                self.write_intent(intent)
            }
            OnceState::Ran(response) if response.body.is_none() => {
                OnceAction::Refuse(OnceError::ResponseNotStored)
            }
            OnceState::Ran(response) => OnceAction::Respond(response),
            OnceState::Intent if polls < MAX_POLLS => {
                self.phase = Phase::AwaitingOwner(intent, polls + 1);
                OnceAction::Wait(POLL_INTERVAL)
            }
            OnceState::Intent | OnceState::InDoubt => OnceAction::Refuse(OnceError::InDoubt),
        }
    }

    fn step_awaiting_owner(
        &mut self,
        intent: IntentWrite,
        polls: u32,
        event: OnceEvent,
    ) -> OnceAction {
        match event {
            OnceEvent::Waited => {
                self.phase = Phase::AwaitingOwner(intent, polls);
                OnceAction::Read
            }
            OnceEvent::Found(found, revision) => {
                self.resolve_existing_record(intent, found, revision, polls)
            }
            // The read failed, or the record is gone.
            _ => OnceAction::Refuse(OnceError::InDoubt),
        }
    }

    fn send_attempt(&mut self, revision: i64, record: OnceRecord) -> OnceAction {
        self.phase = Phase::Sending(revision, record);
        OnceAction::Send(self.attempt)
    }

    fn step_sending(&mut self, revision: i64, record: OnceRecord, event: OnceEvent) -> OnceAction {
        let (state, plan_next) = match event {
            OnceEvent::NotRun => (OnceState::Free, true),
            OnceEvent::Ran(response) => (OnceState::Ran(response), false),
            // Any other event leaves open whether the attempt ran.
            _ => (OnceState::InDoubt, false),
        };
        self.write_outcome(OutcomeWrite {
            revision,
            record: OnceRecord { state, ..record },
            failures: 0,
            plan_next,
        })
    }

    fn write_outcome(&mut self, outcome: OutcomeWrite) -> OnceAction {
        if outcome.failures >= MAX_OUTCOME_FAILURES {
            return OnceAction::Stop;
        }
        let condition = WriteCondition::ModRevision(outcome.revision);
        let action = OnceAction::Write(condition, outcome.record.clone());
        self.phase = Phase::WritingOutcome(outcome);
        action
    }

    fn step_writing_outcome(&mut self, mut outcome: OutcomeWrite, event: OnceEvent) -> OnceAction {
        match event {
            OnceEvent::Written(revision) => self.finish_outcome_write(&outcome, revision),
            OnceEvent::Found(found, revision) if found == outcome.record => {
                self.finish_outcome_write(&outcome, revision)
            }
            OnceEvent::Found(_, revision) if revision == outcome.revision => {
                self.write_outcome(outcome)
            }
            OnceEvent::NoEffect | OnceEvent::EffectUnknown => {
                let wait = backoff_delay(outcome.failures);
                outcome.failures += 1;
                outcome.plan_next = false;
                self.phase = Phase::WritingOutcome(outcome);
                OnceAction::Wait(wait)
            }
            OnceEvent::Waited => {
                self.phase = Phase::WritingOutcome(outcome);
                OnceAction::Read
            }
            // Another record has replaced the intent, or it is gone.
            _ => OnceAction::Stop,
        }
    }

    fn finish_outcome_write(&mut self, outcome: &OutcomeWrite, revision: i64) -> OnceAction {
        if !outcome.plan_next {
            return OnceAction::Stop;
        }
        self.phase = Phase::Planning(WriteCondition::ModRevision(revision));
        OnceAction::Plan
    }
}

/// Returns the wait after a failed store call that `failures` others preceded.
fn backoff_delay(failures: u32) -> Duration {
    let wait = FIRST_BACKOFF.saturating_mul(1 << failures.min(16));
    wait.min(MAX_BACKOFF)
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;

    use super::*;
    use crate::core::once::StoredResponse;

    fn make_target() -> AttemptTarget {
        AttemptTarget {
            server: "s1".into(),
            agent: None,
        }
    }

    fn make_call(body: &[u8]) -> (OnceCall, OnceRecord) {
        let digest = RequestDigest::new("POST", "/", body);
        let mut call = OnceCall::new(digest, RequestId::random());
        match call.step(OnceEvent::Planned(make_target())) {
            OnceAction::Write(WriteCondition::Absent, record) => (call, record),
            action => panic!("{action:?}"),
        }
    }

    fn make_response() -> StoredResponse {
        StoredResponse::new(200, None, Bytes::from_static(b"done"))
    }

    #[test]
    fn step_intent_then_send_then_outcome() {
        let (mut call, record) = make_call(b"");
        assert_eq!(call.step(OnceEvent::Written(5)), OnceAction::Send(1));
        let ran = OnceRecord {
            state: OnceState::Ran(make_response()),
            ..record
        };
        assert_eq!(
            call.step(OnceEvent::Ran(make_response())),
            OnceAction::Write(WriteCondition::ModRevision(5), ran)
        );
        assert_eq!(call.step(OnceEvent::Written(6)), OnceAction::Stop);
    }

    #[test]
    fn step_write_answer_lost_finds_own_record() {
        let (mut call, record) = make_call(b"");
        assert_eq!(call.step(OnceEvent::EffectUnknown), OnceAction::Read);
        let action = call.step(OnceEvent::Found(record, 5));
        assert_eq!(action, OnceAction::Send(1));
    }

    #[test]
    fn step_write_answer_lost_writes_again() {
        let (mut call, record) = make_call(b"");
        assert_eq!(call.step(OnceEvent::EffectUnknown), OnceAction::Read);
        let action = call.step(OnceEvent::Absent);
        assert_eq!(action, OnceAction::Write(WriteCondition::Absent, record));
    }

    #[test]
    fn step_repeat_gets_stored_response() {
        let (_, mut first) = make_call(b"");
        first.state = OnceState::Ran(make_response());
        let (mut call, _) = make_call(b"");
        let action = call.step(OnceEvent::Found(first, 5));
        assert_eq!(action, OnceAction::Respond(make_response()));
    }

    #[test]
    fn step_key_reused_for_other_request() {
        let (_, first) = make_call(b"one");
        let (mut call, _) = make_call(b"two");
        let action = call.step(OnceEvent::Found(first, 5));
        assert_eq!(action, OnceAction::Refuse(OnceError::KeyReused));
    }

    #[test]
    fn step_intent_of_other_request_is_never_sent() {
        let (_, first) = make_call(b"");
        let (mut call, _) = make_call(b"");
        let mut action = call.step(OnceEvent::Found(first.clone(), 5));
        for _ in 0..MAX_POLLS {
            assert_eq!(action, OnceAction::Wait(POLL_INTERVAL));
            assert_eq!(call.step(OnceEvent::Waited), OnceAction::Read);
            action = call.step(OnceEvent::Found(first.clone(), 5));
        }
        assert_eq!(action, OnceAction::Refuse(OnceError::InDoubt));
    }

    #[test]
    fn step_free_record_is_taken_over() {
        let (_, mut first) = make_call(b"");
        first.state = OnceState::Free;
        let (mut call, record) = make_call(b"");
        let action = call.step(OnceEvent::Found(first, 5));
        assert_eq!(
            action,
            OnceAction::Write(WriteCondition::ModRevision(5), record)
        );
    }

    #[test]
    fn step_not_run_frees_record_before_next_attempt() {
        let (mut call, _) = make_call(b"");
        call.step(OnceEvent::Written(5));
        let action = call.step(OnceEvent::NotRun);
        assert!(matches!(
            action,
            OnceAction::Write(WriteCondition::ModRevision(5), record) if record.state == OnceState::Free
        ));
        assert_eq!(call.step(OnceEvent::Written(6)), OnceAction::Plan);
        let action = call.step(OnceEvent::Planned(make_target()));
        assert!(matches!(
            action,
            OnceAction::Write(WriteCondition::ModRevision(6), record) if record.attempt == 2
        ));
    }

    #[test]
    fn step_store_unavailable_sends_nothing() {
        let (mut call, _) = make_call(b"");
        let action = call.step(OnceEvent::NoEffect);
        assert_eq!(action, OnceAction::Refuse(OnceError::StoreUnavailable));
    }

    #[test]
    fn step_store_without_answer_refuses() {
        let (mut call, _) = make_call(b"");
        let mut action = OnceAction::Read;
        for _ in 0..MAX_INTENT_TRIES {
            assert_eq!(action, OnceAction::Read);
            action = call.step(OnceEvent::EffectUnknown);
        }
        assert_eq!(action, OnceAction::Refuse(OnceError::StoreUnavailable));
    }

    #[test]
    fn step_unsent_intent_is_released() {
        let (mut call, record) = make_call(b"");
        for _ in 0..MAX_INTENT_TRIES {
            call.step(OnceEvent::EffectUnknown);
        }
        assert!(matches!(call.step(OnceEvent::Replied), OnceAction::Wait(_)));
        assert_eq!(call.step(OnceEvent::Waited), OnceAction::Read);
        let action = call.step(OnceEvent::Found(record, 5));
        assert!(matches!(
            action,
            OnceAction::Write(WriteCondition::ModRevision(5), record) if record.state == OnceState::Free
        ));
    }

    #[test]
    fn step_not_run_with_store_down_answers_immediately() {
        let (mut call, _) = make_call(b"");
        call.step(OnceEvent::Written(5));
        call.step(OnceEvent::NotRun);
        assert!(!call.can_answer());
        let action = call.step(OnceEvent::NoEffect);
        assert!(matches!(action, OnceAction::Wait(_)));
        assert!(call.can_answer());
    }
}
