//! Messages between entry VMs.

use std::sync::Arc;
use std::time::Duration;

use greengage_core::{value, Demand, TargetName};

/// What is free on one target.
#[value(copy)]
pub struct ResourceOffer {
    /// Free resources.
    pub free: Demand,
    /// The target's speed in percent of a usual one.
    pub speed: u32,
}

/// A task that one VM asks another one to run.
#[value]
pub struct OffloadedTask {
    /// The sender's number of the run.
    pub offload_id: u64,
    /// The task's name.
    pub task: Arc<str>,
    /// The number of the run.
    pub number: u32,
    /// What the task is given.
    pub spec: Arc<str>,
    /// The service whose targets may run it.
    pub service: Arc<str>,
    /// The queue, for the estimate of run times.
    pub queue: Arc<str>,
    /// What it needs.
    pub demand: Demand,
    /// The caller's estimate of its run time.
    pub declared: Duration,
    /// A label that the target must have.
    pub label: Option<Arc<str>>,
    /// The time left until its job is late.
    pub objective: Duration,
    /// The time left until its job is given up.
    pub deadline: Duration,
}

/// How an errand ended.
#[value(copy)]
pub enum OffloadOutcome {
    /// With success.
    Done,
    /// The task failed.
    Failed,
    /// It doesn't run and may be started elsewhere.
    NotRunning,
    /// It was stopped because it could not have ended in time.
    TooLong,
}

/// A message between entry VMs.
#[value]
pub enum PeerMessage {
    /// What the sender owns and what is free there.
    Offers {
        /// The targets that the sender owns.
        owned: Vec<TargetName>,
        /// Their free room, without targets that take nothing.
        offers: Vec<ResourceOffer>,
        /// Whether the sender lately lacked room, so that it wants to know of others' at once.
        shortage: bool,
    },
    /// Run these tasks.
    Run(Vec<OffloadedTask>),
    /// Errands that have ended.
    Ended(Vec<(u64, OffloadOutcome)>),
    /// Stop these errands.
    Stop(Vec<u64>),
    /// The sender is there and still wants its errands.
    Renew,
}
