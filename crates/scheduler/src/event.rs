//! Inputs and outputs of the scheduler.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use greengage_config::Document;
use greengage_core::{
    value, Address, Demand, Incarnation, Name, RequestId, TargetName, Time, VmName, ZoneName,
};

use serde::de::{Error, SeqAccess, Visitor};
use serde::Deserializer;

use crate::peer::PeerMessage;
use crate::scheduler::Peer;

/// A group of equal tasks of a job.
#[value]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub demand: Demand,
    /// The caller's estimate of a task's run time.
    pub declared: Duration,
    /// Indices of steps whose tasks must all be done first.
    pub depends_on: Vec<u32>,
    /// A label that the target must have; `None` if any target will do.
    pub label: Option<Arc<str>>,
}

/// A job as its caller submits it.
#[value]
pub struct Submission {
    /// Identifies the caller's request and its answer.
    pub request: RequestId,
    /// The host of the caller's request.
    pub host: Arc<str>,
    /// The path of the caller's request: a queue's prefix followed by the job's id.
    pub path: Arc<str>,
    /// The caller's id of the job, or the last segment of the path, which ends in it.
    pub id: Name,
    /// Input of the tasks, which is passed on unchanged.
    pub spec: Arc<str>,
    /// The steps; each depends on earlier ones only.
    pub steps: Vec<Step>,
    /// Length of the request's body in bytes.
    pub body_bytes: u64,
    /// The earliest time at which the request may have arrived at this VM.
    pub received: Time,
    /// How long the caller waits for the answer, from when it has sent the request.
    pub timeout: Duration,
    /// A requested feature that isn't supported, for which the job is refused; `None` if there is
    /// none.
    pub unsupported: Option<&'static str>,
}

/// A target's report on itself.
#[value]
pub struct TargetReport {
    /// The target's name.
    pub target: TargetName,
    /// The service whose tasks it runs.
    pub service: Arc<str>,
    /// Where it accepts calls.
    pub address: Address,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Total resources for tasks.
    pub capacity: Demand,
    /// Labels that steps may require, among them its rack.
    #[serde(deserialize_with = "deserialize_labels")]
    pub labels: Vec<Arc<str>>,
    /// Whether it will leave soon, so that no task should be started on it.
    pub draining: bool,
    /// Incarnation of its process: its start in Unix milliseconds.
    pub incarnation: Incarnation,
    /// Number of the report within the incarnation; older ones are ignored.
    pub sequence: u64,
}

/// Most labels of a target.
pub const MAX_LABELS: usize = 256;

/// Decodes labels, and fails before more than [`MAX_LABELS`] take memory.
fn deserialize_labels<'de, D: Deserializer<'de>>(decoder: D) -> Result<Vec<Arc<str>>, D::Error> {
    struct Labels;

    impl<'de> Visitor<'de> for Labels {
        type Value = Vec<Arc<str>>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(f, "at most {MAX_LABELS} labels")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
            let mut labels = Vec::new();
            while let Some(label) = seq.next_element()? {
                if labels.len() == MAX_LABELS {
                    return Err(Error::invalid_length(MAX_LABELS + 1, &self));
                }
                labels.push(label);
            }
            Ok(labels)
        }
    }

    decoder.deserialize_seq(Labels)
}

/// A target's notice that it has left the deployment.
#[value]
pub struct Departure {
    /// The target's name.
    pub target: TargetName,
    /// Incarnation of the process that has left; `None` if the notice doesn't tell.
    pub incarnation: Option<Incarnation>,
}

/// Call that starts a run.
#[value(local)]
pub struct StartCall {
    /// The task's name, unique within its job's id.
    pub task: Arc<str>,
    /// Number of the run; each run of a task has a higher one.
    pub number: u32,
    /// Input of the task.
    pub spec: Arc<str>,
    /// End of the lease of all runs on the target, in milliseconds of the target's clock.
    pub lease: u64,
}

/// Call that stops a run.
#[value(local)]
pub struct StopCall {
    /// The task's name.
    pub task: Arc<str>,
    /// Number of the run.
    pub number: u32,
}

/// Long poll that renews the lease of a target's runs and reads which of them have ended.
#[value(local)]
pub struct HoldCall {
    /// Acknowledges ends up to this number, which the target may discard.
    pub observed: u64,
    /// End of the lease in milliseconds of the target's clock; `None` leaves the lease as it is.
    pub lease: Option<u64>,
    /// How long the target may wait for an end before it answers.
    pub wait: Duration,
}

/// A call to a target.
#[value(local)]
pub enum TargetCall {
    /// Starts a run.
    Start(StartCall),
    /// Stops a run.
    Stop(StopCall),
    /// Renews the lease and reads the lists.
    Hold(HoldCall),
}

/// Time-out of start and stop calls. A round trip takes a few milliseconds; under load, a VM with a
/// quarter of a core may add some tens.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);
/// Added to a hold's wait for its time-out. If an answer is lost, the ends in it stay unknown until
/// then.
const HOLD_TIMEOUT_MARGIN: Duration = Duration::from_millis(120);

impl TargetCall {
    /// Time after which the call counts as unanswered.
    pub fn timeout(&self) -> Duration {
        match self {
            TargetCall::Start(_) | TargetCall::Stop(_) => ORDER_TIMEOUT,
            TargetCall::Hold(hold) => hold.wait + HOLD_TIMEOUT_MARGIN,
        }
    }
}

/// Result of a start call.
#[value]
pub enum StartResult {
    /// The run exists on the target.
    Running {
        /// The target's clock in milliseconds.
        clock: u64,
    },
    /// The target lacks free resources; no run was started.
    NoRoom,
    /// Another owner has a higher generation; no run was started.
    Fenced,
    /// The target has seen this run number or a higher one; no run was started.
    OldNumber,
    /// The lease had ended when the call arrived; no run was started.
    Late,
    /// The target refused for another reason; no run was started.
    Rejected,
    /// Another incarnation of the target answered; the addressed one has ended.
    OtherLife,
    /// The call wasn't sent.
    NotSent,
    /// No answer; the call may have been carried out, or still be.
    Unknown,
}

/// Result of a stop call.
#[value(copy)]
pub enum StopResult {
    /// The run has been stopped, or can never start.
    Done,
    /// Another owner has a higher generation.
    Fenced,
    /// Another incarnation of the target answered; the addressed one has ended.
    OtherLife,
    /// No answer; the run may continue.
    Unknown,
}

/// How a run ended on its target.
#[value(copy)]
pub enum EndKind {
    /// The task succeeded.
    Done,
    /// The task failed.
    Failed,
    /// Stopped by a call, or because its lease ended.
    Stopped,
}

/// The end of a run as its target lists it.
#[value]
pub struct RunEnd {
    /// Number of the end, ascending within an incarnation of the target.
    pub number: u64,
    /// The task's name.
    pub task: Arc<str>,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub kind: EndKind,
}

/// A current run as its target lists it.
#[value]
pub struct RunListing {
    /// The task's name.
    pub task: Arc<str>,
    /// Number of the run.
    pub run: u32,
    /// Progress in percent, rounded down.
    pub percent: u32,
}

/// Result of a hold call.
#[value]
pub enum HoldResult {
    /// The target's current and ended runs.
    Lists {
        /// The target's clock in milliseconds.
        clock: u64,
        /// Incarnation of the target; `None` if it doesn't report one.
        incarnation: Option<Incarnation>,
        /// Current runs.
        running: Vec<RunListing>,
        /// Ends that haven't been acknowledged.
        ended: Vec<RunEnd>,
    },
    /// Another owner has a higher generation.
    Fenced,
    /// Another incarnation of the target answered; the addressed one has ended.
    OtherLife,
    /// No answer; the lease may have been renewed.
    Unknown,
}

/// Answer to a caller.
#[value]
pub enum Reply {
    /// All tasks are done.
    Completed,
    /// A task has used up the attempts of its queue, or fits on no target.
    Failed,
    /// The job's time has expired; its last runs are being stopped.
    TimedOut,
    /// No task has run; the caller may submit the job again later.
    Refused {
        /// How long the caller should wait before that.
        after: Duration,
    },
    /// No queue matches the host and path.
    NoQueue,
    /// The body exceeds the configured limit; no task has run.
    TooLarge {
        /// Longest accepted body in bytes.
        most: u64,
    },
    /// No such job; the state of jobs isn't stored.
    NoJob,
    /// The job was cancelled; nothing of it is started any more.
    Cancelled,
    /// Number of jobs in the queue of which no task was started.
    Pending(u64),
}

/// An input of the scheduler.
#[value(local)]
pub enum Event {
    /// Periodic work is due, at the time that `Scheduler::next_wake` returns.
    Tick,
    /// A configuration was received; it is applied if it is newer than the current one.
    Configuration(Arc<Document>),
    /// The evacuated zones have changed to these, which are sorted. No zone is evacuated at first.
    Evacuations(Vec<ZoneName>),
    /// A caller submits a job.
    Submit(Submission),
    /// A caller asks for the number of pending jobs in a queue.
    Count {
        /// Identifies the caller's request and its answer.
        request: RequestId,
        /// The host of the caller's request.
        host: Arc<str>,
        /// The path of the caller's request, which is the queue's prefix.
        path: Arc<str>,
    },
    /// A caller has disconnected, so its job ends.
    CallerGone(RequestId),
    /// All callers that had disconnected by a time have been reported. Unless this event keeps
    /// coming, no task is started.
    CallersChecked {
        /// That time.
        until: Time,
    },
    /// A report of a target has arrived.
    TargetReported(TargetReport),
    /// A target has deregistered.
    TargetLeft(Departure),
    /// The live entry VMs, without this one.
    Peers(Vec<Peer>),
    /// A message of another entry VM has arrived.
    Peer {
        /// The VM that sent it.
        from: VmName,
        /// The earliest time at which it may have been sent.
        sent: Time,
        /// The message.
        message: PeerMessage,
    },
    /// A start call has ended.
    StartEnded {
        /// The called target.
        target: TargetName,
        /// The task's name.
        task: Arc<str>,
        /// Number of the run.
        number: u32,
        /// The generation that the call was sent with.
        generation: u64,
        /// Result of the call.
        result: StartResult,
    },
    /// A stop call has ended.
    StopEnded {
        /// The called target.
        target: TargetName,
        /// The task's name.
        task: Arc<str>,
        /// Number of the run.
        number: u32,
        /// The generation that the call was sent with.
        generation: u64,
        /// Result of the call.
        result: StopResult,
    },
    /// A hold call has ended.
    HoldEnded {
        /// The called target.
        target: TargetName,
        /// The generation that the call was sent with; results of earlier ones are ignored.
        generation: u64,
        /// Result of the call.
        result: HoldResult,
    },
    /// Hand over all targets and answer all callers, because this VM shuts down.
    Leave {
        /// When the last caller must have its answer.
        end: Time,
    },
}

/// An output of the scheduler.
#[value(local)]
pub enum Effect {
    /// Send an answer to a caller.
    Answer {
        /// The caller's request.
        request: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// Send a call to a target.
    Call {
        /// The target that the call is addressed to, by name.
        target: TargetName,
        /// Where the target accepts calls.
        address: Address,
        /// Generation of this VM's claim, which the target checks.
        generation: u64,
        /// The call.
        call: TargetCall,
    },
    /// Send a message to another entry VM.
    Send {
        /// The VM that receives it.
        to: VmName,
        /// The message.
        message: PeerMessage,
    },
}
