//! Targets that fail or stall what they start.
//!
//! A target that failed the tasks of several jobs in a row, or on which a task stalled, gets
//! nothing for a while and then single tasks, until one is done. Failures of one job count once,
//! since a job whose tasks always fail says nothing about its target.

use std::time::Duration;

use greengage_core::Time;

/// Failures of different jobs in a row after which a target is left out.
const FAILURES: u32 = 2;
/// The first time that a target is left out for; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(800);
/// The longest time that a target is left out for.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// What is known of a target's recent runs.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    last_job: u64,
    pause: Duration,
    out_until: Option<Time>,
}

impl Health {
    /// A run was done.
    pub(crate) fn done(&mut self) {
        *self = Health::default();
    }

    /// A run of `job` failed; returns whether the target is left out from now on.
    pub(crate) fn failed(&mut self, now: Time, job: u64) -> bool {
        if job != self.last_job {
            self.failures += 1;
            self.last_job = job;
        }
        let out = self.failures >= FAILURES || self.out_until.is_some();
        if out {
            self.leave_out(now);
        }
        out
    }

    /// A run has stalled, or an order got no answer.
    pub(crate) fn stalled(&mut self, now: Time) {
        self.leave_out(now);
    }

    fn leave_out(&mut self, now: Time) {
        if self.out_until.is_some_and(|until| now < until) {
            return;
        }
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.out_until = Some(now + self.pause);
    }

    /// How many runs the target may have at a time.
    pub(crate) fn most_runs(&self, now: Time) -> usize {
        match self.out_until {
            None => usize::MAX,
            Some(until) if now < until => 0,
            Some(_) => 1,
        }
    }
}
