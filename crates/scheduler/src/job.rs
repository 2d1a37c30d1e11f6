//! A job and its tasks.

use std::sync::Arc;
use std::time::Duration;

use greengage_contention::Rank;
use greengage_core::{Demand, Name, RequestId, TargetName, Time, VmName};

use crate::event::Submission;

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Waits for free resources or for an earlier step.
    Waiting,
    /// Has a run, or may have one, on a target of this VM.
    Local(TargetName),
    /// Offloaded to another VM.
    Remote {
        /// The VM that runs it.
        vm: VmName,
        /// This VM's id of the offloaded run.
        offload_id: u64,
    },
    /// Completed.
    Done,
}

#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) name: Arc<str>,
    pub(crate) step: usize,
    pub(crate) state: TaskState,
    /// Number of its latest run; 0 before the first.
    pub(crate) number: u32,
    pub(crate) failures: u32,
    /// Runs that were stopped because they could not end before the deadline.
    pub(crate) overruns: u32,
    /// Whether one of its earlier runs has run or may have.
    pub(crate) may_have_run: bool,
    /// The target of the last run that ended without success; the next run goes elsewhere.
    pub(crate) avoid_target: Option<TargetName>,
}

/// Properties that all tasks of a step share.
#[derive(Clone, Debug)]
pub(crate) struct StepInfo {
    pub(crate) demand: Demand,
    pub(crate) declared: Duration,
    pub(crate) depends_on: Vec<u32>,
    pub(crate) label: Option<Arc<str>>,
    /// Expected run time of the steps after it, when the job was accepted.
    pub(crate) after: Duration,
    /// Number of tasks that aren't done.
    pub(crate) remaining: u32,
}

/// A request that waits for the answer of a job.
#[derive(Clone, Debug)]
pub(crate) struct JobCaller {
    pub(crate) request: RequestId,
    /// The request is answered at this time, even if the job goes on for others.
    pub(crate) deadline: Time,
}

/// An accepted job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// More than one if the job was submitted again while it was current.
    pub(crate) callers: Vec<JobCaller>,
    pub(crate) host: Arc<str>,
    pub(crate) path: Arc<str>,
    pub(crate) id: Name,
    pub(crate) queue: Arc<str>,
    /// Priority of the queue when the job was accepted; 0 is the highest.
    pub(crate) priority: u32,
    pub(crate) service: Arc<str>,
    pub(crate) spec: Arc<str>,
    pub(crate) attempts: u32,
    pub(crate) tasks: Vec<Task>,
    pub(crate) steps: Vec<StepInfo>,
    pub(crate) arrival: Time,
    /// The job is refused if no task has run or may run by then.
    pub(crate) start_by: Time,
    /// End time up to which the job counts as in time.
    pub(crate) objective: Time,
    /// The job ends with a time-out at this time, the latest deadline of its callers.
    pub(crate) deadline: Time,
    /// Whether a task was sent to a target or to another VM.
    pub(crate) started: bool,
    /// Until when room was kept for it in the last round of placement, if it hasn't started.
    pub(crate) kept: Option<Time>,
    /// Whether it found no room in the last round of placement, which was logged in the first one.
    pub(crate) wait_logged: bool,
    /// The place in the order of a job that was refused in its place; `None` if there is none.
    pub(crate) taken_rank: Option<Rank>,
    /// Whether it was accepted although a task fits on no known target, as others may exist.
    pub(crate) unplaceable: bool,
}

impl Job {
    /// Whether it is the job that was submitted.
    pub(crate) fn matches(&self, job: &Submission) -> bool {
        self.path == job.path && self.host == job.host
    }

    /// Makes the job end, and answer its callers, by `end` at the latest.
    pub(crate) fn limit_end(&mut self, end: Time) {
        for caller in &mut self.callers {
            caller.deadline = caller.deadline.min(end);
        }
        self.deadline = self.deadline.min(end);
        self.objective = self.objective.min(end);
    }

    /// Whether all steps that the given one depends on are done.
    pub(crate) fn is_ready(&self, step: usize) -> bool {
        let after = self.steps[step].depends_on.iter();
        after
            .map(|i| &self.steps[*i as usize])
            .all(|step| step.remaining == 0)
    }

    /// Indices of the tasks that can be placed now.
    pub(crate) fn waiting_tasks(&self) -> Vec<usize> {
        let tasks = self.tasks.iter().enumerate();
        tasks
            .filter(|(_, t)| t.state == TaskState::Waiting && self.is_ready(t.step))
            .map(|(i, _)| i)
            .collect()
    }

    /// Whether a task has run, may have run or may still run.
    pub(crate) fn may_have_run(&self) -> bool {
        let mut tasks = self.tasks.iter();
        let may_have_run = |task: &Task| task.may_have_run || task.state != TaskState::Waiting;
        self.started && tasks.any(may_have_run)
    }

    /// Removes a caller, and sets the deadline to the latest one of the others.
    pub(crate) fn remove_caller(&mut self, request: RequestId) {
        self.callers.retain(|caller| caller.request != request);
        let latest = self.callers.iter().map(|caller| caller.deadline).max();
        self.deadline = latest.unwrap_or(self.deadline);
    }

    /// Index of the task with this name.
    pub(crate) fn find_task(&self, name: &str) -> Option<usize> {
        self.tasks.iter().position(|task| &*task.name == name)
    }
}
