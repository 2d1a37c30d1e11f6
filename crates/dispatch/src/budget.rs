//! The retry budget of the zone, which keeps an outage from multiplying the load.

use std::time::Duration;

use greengage_core::Time;

/// Retries per hundred recent starts.
const RETRY_PERCENT: u64 = 10;

/// Retries allowed at any rate of starts.
const MIN_RETRIES: u64 = 10;

/// Half of the span that counts as recent.
const HALF_WINDOW: Duration = Duration::from_secs(5);

/// Starts and retries of the present and of the last half span.
#[derive(Default)]
pub(crate) struct RetryBudget {
    window_start: Time,
    starts: [u64; 2],
    retries: [u64; 2],
}

impl RetryBudget {
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

    /// Counts a start.
    pub(crate) fn record_start(&mut self, now: Time) {
        self.rotate(now);
        self.starts[0] += 1;
    }

    /// Takes a retry out of the budget, if it has one left.
    pub(crate) fn try_take(&mut self, now: Time) -> bool {
        self.rotate(now);
        let starts: u64 = self.starts.iter().sum();
        let retries: u64 = self.retries.iter().sum();
        let left = retries < MIN_RETRIES + starts * RETRY_PERCENT / 100;
        if left {
            self.retries[0] += 1;
        }
        left
    }
}
