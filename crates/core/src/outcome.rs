//! Outcomes of submissions, and the reasons for which a submission is refused.
//!
//! An outcome is complete or failed, never partial. `Failure::not_run` is true only where no task
//! of the submission can have started.

use std::fmt;

use greengage_derive::value;

use crate::demand::Demand;
use crate::name::TargetName;
use crate::payload::Payload;

/// The final result of a submission.
#[value]
pub enum Outcome {
    /// The result of each task, in the order of the tasks.
    Complete(Vec<Payload>),
    /// The submission has no result.
    Failed(Failure),
}

/// What a worker's guard did to a task that exceeded its declared size.
#[value(copy)]
#[serde(rename_all = "lowercase")]
pub enum GuardAction {
    /// The task continues at a lower speed.
    Throttled,
    /// The task's state was saved, then the task was ended.
    Checkpointed,
    /// The task was ended without saving its state.
    Stopped,
}

/// Why a submission failed.
#[value]
pub enum Failure {
    /// A start request was sent and its result is unknown.
    MayHaveRun {
        /// Index of the task in the submission.
        task: u32,
        /// The target that the request was sent to; `None` when it isn't known.
        target: Option<TargetName>,
    },
    /// The task ran and reported an error.
    TaskFailed {
        /// Index of the task in the submission.
        task: u32,
        /// The target's error message.
        message: String,
    },
    /// A worker's guard ended the task.
    Guard {
        /// Index of the task in the submission.
        task: u32,
        /// What the guard did to the task.
        action: GuardAction,
    },
    /// The caller cancelled the submission.
    Cancelled {
        /// Whether a task can have started.
        maybe_started: bool,
    },
    /// The deadline passed before the submission was complete.
    Deadline {
        /// Whether a task can have started.
        maybe_started: bool,
    },
    /// No target accepted a task before the retries were used up; nothing ran.
    NoTarget,
}

impl Failure {
    /// Whether it is certain that no task of the submission started.
    pub fn not_run(&self) -> bool {
        match self {
            Failure::Cancelled { maybe_started } | Failure::Deadline { maybe_started } => {
                !maybe_started
            }
            Failure::NoTarget => true,
            Failure::MayHaveRun { .. } | Failure::TaskFailed { .. } | Failure::Guard { .. } => {
                false
            }
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::MayHaveRun {
                task,
                target: Some(target),
            } => write!(
                f,
                "task {task} was sent to target {target:?} and its result is lost: it may have run"
            ),
            Failure::MayHaveRun { task, target: None } => write!(
                f,
                "the result of task {task} is lost: it may have run; check before submitting again"
            ),
            Failure::TaskFailed { task, message } => write!(f, "task {task} failed: {message}"),
            Failure::Guard { task, action } => write!(
                f,
                "the worker's guard ended task {task} ({action:?}): raise the template's demand"
            ),
            Failure::Cancelled {
                maybe_started: false,
            } => write!(f, "cancelled, not run"),
            Failure::Cancelled {
                maybe_started: true,
            } => write!(f, "cancelled, may have run in part"),
            Failure::Deadline {
                maybe_started: false,
            } => {
                write!(
                    f,
                    "the deadline passed, not run: submit again with a new id"
                )
            }
            Failure::Deadline {
                maybe_started: true,
            } => {
                write!(f, "the deadline passed, may have run in part")
            }
            Failure::NoTarget => write!(f, "no target accepted a task, not run: submit again"),
        }
    }
}

/// Why work was refused before it was accepted. Refused work did not run.
#[value]
pub enum Refusal {
    /// The submission is expected to miss its deadline.
    DeadlineUnreachable {
        /// When to try again, in milliseconds.
        retry_ms: u64,
    },
    /// The account's quota of queued tasks has no room for the submission.
    QuotaExceeded {
        /// The quota in queued tasks.
        limit: u32,
        /// When to try again, in milliseconds.
        retry_ms: u64,
    },
    /// The queue has no room for the submission.
    QueueFull {
        /// When to try again, in milliseconds.
        retry_ms: u64,
    },
    /// No target is large enough for the demand, even when it is idle.
    Unsatisfiable {
        /// The demand of one task.
        demand: Demand,
    },
    /// The VM is shutting down.
    Draining,
}

impl Refusal {
    /// When to try again, in milliseconds; `None` when that can't help.
    pub fn retry_ms(&self) -> Option<u64> {
        match self {
            Refusal::DeadlineUnreachable { retry_ms }
            | Refusal::QuotaExceeded { retry_ms, .. }
            | Refusal::QueueFull { retry_ms } => Some(*retry_ms),
            Refusal::Unsatisfiable { .. } => None,
            Refusal::Draining => Some(0),
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::DeadlineUnreachable { retry_ms } => write!(
                f,
                "not run: it would miss its deadline; submit again in {retry_ms} ms"
            ),
            Refusal::QuotaExceeded { limit, retry_ms } => write!(
                f,
                "not run: the account's quota of {limit} queued tasks is used up; submit again \
                 in {retry_ms} ms"
            ),
            Refusal::QueueFull { retry_ms } => write!(
                f,
                "not run: the queue is full; submit again in {retry_ms} ms"
            ),
            Refusal::Unsatisfiable { demand } => write!(
                f,
                "not run: no target can offer {demand} to one task; lower the template's demand"
            ),
            Refusal::Draining => {
                write!(f, "not run: this VM is shutting down; submit to another VM")
            }
        }
    }
}
