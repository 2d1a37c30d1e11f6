//! Calls to targets and their observed results, independent of any encoding.
//!
//! The client makes one call and reports the result; the control thread decides what to do next.

use std::time::Duration;

use greengage_core::{
    value, Address, AttemptId, GuardAction, Incarnation, Name, Payload, SortedMap, TargetName,
    TemplateName, Term, ZoneName,
};
use greengage_policy::ParamValue;

/// The start of one task.
#[value]
pub struct Start {
    /// Attempt that is started.
    pub attempt: AttemptId,
    /// Term of the zone's leader; a target refuses terms below its fence.
    pub term: Term,
    /// Zone whose leader starts the task.
    pub zone: ZoneName,
    /// Template of the job, which names the kind of work.
    pub template: TemplateName,
    /// Parameter values of the client account.
    pub values: SortedMap<Name, ParamValue>,
    /// Payload of the task.
    pub payload: Payload,
    /// Time until the deadline, counted from the call.
    pub time_left: Duration,
}

/// What a call asks of its target.
#[value]
pub enum Action {
    /// Starts a task; the target answers when the task ends, or after 2 s that it is running.
    Start(Start),
    /// Waits for the end of a running task.
    Poll {
        /// Attempt to wait for.
        attempt: AttemptId,
        /// Whether to open a new connection for this call.
        new_connection: bool,
    },
    /// Forbids a start that may still arrive, or learns that it did; always uses a new connection.
    Revoke {
        /// Attempt to revoke.
        attempt: AttemptId,
    },
    /// Stops a task.
    Stop {
        /// Attempt to stop.
        attempt: AttemptId,
    },
    /// Forbids starts of lower terms and lists the attempts that the target knows.
    Fence {
        /// Zone whose starts are fenced.
        zone: ZoneName,
        /// Term of the zone's new leader.
        term: Term,
    },
}

/// A call to one target.
#[value]
pub struct Call {
    /// Target to call.
    pub target: TargetName,
    /// Announced incarnation; a target with another one does nothing.
    pub incarnation: Incarnation,
    /// Announced address.
    pub address: Address,
    /// What to ask of the target.
    pub action: Action,
}

/// A target's answer about an attempt.
#[value]
pub enum AttemptState {
    /// The task never started and will not.
    Never,
    /// The task is running.
    Running,
    /// The task has ended with a result.
    Done {
        /// Result payload.
        result: Payload,
        /// Time that the target worked on the task.
        service: Duration,
    },
    /// The task has ended with an error.
    Failed {
        /// The target's error message.
        message: String,
    },
    /// The worker's resource guard ended or throttled the task.
    Guard(GuardAction),
}

/// Result of a call as observed by the client.
#[value]
pub enum CallResult {
    /// The target answered about the attempt.
    State(AttemptState),
    /// The target refused the start, or nothing was sent: the task did not run.
    NotRun {
        /// Cause, for the log.
        reason: String,
    },
    /// The call failed after its first byte was sent, so it may have taken effect.
    Broken {
        /// Cause, for the log.
        reason: String,
    },
    /// The target has another incarnation than the call names and did nothing.
    Restarted,
    /// The target does not know the attempt.
    Forgotten,
    /// The target accepted the fence.
    Fenced {
        /// Incarnation of the target that answered.
        incarnation: Incarnation,
        /// Attempts that the target knows, with their states.
        attempts: Vec<(AttemptId, AttemptState)>,
    },
}
