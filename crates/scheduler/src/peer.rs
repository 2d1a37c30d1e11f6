//! Messages between entry VMs.

use std::sync::Arc;
use std::time::Duration;

use greengage_core::{value, Demand, Incarnation, TargetName};

/// Free resources of one target, offered to other VMs.
#[value(copy)]
pub struct ResourceOffer {
    /// Free resources.
    pub free: Demand,
    /// The target's speed in percent of a usual one.
    pub speed: u32,
}

/// A task that one VM offloads to another.
#[value]
pub struct OffloadedTask {
    /// The sender's id of the offloaded run.
    pub offload_id: u64,
    /// The task's name.
    pub task: Arc<str>,
    /// Number of the run.
    pub number: u32,
    /// Input of the task.
    pub spec: Arc<str>,
    /// The service whose targets may run the task.
    pub service: Arc<str>,
    /// The queue of the job, which selects the run time estimate.
    pub queue: Arc<str>,
    /// Resources that the task needs.
    pub demand: Demand,
    /// The caller's estimate of the run time.
    pub declared: Duration,
    /// A label that the target must have; `None` if any target will do.
    pub label: Option<Arc<str>>,
    /// Time left until the job counts as late, from when the message was sent.
    pub objective: Duration,
    /// Time left until the run is stopped, from when the message was sent.
    pub deadline: Duration,
}

/// Outcome of an offloaded run.
#[value(copy)]
pub enum OffloadOutcome {
    /// The task succeeded.
    Done,
    /// The task failed.
    Failed,
    /// The run doesn't exist any more, and may have run; the task may be started elsewhere.
    NotRunning,
    /// The run was stopped because it could not end before the deadline.
    TooLong,
    /// The VM exits before the end of the run is known. The run ends with its lease.
    Unknown,
    /// The run was never started and can't be any more; the task may be started elsewhere.
    NotStarted,
}

/// A message between entry VMs.
#[value]
pub enum PeerMessage {
    /// The sender's targets and offers.
    Offers {
        /// The targets that the sender owns.
        owned: Vec<TargetName>,
        /// Free resources on those that accept tasks.
        offers: Vec<ResourceOffer>,
        /// Whether the sender recently lacked free resources and wants updates of offers.
        shortage: bool,
        /// Time until the runs on the sender must have ended, because it shuts down; `None` if it
        /// doesn't.
        time_left: Option<Duration>,
    },
    /// Run these tasks.
    Run {
        /// Incarnation of the sender.
        sender: Incarnation,
        /// Time since the callers of the tasks were last known to wait.
        callers_age: Duration,
        /// The tasks.
        tasks: Vec<OffloadedTask>,
    },
    /// Offload ids of runs that have ended, with their outcomes.
    Ended(Vec<(u64, OffloadOutcome)>),
    /// Stop the runs with these offload ids.
    Stop(Vec<u64>),
    /// The sender still needs these runs, and no others of earlier offload ids.
    Renew {
        /// Incarnation of the sender.
        sender: Incarnation,
        /// Incarnation of the receiver to which the runs were offloaded.
        receiver: Incarnation,
        /// Time since the callers of the tasks were last known to wait.
        callers_age: Duration,
        /// Number of the renewal, from the same sequence as offload ids.
        number: u64,
        /// Offload ids, ascending, each with the time left until the run is stopped.
        needed: Vec<(u64, Duration)>,
    },
}
