//! Call that asks to be sent to a server.

use std::time::Duration;

use crate::core::AccountName;
use crate::core::MonotonicTime;

/// Largest part of the objective that is reserved for the call's own work. Calls whose
/// work takes longer are late in any case and wait like others.
const MAX_OWN_WORK_SHARE: f64 = 0.6;

/// Largest part of the time until the deadline after which a call may begin.
const MAX_DEADLINE_SHARE: f64 = 0.8;

/// Call that asks to be sent to a server.
#[derive(Debug, Clone)]
pub struct OfferedCall {
    /// Account that the call runs for, if any.
    pub account: Option<AccountName>,
    /// Weight of the account, in proportion to its rate in tokens; at least 1, and
    /// [`Self::MEAN_WEIGHT`] for the mean account.
    pub weight: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Cost in tokens.
    pub tokens: u64,
    /// Target time from arrival to the first event or to the whole response.
    pub objective: Duration,
    /// When the call arrived.
    pub received_at: MonotonicTime,
    /// When its caller stops waiting.
    pub deadline: MonotonicTime,
    /// Recognises a call that was refused and is made again.
    pub identity: u64,
    /// Whether another server has had the call, or it takes up a stream: it is no longer
    /// held to the objective, and yields to first sends.
    pub is_resend: bool,
}

impl OfferedCall {
    /// Weight of an account whose rate is the mean of all accounts.
    pub const MEAN_WEIGHT: u32 = 1_000;

    /// Returns the latest time at which the call's own work of `work` may begin. A later
    /// response has little value, and takes the place of one on time: under overload,
    /// calls that may begin later all do, and all are late.
    pub fn latest_start(&self, work: Duration) -> MonotonicTime {
        let whole = self.deadline.since(self.received_at);
        let by_deadline = self.received_at + whole.mul_f64(MAX_DEADLINE_SHARE);
        if self.is_resend {
            return by_deadline;
        }
        let own_work = work.min(self.objective.mul_f64(MAX_OWN_WORK_SHARE));
        let by_objective = self.received_at + self.objective.saturating_sub(own_work);
        by_objective.min(by_deadline)
    }
}
