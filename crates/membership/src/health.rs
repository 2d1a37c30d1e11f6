//! The health of one target name: recent results, ejections and probation.
//!
//! The history belongs to the name, not to an incarnation, and outlives the target for a while.
//! So neither a renewal nor a restart readmits a target that fails everything.

use std::collections::VecDeque;

use greengage_core::Time;

use crate::event::Limits;

/// Failures in a row that eject a target before its window is full. A target that fails at once
/// would otherwise use up a whole window of tasks.
const CONSECUTIVE_FAILURE_LIMIT: u32 = 10;

/// Whether a name is fit for work, apart from its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// Any work.
    Healthy,
    /// No work until then.
    Ejected { until: Time },
    /// Single tasks.
    Probation {
        /// Successes in a row.
        successes: u32,
        /// Whether the last task failed.
        failed: bool,
    },
}

/// What is remembered of a name.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    pub(crate) state: HealthState,
    /// The latest results, at most a window of them; true for a failure.
    recent: VecDeque<bool>,
    /// Failures among them.
    failures: u32,
    /// Failures in a row.
    consecutive_failures: u32,
    /// Ejections since the last reset; each doubles the next one.
    ejections: u32,
    /// Since when the name has been fit and in use.
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

    /// Takes note of a target that comes back after it was gone; its absence is no healthy time.
    pub(crate) fn reset_healthy_since(&mut self, now: Time) {
        self.healthy_since = now;
    }

    /// Takes note of a result.
    pub(crate) fn record(&mut self, now: Time, failed: bool, limits: &Limits) {
        match &mut self.state {
            // The task started before the ejection, whose cause is known.
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

    /// Whether the results call for an ejection.
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

    /// Ejects the name, and returns until when.
    pub(crate) fn eject(&mut self, now: Time, limits: &Limits) -> Time {
        let factor = 1u32.checked_shl(self.ejections).unwrap_or(u32::MAX);
        let duration = limits.ejection_base.saturating_mul(factor);
        let until = now + duration.min(limits.ejection_max);
        // 31 doublings reach any limit that is in use.
        self.ejections = (self.ejections + 1).min(31);
        self.state = HealthState::Ejected { until };
        self.clear_window();
        until
    }

    /// Ends an ejection.
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
