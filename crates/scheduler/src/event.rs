//! Inputs and outputs of the scheduler.

use std::sync::Arc;
use std::time::Duration;

use greengage_config::Document;
use greengage_core::{
    value, Address, Demand, Incarnation, Name, RequestId, TargetName, VmName, ZoneName,
};

use crate::peer::PeerMessage;
use crate::scheduler::Peer;

/// Equal tasks of a job.
#[value]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// What each task needs.
    pub demand: Demand,
    /// The caller's rough estimate of a task's run time.
    pub expected: Duration,
    /// Steps whose tasks must all be done first.
    pub after: Vec<u32>,
    /// A label that the target must have.
    pub label: Option<Arc<str>>,
}

/// A job as a caller submits it.
#[value]
pub struct Submission {
    /// The caller.
    pub request: RequestId,
    /// The host that the caller named.
    pub host: Arc<str>,
    /// The prefix of its path.
    pub path: Arc<str>,
    /// The caller's id of the job.
    pub id: Name,
    /// What the tasks are given.
    pub spec: Arc<str>,
    /// The steps.
    pub steps: Vec<Step>,
    /// The length of the request's body in bytes.
    pub bytes: u64,
    /// How long the caller waits.
    pub patience: Duration,
    /// A feature that the job asks for and that isn't there; the job is refused.
    pub missing: Option<&'static str>,
}

/// A target as it reports itself.
#[value]
pub struct TargetReport {
    /// Its name.
    pub target: TargetName,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it takes calls.
    pub address: Address,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What it offers.
    pub capacity: Demand,
    /// Its labels, among them its rack.
    pub labels: Vec<Arc<str>>,
    /// Whether it is about to leave.
    pub draining: bool,
    /// The start of this life in Unix milliseconds.
    pub life: Incarnation,
    /// The number of the report in this life.
    pub sequence: u64,
}

/// The order to start a run.
#[value(local)]
pub struct StartCall {
    /// The task's name.
    pub task: Arc<str>,
    /// The number of the run.
    pub number: u32,
    /// What the task is given.
    pub spec: Arc<str>,
    /// When the lease of all that runs there ends, in milliseconds of the target's clock.
    pub lease: u64,
}

/// The order to stop a run.
#[value(local)]
pub struct StopCall {
    /// The task's name.
    pub task: Arc<str>,
    /// The number of the run.
    pub number: u32,
}

/// Renews the lease of all that runs on a target and reads what has ended.
#[value(local)]
pub struct HoldCall {
    /// Ends up to this number may be forgotten.
    pub observed: u64,
    /// When the lease ends, in milliseconds of the target's clock; `None` only looks.
    pub lease: Option<u64>,
    /// How long the target may wait for an end.
    pub wait: Duration,
}

/// A call to a target.
#[value(local)]
pub enum TargetCall {
    /// Start a run.
    Start(StartCall),
    /// Stop a run.
    Stop(StopCall),
    /// Renew and look.
    Hold(HoldCall),
}

/// How long a start or a stop may take. A round trip takes a few milliseconds; a VM with a quarter
/// of a core may be late by some tens under load.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);
/// How much longer than its wait a hold may take. Until then the ends that a lost answer told of
/// aren't known.
const HOLD_TIMEOUT_MARGIN: Duration = Duration::from_millis(120);

impl TargetCall {
    /// How long the call may take before it counts as unanswered.
    pub fn limit(&self) -> Duration {
        match self {
            TargetCall::Start(_) | TargetCall::Stop(_) => ORDER_TIMEOUT,
            TargetCall::Hold(hold) => hold.wait + HOLD_TIMEOUT_MARGIN,
        }
    }
}

/// What became of a start.
#[value]
pub enum StartResult {
    /// The run is there.
    Running {
        /// The target's clock in milliseconds.
        clock: u64,
    },
    /// There is no room; nothing runs.
    NoRoom,
    /// Another owner has a higher generation; nothing runs.
    Fenced,
    /// A run of the same or a higher number was there; nothing runs.
    OldNumber,
    /// The lease had ended when the order arrived; nothing runs.
    Late,
    /// The target refused for another reason; nothing runs.
    Rejected,
    /// Another life of the target answered; this one is over.
    OtherLife,
    /// Nothing was sent.
    NotSent,
    /// No answer; the order may have been carried out, or still be.
    Unknown,
}

/// What became of a stop.
#[value(copy)]
pub enum StopResult {
    /// The run is stopped, or can never start.
    Done,
    /// Another owner has a higher generation.
    Fenced,
    /// Another life of the target answered; this one is over.
    OtherLife,
    /// No answer.
    Unknown,
}

/// How a run ended.
#[value(copy)]
pub enum EndKind {
    /// With success.
    Done,
    /// It failed.
    Failed,
    /// By an order or because its lease ended.
    Stopped,
}

/// An end as a target lists it.
#[value]
pub struct End {
    /// The number of the end in this life of the target.
    pub number: u64,
    /// The task's name.
    pub task: Arc<str>,
    /// The number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
}

/// A run as a target lists it.
#[value]
pub struct Listing {
    /// The task's name.
    pub task: Arc<str>,
    /// The number of the run.
    pub run: u32,
    /// How far it is, in percent.
    pub percent: u32,
}

/// What became of a hold.
#[value]
pub enum HoldResult {
    /// The target's lists.
    Lists {
        /// The target's clock in milliseconds.
        clock: u64,
        /// The start of its life, where it tells.
        life: Option<Incarnation>,
        /// What runs.
        running: Vec<Listing>,
        /// What has ended.
        ended: Vec<End>,
    },
    /// Another owner has a higher generation.
    Fenced,
    /// Another life of the target answered; this one is over.
    OtherLife,
    /// No answer.
    Unknown,
}

/// The answer to a caller.
#[value]
pub enum Reply {
    /// All tasks are done.
    Completed,
    /// A task has failed as often as its queue allows, or fits no target.
    Failed,
    /// The time is over; nothing of the job runs any more, or soon won't.
    TimedOut,
    /// Nothing has run; the caller may come back after this time.
    Refused {
        /// When to come back.
        after: Duration,
    },
    /// There is no such queue.
    NoQueue,
    /// The body is longer than the configuration allows; nothing ran.
    TooLarge {
        /// The longest body in bytes.
        most: u64,
    },
    /// There is no such job; jobs aren't kept.
    NoJob,
    /// The number of jobs that haven't begun.
    Pending(u64),
}

/// An input.
#[value(local)]
pub enum Event {
    /// The time that `wake` named has come.
    Tick,
    /// A newer configuration is in force.
    Configuration(Arc<Document>),
    /// A caller submits a job.
    Submit(Submission),
    /// A caller asks how many jobs of a queue haven't begun.
    Count {
        /// The caller.
        request: RequestId,
        /// The host.
        host: Arc<str>,
        /// The path.
        path: Arc<str>,
    },
    /// A caller is gone.
    Abandon(RequestId),
    /// A target has reported.
    Report(TargetReport),
    /// A target has left.
    Left(TargetName),
    /// The entry VMs that are live, this one left out.
    Peers(Vec<Peer>),
    /// A message of another entry VM.
    Peer {
        /// The sender.
        from: VmName,
        /// The message.
        message: PeerMessage,
    },
    /// A start has ended.
    Started {
        /// The target.
        target: TargetName,
        /// The task's name.
        task: Arc<str>,
        /// The number of the run.
        number: u32,
        /// The result.
        result: StartResult,
    },
    /// A stop has ended.
    Stopped {
        /// The target.
        target: TargetName,
        /// The task's name.
        task: Arc<str>,
        /// The number of the run.
        number: u32,
        /// The result.
        result: StopResult,
    },
    /// A hold has ended.
    Held {
        /// The target.
        target: TargetName,
        /// The generation that it was sent with.
        generation: u64,
        /// The result.
        result: HoldResult,
    },
    /// Hand over all targets.
    Leave,
}

/// An output.
#[value(local)]
pub enum Effect {
    /// Answer a caller.
    Answer {
        /// The caller.
        request: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// Call a target.
    Call {
        /// The target, in whose name the call is addressed.
        target: TargetName,
        /// Where it takes calls.
        address: Address,
        /// The owner's generation.
        generation: u64,
        /// The call.
        call: TargetCall,
    },
    /// Send a message to another entry VM.
    Send {
        /// The receiver.
        to: VmName,
        /// The message.
        message: PeerMessage,
    },
}
