//! Prediction for a call at one server.

use std::time::Duration;

use crate::core::fleet::BackendChoice;
use crate::core::fleet::BackendKey;

/// Time by which one more call lengthens the wait at a plain server of six slots, by
/// the cost model of the dispatcher.
const PLAIN_CALL_WORK: Duration = Duration::from_millis(12);

/// Prediction for a call at the server that suits it best.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartEstimate {
    /// The server.
    pub server: BackendKey,
    /// Time until the server begins the call's own work.
    pub wait: Duration,
    /// The call's own work until its first token: what it fetches and prefills.
    pub work: Duration,
    /// Age of the server's last load report, if there was one.
    pub report_age: Option<Duration>,
    /// Whether the server is a plain one.
    pub is_plain: bool,
    /// Whether an agent reports the server's load at intervals. Others report it only in
    /// responses.
    pub has_agent: bool,
}

impl StartEstimate {
    /// Creates the estimate for a server that was chosen.
    pub fn new(choice: &BackendChoice, has_agent: bool) -> Self {
        let is_plain = choice.salt.is_none();
        let work = if is_plain {
            PLAIN_CALL_WORK
        } else {
            choice.predicted_ttft.saturating_sub(choice.predicted_wait)
        };
        Self {
            server: choice.key,
            wait: choice.predicted_wait,
            work,
            report_age: choice.report_age,
            is_plain,
            has_agent,
        }
    }
}
