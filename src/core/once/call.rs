//! Decisions about one request that may run at most once.

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

const MAX_STORE_TRIES: u32 = 3;
const MAX_SETTLE_TRIES: u32 = 12;
const STORE_RETRY_WAIT: Duration = Duration::from_millis(100);
const MAX_SETTLE_WAIT: Duration = Duration::from_secs(10);
const POLL_WAIT: Duration = Duration::from_millis(100);
const MAX_POLLS: u32 = 20;

/// Decisions about one request that may run at most once.
///
/// The request is sent only while its record in the store is an intent that
/// names this request and attempt. The record moves on to another attempt, or
/// to another request, only after an attempt certainly did not run.
#[derive(Debug)]
pub struct OnceCall {
    digest: RequestDigest,
    request: RequestId,
    attempt: u32,
    phase: Phase,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// No attempt is planned; the record is as expected.
    Planning(WriteCondition),
    /// The intent is being written.
    Claiming(Claim),
    /// Another request owns the record.
    Polling(Claim, u32),
    /// The attempt may be sent.
    Owned(i64, OnceRecord),
    /// The outcome is being written.
    Settling(Settlement),
    /// The intent may be in the store although nothing was sent.
    Releasing(OnceRecord, u32),
    Closed,
}

/// An intent on its way into the store.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Claim {
    expect: WriteCondition,
    record: OnceRecord,
    tries: u32,
    /// A write of it got no answer.
    may_be_stored: bool,
}

/// An outcome on its way into the store.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Settlement {
    revision: i64,
    record: OnceRecord,
    tries: u32,
    /// The next attempt is planned once the store has this one's outcome.
    plan_after: bool,
}

impl OnceCall {
    /// Creates the decisions about a request that has yet to be planned.
    pub fn new(digest: RequestDigest, request: RequestId) -> Self {
        Self {
            digest,
            request,
            attempt: 0,
            phase: Phase::Planning(WriteCondition::Absent),
        }
    }

    /// Tells whether only the record is left to be settled, so that the
    /// caller can have its answer.
    pub fn is_answered(&self) -> bool {
        match &self.phase {
            Phase::Settling(settlement) => !settlement.plan_after,
            Phase::Releasing(..) | Phase::Closed => true,
            _ => false,
        }
    }

    /// Takes note of an event and returns what to do next.
    pub fn step(&mut self, event: OnceEvent) -> OnceAction {
        match std::mem::replace(&mut self.phase, Phase::Closed) {
            Phase::Planning(expect) => self.step_planning(expect, event),
            Phase::Claiming(claim) => self.step_claiming(claim, event),
            Phase::Polling(claim, polls) => self.step_polling(claim, polls, event),
            Phase::Owned(revision, record) => self.step_owned(revision, record, event),
            Phase::Settling(settlement) => self.step_settling(settlement, event),
            Phase::Releasing(record, tries) => self.step_releasing(record, tries, event),
            Phase::Closed => OnceAction::Stop,
        }
    }

    fn step_planning(&mut self, expect: WriteCondition, event: OnceEvent) -> OnceAction {
        let OnceEvent::Planned(plan) = event else {
            return OnceAction::Stop;
        };
        self.claim(expect, &plan)
    }

    fn claim(&mut self, expect: WriteCondition, plan: &AttemptTarget) -> OnceAction {
        self.attempt += 1;
        let record = OnceRecord::new_intent(self.digest, self.request, self.attempt, plan);
        self.write_claim(Claim {
            expect,
            record,
            tries: 0,
            may_be_stored: false,
        })
    }

    fn write_claim(&mut self, mut claim: Claim) -> OnceAction {
        claim.tries += 1;
        if claim.tries > MAX_STORE_TRIES {
            return self.give_up(claim);
        }
        let action = OnceAction::Write(claim.expect, claim.record.clone());
        self.phase = Phase::Claiming(claim);
        action
    }

    fn step_claiming(&mut self, mut claim: Claim, event: OnceEvent) -> OnceAction {
        match event {
            OnceEvent::Written(revision) => self.own(revision, claim.record),
            OnceEvent::Found(found, revision) => self.judge_found(claim, found, revision, 0),
            OnceEvent::Absent if claim.expect == WriteCondition::Absent => self.write_claim(claim),
            OnceEvent::EffectUnknown if claim.tries < MAX_STORE_TRIES => {
                claim.tries += 1;
                claim.may_be_stored = true;
                self.phase = Phase::Claiming(claim);
                OnceAction::Read
            }
            _ => self.give_up(claim),
        }
    }

    /// Refuses the request, which was not sent. An intent that may be in the
    /// store is freed afterwards, lest repeats find it in doubt.
    fn give_up(&mut self, claim: Claim) -> OnceAction {
        if claim.may_be_stored {
            self.phase = Phase::Releasing(claim.record, 0);
        }
        OnceAction::Refuse(OnceError::StoreUnavailable)
    }

    fn step_releasing(&mut self, record: OnceRecord, tries: u32, event: OnceEvent) -> OnceAction {
        match event {
            OnceEvent::Found(found, revision) if found == record => self.settle(Settlement {
                revision,
                record: OnceRecord {
                    state: OnceState::Free,
                    ..record
                },
                tries,
                plan_after: false,
            }),
            OnceEvent::Waited => {
                self.phase = Phase::Releasing(record, tries);
                OnceAction::Read
            }
            OnceEvent::Found(..) => OnceAction::Stop,
            _ if tries < MAX_SETTLE_TRIES => {
                self.phase = Phase::Releasing(record, tries + 1);
                OnceAction::Wait(back_off(tries))
            }
            _ => OnceAction::Stop,
        }
    }

    /// Judges a record that is not, or perhaps not, the one just written.
    fn judge_found(
        &mut self,
        mut claim: Claim,
        found: OnceRecord,
        revision: i64,
        polls: u32,
    ) -> OnceAction {
        if found == claim.record {
            return self.own(revision, found);
        }
        if claim.expect == WriteCondition::ModRevision(revision) {
            return self.write_claim(claim);
        }
        if found.digest != self.digest {
            return OnceAction::Refuse(OnceError::KeyReused);
        }
        match found.state {
            OnceState::Free => {
                claim.expect = WriteCondition::ModRevision(revision);
                self.write_claim(claim)
            }
            OnceState::Ran(answer) if answer.body.is_none() => {
                OnceAction::Refuse(OnceError::ResponseNotStored)
            }
            OnceState::Ran(answer) => OnceAction::Respond(answer),
            OnceState::Intent if polls < MAX_POLLS => {
                self.phase = Phase::Polling(claim, polls + 1);
                OnceAction::Wait(POLL_WAIT)
            }
            OnceState::Intent | OnceState::InDoubt => OnceAction::Refuse(OnceError::InDoubt),
        }
    }

    fn step_polling(&mut self, claim: Claim, polls: u32, event: OnceEvent) -> OnceAction {
        match event {
            OnceEvent::Waited => {
                self.phase = Phase::Polling(claim, polls);
                OnceAction::Read
            }
            OnceEvent::Found(found, revision) => self.judge_found(claim, found, revision, polls),
            _ => OnceAction::Refuse(OnceError::InDoubt),
        }
    }

    fn own(&mut self, revision: i64, record: OnceRecord) -> OnceAction {
        self.phase = Phase::Owned(revision, record);
        OnceAction::Send(self.attempt)
    }

    fn step_owned(&mut self, revision: i64, record: OnceRecord, event: OnceEvent) -> OnceAction {
        let (state, plan_after) = match event {
            OnceEvent::NotRun => (OnceState::Free, true),
            OnceEvent::Ran(answer) => (OnceState::Ran(answer), false),
            _ => (OnceState::InDoubt, false),
        };
        self.settle(Settlement {
            revision,
            record: OnceRecord { state, ..record },
            tries: 0,
            plan_after,
        })
    }

    fn settle(&mut self, settlement: Settlement) -> OnceAction {
        if settlement.tries >= MAX_SETTLE_TRIES {
            return OnceAction::Stop;
        }
        let expect = WriteCondition::ModRevision(settlement.revision);
        let action = OnceAction::Write(expect, settlement.record.clone());
        self.phase = Phase::Settling(settlement);
        action
    }

    fn step_settling(&mut self, mut settlement: Settlement, event: OnceEvent) -> OnceAction {
        match event {
            OnceEvent::Written(revision) => self.settled(&settlement, revision),
            OnceEvent::Found(found, revision) if found == settlement.record => {
                self.settled(&settlement, revision)
            }
            OnceEvent::Found(_, revision) if revision == settlement.revision => {
                self.settle(settlement)
            }
            OnceEvent::NoEffect | OnceEvent::EffectUnknown => {
                let wait = back_off(settlement.tries);
                settlement.tries += 1;
                settlement.plan_after = false;
                self.phase = Phase::Settling(settlement);
                OnceAction::Wait(wait)
            }
            OnceEvent::Waited => {
                self.phase = Phase::Settling(settlement);
                OnceAction::Read
            }
            _ => OnceAction::Stop,
        }
    }

    fn settled(&mut self, settlement: &Settlement, revision: i64) -> OnceAction {
        if !settlement.plan_after {
            return OnceAction::Stop;
        }
        self.phase = Phase::Planning(WriteCondition::ModRevision(revision));
        OnceAction::Plan
    }
}

/// Returns the wait after this many failures.
fn back_off(tries: u32) -> Duration {
    let wait = STORE_RETRY_WAIT.saturating_mul(1 << tries.min(16));
    wait.min(MAX_SETTLE_WAIT)
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;

    use super::*;
    use crate::core::once::StoredResponse;

    fn make_plan() -> AttemptTarget {
        AttemptTarget {
            server: "s1".into(),
            agent: None,
        }
    }

    fn make_call(body: &[u8]) -> (OnceCall, OnceRecord) {
        let digest = RequestDigest::new("POST", "/", body);
        let mut call = OnceCall::new(digest, RequestId::random());
        match call.step(OnceEvent::Planned(make_plan())) {
            OnceAction::Write(WriteCondition::Absent, record) => (call, record),
            action => panic!("{action:?}"),
        }
    }

    fn make_answer() -> StoredResponse {
        StoredResponse::new(200, None, Bytes::from_static(b"done"))
    }

    #[test]
    fn step_intent_then_send_then_outcome() {
        let (mut call, record) = make_call(b"");
        assert_eq!(call.step(OnceEvent::Written(5)), OnceAction::Send(1));
        let ran = OnceRecord {
            state: OnceState::Ran(make_answer()),
            ..record
        };
        assert_eq!(
            call.step(OnceEvent::Ran(make_answer())),
            OnceAction::Write(WriteCondition::ModRevision(5), ran)
        );
        assert_eq!(call.step(OnceEvent::Written(6)), OnceAction::Stop);
    }

    #[test]
    fn step_lost_answer_recognised() {
        let (mut call, record) = make_call(b"");
        assert_eq!(call.step(OnceEvent::EffectUnknown), OnceAction::Read);
        let action = call.step(OnceEvent::Found(record, 5));
        assert_eq!(action, OnceAction::Send(1));
    }

    #[test]
    fn step_lost_answer_without_effect() {
        let (mut call, record) = make_call(b"");
        assert_eq!(call.step(OnceEvent::EffectUnknown), OnceAction::Read);
        let action = call.step(OnceEvent::Absent);
        assert_eq!(action, OnceAction::Write(WriteCondition::Absent, record));
    }

    #[test]
    fn step_repeat_gets_kept_answer() {
        let (_, mut first) = make_call(b"");
        first.state = OnceState::Ran(make_answer());
        let (mut call, _) = make_call(b"");
        let action = call.step(OnceEvent::Found(first, 5));
        assert_eq!(action, OnceAction::Respond(make_answer()));
    }

    #[test]
    fn step_other_digest() {
        let (_, first) = make_call(b"one");
        let (mut call, _) = make_call(b"two");
        let action = call.step(OnceEvent::Found(first, 5));
        assert_eq!(action, OnceAction::Refuse(OnceError::KeyReused));
    }

    #[test]
    fn step_intent_of_another_is_never_sent() {
        let (_, first) = make_call(b"");
        let (mut call, _) = make_call(b"");
        let mut action = call.step(OnceEvent::Found(first.clone(), 5));
        for _ in 0..MAX_POLLS {
            assert_eq!(action, OnceAction::Wait(POLL_WAIT));
            assert_eq!(call.step(OnceEvent::Waited), OnceAction::Read);
            action = call.step(OnceEvent::Found(first.clone(), 5));
        }
        assert_eq!(action, OnceAction::Refuse(OnceError::InDoubt));
    }

    #[test]
    fn step_free_is_claimed_by_swap() {
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
    fn step_not_run_moves_record_before_next_attempt() {
        let (mut call, _) = make_call(b"");
        call.step(OnceEvent::Written(5));
        let action = call.step(OnceEvent::NotRun);
        assert!(matches!(
            action,
            OnceAction::Write(WriteCondition::ModRevision(5), record) if record.state == OnceState::Free
        ));
        assert_eq!(call.step(OnceEvent::Written(6)), OnceAction::Plan);
        let action = call.step(OnceEvent::Planned(make_plan()));
        assert!(matches!(
            action,
            OnceAction::Write(WriteCondition::ModRevision(6), record) if record.attempt == 2
        ));
    }

    #[test]
    fn step_store_down_sends_nothing() {
        let (mut call, _) = make_call(b"");
        let action = call.step(OnceEvent::NoEffect);
        assert_eq!(action, OnceAction::Refuse(OnceError::StoreUnavailable));
    }

    #[test]
    fn step_store_silent_gives_up() {
        let (mut call, _) = make_call(b"");
        let mut action = OnceAction::Read;
        for _ in 0..MAX_STORE_TRIES {
            assert_eq!(action, OnceAction::Read);
            action = call.step(OnceEvent::EffectUnknown);
        }
        assert_eq!(action, OnceAction::Refuse(OnceError::StoreUnavailable));
    }

    #[test]
    fn step_unsent_intent_is_freed() {
        let (mut call, record) = make_call(b"");
        for _ in 0..MAX_STORE_TRIES {
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
    fn step_not_run_with_store_down_answers_at_once() {
        let (mut call, _) = make_call(b"");
        call.step(OnceEvent::Written(5));
        call.step(OnceEvent::NotRun);
        assert!(!call.is_answered());
        let action = call.step(OnceEvent::NoEffect);
        assert!(matches!(action, OnceAction::Wait(_)));
        assert!(call.is_answered());
    }
}
