//! A job and its tasks.

use std::sync::Arc;
use std::time::Duration;

use greengage_core::{Demand, Name, RequestId, TargetName, Time, VmName};

/// Where a task is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// It waits for room, or for an earlier step.
    Waiting,
    /// It runs, or may run, on a target of this VM.
    Local(TargetName),
    /// It was handed to another VM.
    Remote {
        /// The VM.
        vm: VmName,
        /// The number of the errand.
        offload_id: u64,
    },
    /// It is done.
    Done,
}

/// A task.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) name: Arc<str>,
    pub(crate) step: usize,
    pub(crate) state: TaskState,
    /// The number of its last run.
    pub(crate) number: u32,
    pub(crate) failures: u32,
    /// Runs that were stopped because they could not have ended in time.
    pub(crate) overruns: u32,
    /// The target of the last run that failed.
    pub(crate) avoid_target: Option<TargetName>,
}

/// What the tasks of a step have in common.
#[derive(Clone, Debug)]
pub(crate) struct StepInfo {
    pub(crate) demand: Demand,
    pub(crate) declared: Duration,
    pub(crate) after: Vec<u32>,
    pub(crate) label: Option<Arc<str>>,
    /// Tasks that aren't done.
    pub(crate) remaining: u32,
}

/// A job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) request: RequestId,
    pub(crate) host: Arc<str>,
    pub(crate) path: Arc<str>,
    pub(crate) id: Name,
    pub(crate) queue: Arc<str>,
    pub(crate) service: Arc<str>,
    pub(crate) spec: Arc<str>,
    pub(crate) attempts: u32,
    pub(crate) tasks: Vec<Task>,
    pub(crate) steps: Vec<StepInfo>,
    pub(crate) arrival: Time,
    /// Until when it has to begin.
    pub(crate) start_by: Time,
    /// When it is late.
    pub(crate) objective: Time,
    /// When it is given up.
    pub(crate) deadline: Time,
    /// Whether a task was sent to a target.
    pub(crate) started: bool,
}

impl Job {
    /// Whether the earlier steps of a step are done.
    pub(crate) fn is_ready(&self, step: usize) -> bool {
        let after = self.steps[step].after.iter();
        after
            .map(|i| &self.steps[*i as usize])
            .all(|step| step.remaining == 0)
    }

    /// The tasks that wait for room.
    pub(crate) fn waiting_tasks(&self) -> Vec<usize> {
        let tasks = self.tasks.iter().enumerate();
        tasks
            .filter(|(_, t)| t.state == TaskState::Waiting && self.is_ready(t.step))
            .map(|(i, _)| i)
            .collect()
    }

    /// The task of a name.
    pub(crate) fn find_task(&self, name: &str) -> Option<usize> {
        self.tasks.iter().position(|task| &*task.name == name)
    }
}
