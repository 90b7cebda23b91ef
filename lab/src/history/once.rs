//! Checks that operations ran at most once and that responses told the truth
//! about them.

use std::collections::BTreeMap;
use std::fmt;

use teaseldrum::core::Outcome;

/// One observation of an operation, which callers identify by an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceObservation {
    /// The service ran the operation.
    Ran {
        /// Idempotency key of the operation.
        key: String,
        /// Id of the request that the service ran.
        request: u128,
    },
    /// A caller got a response.
    Responded {
        /// Idempotency key of the operation.
        key: String,
        /// Id of the request that got the response.
        request: u128,
        /// Outcome that the response states.
        outcome: Outcome,
        /// Body, which is compared only if the outcome is `Ran`.
        body: String,
    },
}

/// Violation of the at-most-once guarantee, with the idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceViolation {
    /// The operation ran this many times, more than once.
    RanMoreThanOnce(String, usize),
    /// A response said `NotRun` of a request that ran.
    FalseNotRun(String),
    /// A response said `Ran` of an operation that did not run.
    FalseRan(String),
    /// Two responses for one operation had different bodies.
    DifferentResponses(String),
}

impl fmt::Display for OnceViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RanMoreThanOnce(key, runs) => write!(f, "{key} ran {runs} times"),
            Self::FalseNotRun(key) => write!(f, "{key} ran but its response says not-run"),
            Self::FalseRan(key) => write!(f, "{key} did not run but its response says ran"),
            Self::DifferentResponses(key) => write!(f, "{key} got different responses"),
        }
    }
}

/// Checks that each operation ran at most once and that every response about it
/// is true. The order of the observations does not matter.
///
/// # Errors
///
/// Returns the first violation found.
pub fn check_once(history: &[OnceObservation]) -> Result<(), OnceViolation> {
    let mut runs: BTreeMap<&str, Vec<u128>> = BTreeMap::new();
    for observation in history {
        if let OnceObservation::Ran { key, request } = observation {
            runs.entry(key).or_default().push(*request);
        }
    }
    for (key, requests) in &runs {
        if requests.len() > 1 {
            return Err(OnceViolation::RanMoreThanOnce(
                (*key).into(),
                requests.len(),
            ));
        }
    }
    let mut responses: BTreeMap<&str, &str> = BTreeMap::new();
    for observation in history {
        let OnceObservation::Responded {
            key,
            request,
            outcome,
            body,
        } = observation
        else {
            continue;
        };
        let requests_run = runs.get(key.as_str());
        let has_run = requests_run.is_some_and(|requests| requests.contains(request));
        match outcome {
            Outcome::NotRun if has_run => return Err(OnceViolation::FalseNotRun(key.clone())),
            Outcome::Ran if requests_run.is_none() => {
                return Err(OnceViolation::FalseRan(key.clone()));
            }
            Outcome::Ran if *responses.entry(key).or_insert(body) != body => {
                return Err(OnceViolation::DifferentResponses(key.clone()));
            }
            _ => {}
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ran(request: u128) -> OnceObservation {
        OnceObservation::Ran {
            key: "k".into(),
            request,
        }
    }

    fn responded(request: u128, outcome: Outcome, body: &str) -> OnceObservation {
        OnceObservation::Responded {
            key: "k".into(),
            request,
            outcome,
            body: body.into(),
        }
    }

    #[test]
    fn check_once_consistent() {
        let history = [
            responded(1, Outcome::NotRun, ""),
            ran(2),
            responded(2, Outcome::Ran, "a"),
            responded(3, Outcome::Ran, "a"),
            responded(4, Outcome::Unknown, ""),
        ];
        assert_eq!(check_once(&history), Ok(()));
    }

    #[test]
    fn check_once_ran_more_than_once() {
        let violation = check_once(&[ran(1), ran(2)]);
        assert_eq!(
            violation,
            Err(OnceViolation::RanMoreThanOnce("k".into(), 2))
        );
    }

    #[test]
    fn check_once_false_not_run() {
        let violation = check_once(&[ran(1), responded(1, Outcome::NotRun, "")]);
        assert_eq!(violation, Err(OnceViolation::FalseNotRun("k".into())));
    }

    #[test]
    fn check_once_false_ran() {
        let violation = check_once(&[responded(1, Outcome::Ran, "a")]);
        assert_eq!(violation, Err(OnceViolation::FalseRan("k".into())));
    }

    #[test]
    fn check_once_different_responses() {
        let history = [
            ran(1),
            responded(1, Outcome::Ran, "a"),
            responded(2, Outcome::Ran, "b"),
        ];
        let violation = check_once(&history);
        assert_eq!(
            violation,
            Err(OnceViolation::DifferentResponses("k".into()))
        );
    }
}
