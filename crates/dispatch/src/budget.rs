//! The retry budget of a zone, which keeps retries from multiplying the load in an outage.

use std::time::Duration;

use greengage_contention::Windows;
use greengage_core::Time;

/// Retries allowed per hundred starts within the window.
const RETRY_PERCENT: u64 = 10;

/// Retries allowed within the window at any rate of starts.
const MIN_RETRIES: u64 = 10;

/// Half of the window over which starts and retries are counted.
const HALF_WINDOW: Duration = Duration::from_secs(5);

/// Numbers of starts and of retries.
type Counts = (u64, u64);

/// Counts of starts and retries in the current and in the previous half window.
#[derive(Default)]
pub(crate) struct RetryBudget(Windows<Counts>);

impl RetryBudget {
    pub(crate) fn record_start(&mut self, now: Time) {
        self.0.record(now, HALF_WINDOW).0 += 1;
    }

    /// Counts a retry and returns true, or returns false when the budget is exhausted.
    pub(crate) fn try_take(&mut self, now: Time) -> bool {
        self.0.record(now, HALF_WINDOW);
        let [current, previous] = self.0.values();
        let (starts, retries) = (current.0 + previous.0, current.1 + previous.1);
        let allowed = retries < MIN_RETRIES + starts * RETRY_PERCENT / 100;
        if allowed {
            self.0.record(now, HALF_WINDOW).1 += 1;
        }
        allowed
    }
}
