//! Requests with one idempotency key, interleaved with the faults of a store
//! and a service in every order that `proptest` draws.

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

const CASES: u32 = 4_096;
const CALLERS: usize = 4;
const DEFAULT_SEED: u8 = 11;

/// What befalls the next action of a caller's request.
#[derive(Debug, Clone, Copy)]
enum Fate {
    /// The store and the service do as asked.
    Done,
    /// The store is not reached; the agent refuses the attempt.
    Refused,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// Its answer is lost and it takes effect later, or never.
    Delayed,
    /// The entry is killed before it hears of an effect.
    Killed,
}

#[derive(Debug, Clone, Copy)]
enum Operation {
    Step(usize, Fate),
    /// The oldest delayed write reaches the store.
    LandWrite,
}

fn draw_fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        8 => Just(Fate::Done),
        2 => Just(Fate::Refused),
        2 => Just(Fate::AnswerLost),
        2 => Just(Fate::Delayed),
        1 => Just(Fate::Killed),
    ]
}

fn draw_operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        9 => (0..CALLERS, draw_fate()).prop_map(|(caller, fate)| Operation::Step(caller, fate)),
        1 => Just(Operation::LandWrite),
    ]
}

struct Caller {
    request: RequestId,
    call: OnceCall,
    action: Option<OnceAction>,
    outcome: Option<(Outcome, String)>,
}

struct Model {
    record: Option<(OnceRecord, i64)>,
    revision: i64,
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
                let action = Some(call.step(OnceEvent::Planned(make_plan())));
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
            Operation::LandWrite if self.delayed.is_empty() => {}
            Operation::LandWrite => {
                let (expect, record) = self.delayed.remove(0);
                self.write(expect, record);
            }
            Operation::Step(index, fate) => self.step(index, fate),
        }
    }

    fn step(&mut self, index: usize, fate: Fate) {
        let Some(action) = self.callers[index].action.take() else {
            return;
        };
        let event = match action {
            OnceAction::Write(expect, record) => self.step_write(expect, record, fate),
            OnceAction::Read => match fate {
                Fate::Done => Some(self.read()),
                Fate::Killed => None,
                _ => Some(OnceEvent::EffectUnknown),
            },
            OnceAction::Wait(_) => Some(OnceEvent::Waited),
            OnceAction::Plan => Some(OnceEvent::Planned(make_plan())),
            OnceAction::Send(_) => self.step_send(index, fate),
            OnceAction::Respond(kept) => {
                let body = kept.body.unwrap_or_default();
                self.answer(index, Outcome::Ran, &body);
                Some(OnceEvent::Replied)
            }
            OnceAction::Refuse(e) => {
                self.answer(index, judge_refusal(e), b"");
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
        let is_answered = caller.call.is_answered() && is_idle;
        caller.action = Some(action);
        if is_answered && let Some((outcome, body)) = caller.outcome.take() {
            self.answer(index, outcome, body.as_bytes());
        }
    }

    fn step_write(
        &mut self,
        expect: WriteCondition,
        record: OnceRecord,
        fate: Fate,
    ) -> Option<OnceEvent> {
        match fate {
            Fate::Done => Some(self.write(expect, record)),
            Fate::Refused => Some(OnceEvent::NoEffect),
            Fate::AnswerLost => {
                self.write(expect, record);
                Some(OnceEvent::EffectUnknown)
            }
            Fate::Delayed => {
                self.delayed.push((expect, record));
                Some(OnceEvent::EffectUnknown)
            }
            Fate::Killed => {
                self.write(expect, record);
                None
            }
        }
    }

    fn step_send(&mut self, index: usize, fate: Fate) -> Option<OnceEvent> {
        if matches!(fate, Fate::Refused) {
            self.callers[index].outcome = Some((Outcome::NotRun, String::new()));
            return Some(OnceEvent::NotRun);
        }
        let request = self.callers[index].request.bits();
        self.history.push(OnceObservation::Ran {
            key: "k".into(),
            request,
        });
        match fate {
            Fate::Killed => None,
            Fate::Done => {
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

    fn write(&mut self, expect: WriteCondition, record: OnceRecord) -> OnceEvent {
        let is_expected = match (expect, &self.record) {
            (WriteCondition::Absent, None) => true,
            (WriteCondition::ModRevision(revision), Some((_, current))) => revision == *current,
            _ => false,
        };
        if !is_expected {
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
        self.history.push(OnceObservation::Answered {
            key: "k".into(),
            request: self.callers[index].request.bits(),
            outcome,
            body: String::from_utf8_lossy(body).into_owned(),
        });
    }
}

fn make_plan() -> AttemptTarget {
    AttemptTarget {
        server: "s1".into(),
        agent: None,
    }
}

fn judge_refusal(e: OnceError) -> Outcome {
    match e {
        OnceError::KeyReused | OnceError::StoreUnavailable => Outcome::NotRun,
        OnceError::InDoubt => Outcome::Unknown,
        OnceError::ResponseNotStored => Outcome::Ran,
    }
}

#[test]
fn once_history_drawn() {
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
    let operations = vec(draw_operation(), 1..120);
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
