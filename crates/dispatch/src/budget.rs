//! The retry budget of a zone, which keeps retries from multiplying the load in an outage.

use std::time::Duration;

use greengage_core::Time;

/// Retries allowed per hundred starts within the window.
const RETRY_PERCENT: u64 = 10;

/// Retries allowed within the window at any rate of starts.
const MIN_RETRIES: u64 = 10;

/// Half of the window over which starts and retries are counted.
const HALF_WINDOW: Duration = Duration::from_secs(5);

/// Counts of starts and retries in the current and in the previous half window.
#[derive(Default)]
pub(crate) struct RetryBudget {
    window_start: Time,
    starts: [u64; 2],
    retries: [u64; 2],
}

impl RetryBudget {
    /// Begins a new half window when the current one has ended.
    fn rotate(&mut self, now: Time) {
        let age = now.since(self.window_start);
        if age < HALF_WINDOW {
            return;
        }
        let keep = age < HALF_WINDOW * 2;
        self.starts = [0, if keep { self.starts[0] } else { 0 }];
        self.retries = [0, if keep { self.retries[0] } else { 0 }];
        self.window_start = now;
    }

    pub(crate) fn record_start(&mut self, now: Time) {
        self.rotate(now);
        self.starts[0] += 1;
    }

    /// Counts a retry and returns true, or returns false when the budget is exhausted.
    pub(crate) fn try_take(&mut self, now: Time) -> bool {
        self.rotate(now);
        let starts: u64 = self.starts.iter().sum();
        let retries: u64 = self.retries.iter().sum();
        let allowed = retries < MIN_RETRIES + starts * RETRY_PERCENT / 100;
        if allowed {
            self.retries[0] += 1;
        }
        allowed
    }
}
