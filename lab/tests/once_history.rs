//! Concurrent requests with one idempotency key, checked over random
//! interleavings with faults of the store, the service and the entry.

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use teaseldrum::core::Outcome;
use teaseldrum::core::RequestId;
use teaseldrum::core::once::AttemptTarget;
use teaseldrum::core::once::OnceAction;
use teaseldrum::core::once::OnceCall;
use teaseldrum::core::once::OnceError;
use teaseldrum::core::once::OnceEvent;
use teaseldrum::core::once::OnceRecord;
use teaseldrum::core::once::RequestDigest;
use teaseldrum::core::once::StoredResponse;
use teaseldrum::core::once::WriteCondition;
use teaseldrum_lab::history::OnceObservation;
use teaseldrum_lab::history::check_once;

/// Number of random interleavings.
const CASES: u32 = 4_096;
const CALLERS: usize = 4;
/// Seed if `TEASELDRUM_SEED` is not set.
const DEFAULT_SEED: u8 = 11;

/// Fault during the next action of a caller's request.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// No fault.
    None,
    /// The store is not reached, or the agent refuses the attempt.
    Refused,
    /// The action takes effect, but its answer is lost.
    AnswerLost,
    /// The answer is lost, and a write takes effect later or never.
    Delayed,
    /// The entry is killed before it receives the answer.
    Killed,
}

#[derive(Debug, Clone, Copy)]
enum Operation {
    /// The caller with this index carries out its next action.
    Step(usize, Fault),
    /// The oldest delayed write reaches the store.
    ApplyDelayedWrite,
}

fn fault_strategy() -> impl Strategy<Value = Fault> {
    prop_oneof![
        8 => Just(Fault::None),
        2 => Just(Fault::Refused),
        2 => Just(Fault::AnswerLost),
        2 => Just(Fault::Delayed),
        1 => Just(Fault::Killed),
    ]
}

fn operation_strategy() -> impl Strategy<Value = Operation> {
    prop_oneof![
        9 => (0..CALLERS, fault_strategy()).prop_map(|(caller, fault)| Operation::Step(caller, fault)),
        1 => Just(Operation::ApplyDelayedWrite),
    ]
}

/// Request of one caller and the entry that handles it.
struct Caller {
    request: RequestId,
    call: OnceCall,
    action: Option<OnceAction>,
    /// Outcome and body that the caller gets once the call is answered.
    outcome: Option<(Outcome, String)>,
}

/// Model of the store and of all callers.
struct Model {
    record: Option<(OnceRecord, i64)>,
    revision: i64,
    /// Writes that have yet to reach the store, oldest first.
    delayed: Vec<(WriteCondition, OnceRecord)>,
    callers: Vec<Caller>,
    history: Vec<OnceObservation>,
}

impl Model {
    fn new() -> Self {
        let callers = (0..CALLERS)
            .map(|index| {
                let request = RequestId::from_bits(index as u128);
                let digest = RequestDigest::new("POST", "/orders", b"order");
                let mut call = OnceCall::new(digest, request);
                let action = Some(call.step(OnceEvent::Planned(make_target())));
                Caller {
                    request,
                    call,
                    action,
                    outcome: None,
                }
            })
            .collect();
        Self {
            record: None,
            revision: 1,
            delayed: Vec::new(),
            callers,
            history: Vec::new(),
        }
    }

    fn run(&mut self, operation: Operation) {
        match operation {
            Operation::ApplyDelayedWrite if self.delayed.is_empty() => {}
            Operation::ApplyDelayedWrite => {
                let (condition, record) = self.delayed.remove(0);
                self.write(condition, record);
            }
            Operation::Step(index, fault) => self.step(index, fault),
        }
    }

    fn step(&mut self, index: usize, fault: Fault) {
        let Some(action) = self.callers[index].action.take() else {
            return;
        };
        let event = match action {
            OnceAction::Write(condition, record) => self.step_write(condition, record, fault),
            OnceAction::Read => match fault {
                Fault::None => Some(self.read()),
                Fault::Killed => None,
                _ => Some(OnceEvent::EffectUnknown),
            },
            OnceAction::Wait(_) => Some(OnceEvent::Waited),
            OnceAction::Plan => Some(OnceEvent::Planned(make_target())),
            OnceAction::Send(_) => self.step_send(index, fault),
            OnceAction::Respond(stored) => {
                let body = stored.body.unwrap_or_default();
                self.answer(index, Outcome::Ran, &body);
                Some(OnceEvent::Replied)
            }
            OnceAction::Refuse(e) => {
                self.answer(index, outcome_of_refusal(e), b"");
                Some(OnceEvent::Replied)
            }
            OnceAction::Stop => None,
        };
        let Some(event) = event else {
            return;
        };
        let caller = &mut self.callers[index];
        let action = caller.call.step(event);
        let is_idle = matches!(action, OnceAction::Wait(_) | OnceAction::Stop);
        let can_answer = caller.call.can_answer() && is_idle;
        caller.action = Some(action);
        if can_answer && let Some((outcome, body)) = caller.outcome.take() {
            self.answer(index, outcome, body.as_bytes());
        }
    }

    fn step_write(
        &mut self,
        condition: WriteCondition,
        record: OnceRecord,
        fault: Fault,
    ) -> Option<OnceEvent> {
        match fault {
            Fault::None => Some(self.write(condition, record)),
            Fault::Refused => Some(OnceEvent::NoEffect),
            Fault::AnswerLost => {
                self.write(condition, record);
                Some(OnceEvent::EffectUnknown)
            }
            Fault::Delayed => {
                self.delayed.push((condition, record));
                Some(OnceEvent::EffectUnknown)
            }
            Fault::Killed => {
                self.write(condition, record);
                None
            }
        }
    }

    fn step_send(&mut self, index: usize, fault: Fault) -> Option<OnceEvent> {
        if matches!(fault, Fault::Refused) {
            self.callers[index].outcome = Some((Outcome::NotRun, String::new()));
            return Some(OnceEvent::NotRun);
        }
        let request = self.callers[index].request.bits();
        self.history.push(OnceObservation::Ran {
            key: "k".into(),
            request,
        });
        match fault {
            Fault::Killed => None,
            Fault::None => {
                let body = format!("answer to {request}");
                self.callers[index].outcome = Some((Outcome::Ran, body.clone()));
                Some(OnceEvent::Ran(StoredResponse::new(200, None, body.into())))
            }
            _ => {
                self.callers[index].outcome = Some((Outcome::Unknown, String::new()));
                Some(OnceEvent::OutcomeUnknown)
            }
        }
    }

    fn write(&mut self, condition: WriteCondition, record: OnceRecord) -> OnceEvent {
        let is_condition_met = match (condition, &self.record) {
            (WriteCondition::Absent, None) => true,
            (WriteCondition::ModRevision(revision), Some((_, current))) => revision == *current,
            _ => false,
        };
        if !is_condition_met {
            return self.read();
        }
        self.revision += 1;
        self.record = Some((record, self.revision));
        OnceEvent::Written(self.revision)
    }

    fn read(&self) -> OnceEvent {
        match self.record.clone() {
            Some((record, revision)) => OnceEvent::Found(record, revision),
            None => OnceEvent::Absent,
        }
    }

    fn answer(&mut self, index: usize, outcome: Outcome, body: &[u8]) {
        self.history.push(OnceObservation::Responded {
            key: "k".into(),
            request: self.callers[index].request.bits(),
            outcome,
            body: String::from_utf8_lossy(body).into_owned(),
        });
    }
}

fn make_target() -> AttemptTarget {
    AttemptTarget {
        server: "s1".into(),
        agent: None,
    }
}

fn outcome_of_refusal(e: OnceError) -> Outcome {
    match e {
        OnceError::KeyReused | OnceError::StoreUnavailable => Outcome::NotRun,
        OnceError::InDoubt => Outcome::Unknown,
        OnceError::ResponseNotStored => Outcome::Ran,
    }
}

#[test]
fn once_history_random_interleavings() {
    let seed = std::env::var("TEASELDRUM_SEED").ok();
    let seed = seed
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    println!("seed: TEASELDRUM_SEED={seed}");
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let operations = vec(operation_strategy(), 1..120);
    let result = runner.run(&operations, |operations| {
        let mut model = Model::new();
        for operation in operations {
            model.run(operation);
        }
        check_once(&model.history).map_err(|e| TestCaseError::fail(e.to_string()))
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}
