//! What this VM knows of its callers.
//!
//! A caller that has lost its VM submits its job again elsewhere, so this VM may act for a caller
//! only while it knows that the caller waits. The front end reports each caller that has gone, and
//! regularly the time up to which it has done so. Both may be late: the process may have been
//! paused, or its threads may get the CPU in any order when it goes on.
//!
//! Each right to run a task is therefore bounded by the time at which its caller was last known to
//! wait, and not by the time at which the VM acts:
//!
//! - A task is started or offloaded only for `RENEWAL_TIMEOUT` after that time.
//! - An offloaded run and its renewals tell how long ago that was; the VM that runs it counts
//!   `RENEWAL_TIMEOUT` from then, and stops the run.
//! - A lease holds for all runs of a target, so a target gets none while it may have a run whose time
//!   is over for longer than a stop may take (`Target::has_expired_run`).
//!
//! A run ends with its lease, so none outlasts its caller by more than callers wait before they
//! submit their jobs again.

use std::time::Duration;

use greengage_core::{RequestId, Time};

use crate::event::{Effect, Reply};
use crate::renewal::is_expired;
use crate::scheduler::Scheduler;
use crate::target::{Run, RunState};

impl Scheduler {
    /// Records that all callers that had left by `until` have been reported.
    pub(crate) fn on_callers_checked(&mut self, now: Time, until: Time) {
        // Tasks may have waited for this news.
        self.dispatch_due |= !self.knows_callers(now);
        self.callers_checked = self.callers_checked.max(until);
        let checked = self.callers_checked;
        let needed = |run: &&mut Run| {
            let is_stopped = matches!(run.state, RunState::Stopping(_) | RunState::Stopped(_));
            !run.origin.is_remote() && !is_stopped
        };
        self.targets.for_each_used(|_, target| {
            for run in target.runs.iter_mut().filter(needed) {
                run.renewed = run.renewed.max(checked);
            }
        });
    }

    /// Whether the callers of this VM's jobs are known to wait.
    pub(crate) fn knows_callers(&self, now: Time) -> bool {
        !is_expired(now, self.callers_checked)
    }

    /// Time since the callers of this VM's jobs were last known to wait.
    pub(crate) fn callers_age(&self, now: Time) -> Duration {
        now.since(self.callers_checked)
    }

    /// Logs when tasks begin or cease to wait for news of their callers.
    pub(crate) fn review_callers(&mut self, now: Time) {
        let unknown = !self.jobs.is_empty() && !self.knows_callers(now);
        if unknown != self.callers_unknown {
            self.callers_unknown = unknown;
            log::info!(event = "callers-checked", known = !unknown, jobs = self.jobs.len(),
                age_ms = self.callers_age(now).as_millis() as u64;
                "tasks are started only while it is known which callers wait");
        }
    }

    pub(crate) fn on_caller_gone(&mut self, now: Time, request: RequestId, out: &mut Vec<Effect>) {
        let Some(job_id) = self.requests.remove(&request) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&job_id) else {
            return;
        };
        // A caller submits a job again only once its earlier request has ended for it, which this VM may
        // not have noticed.
        let is_latest = job.callers.last().is_some_and(|c| c.request == request);
        job.remove_caller(request);
        log::info!(event = "caller-gone", job = job.id.as_str(), request = request.0,
            age_ms = now.since(job.arrival).as_millis() as u64, others = job.callers.len();
            "a caller has closed its connection");
        if is_latest {
            self.finish(now, job_id, Reply::TimedOut, out);
        }
    }
}
