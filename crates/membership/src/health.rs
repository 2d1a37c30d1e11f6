//! The health of one target name: recent results, ejections and probation.
//!
//! The history belongs to the name, not to an incarnation, and outlives the target for a while.
//! So neither a renewal nor a restart readmits a target that fails everything.

use std::collections::VecDeque;

use greengage_core::Time;

use crate::event::Limits;

/// Failures in a row that eject a target before its window is full. A target that fails at once
/// would otherwise use up a whole window of tasks.
const EJECT_STREAK: u32 = 10;

/// Whether a name is fit for work, apart from its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fitness {
    /// Any work.
    Fit,
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
    pub(crate) fitness: Fitness,
    /// The latest results, at most a window of them; true for a failure.
    recent: VecDeque<bool>,
    /// Failures among them.
    failures: u32,
    /// Failures in a row.
    streak: u32,
    /// Ejections since the last reset; each doubles the next one.
    ejections: u32,
    /// Since when the name has been fit and in use.
    fit_since: Time,
}

impl Health {
    pub(crate) fn new(now: Time) -> Health {
        Health {
            fitness: Fitness::Fit,
            recent: VecDeque::new(),
            failures: 0,
            streak: 0,
            ejections: 0,
            fit_since: now,
        }
    }

    /// Takes note of a target that comes back after it was gone; its absence is no healthy time.
    pub(crate) fn back(&mut self, now: Time) {
        self.fit_since = now;
    }

    /// Takes note of a result.
    pub(crate) fn record(&mut self, now: Time, failed: bool, limits: &Limits) {
        match &mut self.fitness {
            // The task started before the ejection, whose cause is known.
            Fitness::Ejected { .. } => {}
            Fitness::Probation {
                successes,
                failed: last,
            } => {
                *last = failed;
                *successes = if failed { 0 } else { *successes + 1 };
                if !failed && *successes >= limits.probation {
                    self.fitness = Fitness::Fit;
                    self.fit_since = now;
                    self.clear();
                }
            }
            Fitness::Fit => {
                self.push(failed, limits);
                if !failed && now.since(self.fit_since) >= limits.eject_most {
                    self.ejections = 0;
                }
            }
        }
    }

    fn push(&mut self, failed: bool, limits: &Limits) {
        while self.recent.len() >= window(limits) {
            if self.recent.pop_front() == Some(true) {
                self.failures -= 1;
            }
        }
        self.recent.push_back(failed);
        self.failures += u32::from(failed);
        self.streak = if failed { self.streak + 1 } else { 0 };
    }

    fn clear(&mut self) {
        self.recent.clear();
        self.failures = 0;
        self.streak = 0;
    }

    /// Whether the results call for an ejection.
    pub(crate) fn is_bad(&self, limits: &Limits) -> bool {
        match self.fitness {
            Fitness::Ejected { .. } => false,
            Fitness::Probation { failed, .. } => failed,
            Fitness::Fit => {
                let full = self.recent.len() >= window(limits);
                let percent = u64::from(self.failures) * 100 / self.recent.len().max(1) as u64;
                self.streak >= EJECT_STREAK
                    || (full && self.failures > 0 && percent >= u64::from(limits.eject_percent))
            }
        }
    }

    /// Ejects the name, and returns until when.
    pub(crate) fn eject(&mut self, now: Time, limits: &Limits) -> Time {
        let factor = 1u32.checked_shl(self.ejections).unwrap_or(u32::MAX);
        let span = limits.eject_for.saturating_mul(factor);
        let until = now + span.min(limits.eject_most);
        // 31 doublings reach any limit that is in use.
        self.ejections = (self.ejections + 1).min(31);
        self.fitness = Fitness::Ejected { until };
        self.clear();
        until
    }

    /// Ends an ejection.
    pub(crate) fn try_again(&mut self) {
        self.fitness = Fitness::Probation {
            successes: 0,
            failed: false,
        };
    }
}

fn window(limits: &Limits) -> usize {
    limits.window.max(1) as usize
}
