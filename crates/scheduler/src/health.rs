//! Targets that fail or stall what they start.
//!
//! A target that failed the tasks of several jobs in a row, or on which a task stalled, gets
//! nothing for a while and then single tasks, until one is done. Failures of one job count once,
//! since a job whose tasks always fail says nothing about its target.

use std::time::Duration;

use greengage_core::Time;

/// Failures of different jobs in a row after which a target is left out.
const FAILURE_THRESHOLD: u32 = 2;
/// The first time that a target is left out for; it doubles each time.
const EXCLUSION_MIN: Duration = Duration::from_millis(800);
/// The longest time that a target is left out for.
const EXCLUSION_MAX: Duration = Duration::from_secs(4);

/// What is known of a target's recent runs.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    last_job: u64,
    exclusion: Duration,
    excluded_until: Option<Time>,
}

impl Health {
    /// A run was done.
    pub(crate) fn record_success(&mut self) {
        *self = Health::default();
    }

    /// A run of `job` failed; returns whether the target is left out from now on.
    pub(crate) fn record_failure(&mut self, now: Time, job: u64) -> bool {
        if job != self.last_job {
            self.failures += 1;
            self.last_job = job;
        }
        let excluded = self.failures >= FAILURE_THRESHOLD || self.excluded_until.is_some();
        if excluded {
            self.exclude(now);
        }
        excluded
    }

    /// A run has stalled, or an order got no answer.
    pub(crate) fn record_stall(&mut self, now: Time) {
        self.exclude(now);
    }

    fn exclude(&mut self, now: Time) {
        if self.excluded_until.is_some_and(|until| now < until) {
            return;
        }
        self.exclusion = (self.exclusion * 2).clamp(EXCLUSION_MIN, EXCLUSION_MAX);
        self.excluded_until = Some(now + self.exclusion);
    }

    /// How many runs the target may have at a time.
    pub(crate) fn max_runs(&self, now: Time) -> usize {
        match self.excluded_until {
            None => usize::MAX,
            Some(until) if now < until => 0,
            Some(_) => 1,
        }
    }
}
