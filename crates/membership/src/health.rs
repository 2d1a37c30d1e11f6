//! The health of a target name: recent results, ejections and probation.
//!
//! The history belongs to the name, not to an incarnation, and is kept for a while after the target
//! is gone. Neither a renewal nor a restart therefore ends the ejection of a failing target.

use std::collections::VecDeque;

use greengage_core::Time;

use crate::event::Limits;

/// Consecutive failures after which a target is ejected even if its window is not full. A target
/// that fails every task would otherwise consume a whole window of tasks.
const CONSECUTIVE_FAILURE_LIMIT: u32 = 10;

/// Health state of a target name, independent of its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// May be sent any work.
    Healthy,
    /// Must not be sent work until the given time.
    Ejected { until: Time },
    /// May be sent one task at a time.
    Probation {
        /// Consecutive successes.
        successes: u32,
        /// Whether the last task failed.
        failed: bool,
    },
}

/// Health history of a target name.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    pub(crate) state: HealthState,
    /// The latest results, up to the window length; true for a failure.
    recent: VecDeque<bool>,
    /// Number of failures in `recent`.
    failures: u32,
    consecutive_failures: u32,
    /// Ejections since the last reset; each doubles the duration of the next one.
    ejections: u32,
    /// Since when the name has been healthy without being gone.
    healthy_since: Time,
}

impl Health {
    pub(crate) fn new(now: Time) -> Health {
        Health {
            state: HealthState::Healthy,
            recent: VecDeque::new(),
            failures: 0,
            consecutive_failures: 0,
            ejections: 0,
            healthy_since: now,
        }
    }

    /// Restarts the healthy time when a gone target returns, since its absence does not count.
    pub(crate) fn reset_healthy_since(&mut self, now: Time) {
        self.healthy_since = now;
    }

    /// Records the result of an attempt.
    pub(crate) fn record(&mut self, now: Time, failed: bool, limits: &Limits) {
        match &mut self.state {
            // The task was started before the ejection, so its result adds nothing.
            HealthState::Ejected { .. } => {}
            HealthState::Probation {
                successes,
                failed: last_failed,
            } => {
                *last_failed = failed;
                *successes = if failed { 0 } else { *successes + 1 };
                if !failed && *successes >= limits.probation_successes {
                    self.state = HealthState::Healthy;
                    self.healthy_since = now;
                    self.clear_window();
                }
            }
            HealthState::Healthy => {
                self.push_result(failed, limits);
                if !failed && now.since(self.healthy_since) >= limits.ejection_max {
                    self.ejections = 0;
                }
            }
        }
    }

    fn push_result(&mut self, failed: bool, limits: &Limits) {
        while self.recent.len() >= window_len(limits) {
            if self.recent.pop_front() == Some(true) {
                self.failures -= 1;
            }
        }
        self.recent.push_back(failed);
        self.failures += u32::from(failed);
        self.consecutive_failures = if failed {
            self.consecutive_failures + 1
        } else {
            0
        };
    }

    fn clear_window(&mut self) {
        self.recent.clear();
        self.failures = 0;
        self.consecutive_failures = 0;
    }

    /// Whether the results justify an ejection.
    pub(crate) fn should_eject(&self, limits: &Limits) -> bool {
        match self.state {
            HealthState::Ejected { .. } => false,
            HealthState::Probation { failed, .. } => failed,
            HealthState::Healthy => {
                let full = self.recent.len() >= window_len(limits);
                let percent = u64::from(self.failures) * 100 / self.recent.len().max(1) as u64;
                self.consecutive_failures >= CONSECUTIVE_FAILURE_LIMIT
                    || (full && self.failures > 0 && percent >= u64::from(limits.eject_percent))
            }
        }
    }

    /// Ejects the name and returns the end of the ejection.
    pub(crate) fn eject(&mut self, now: Time, limits: &Limits) -> Time {
        let factor = 1u32.checked_shl(self.ejections).unwrap_or(u32::MAX);
        let duration = limits.ejection_base.saturating_mul(factor);
        let until = now + duration.min(limits.ejection_max);
        // 31 doublings exceed any limit in use.
        self.ejections = (self.ejections + 1).min(31);
        self.state = HealthState::Ejected { until };
        self.clear_window();
        until
    }

    /// Ends an ejection and starts the probation.
    pub(crate) fn start_probation(&mut self) {
        self.state = HealthState::Probation {
            successes: 0,
            failed: false,
        };
    }
}

fn window_len(limits: &Limits) -> usize {
    limits.window.max(1) as usize
}
