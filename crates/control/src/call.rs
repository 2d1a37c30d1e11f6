//! Calls to targets and what the client observed, free of any encoding.
//!
//! The client makes one call and reports what it saw; the control thread decides what to do next.

use std::time::Duration;

use greengage_core::{
    value, Address, AttemptId, GuardAction, Incarnation, Name, Payload, SortedMap, TargetName,
    TemplateName, Term, ZoneName,
};
use greengage_policy::ParamValue;

/// A start of a task.
#[value]
pub struct Start {
    /// The attempt.
    pub attempt: AttemptId,
    /// The term of the zone's leader.
    pub term: Term,
    /// The zone whose leader starts the task.
    pub zone: ZoneName,
    /// The kind of work.
    pub template: TemplateName,
    /// The parameters of the client account.
    pub values: SortedMap<Name, ParamValue>,
    /// The task.
    pub payload: Payload,
    /// What is left until the deadline.
    pub left: Duration,
}

/// One call.
#[value]
pub enum Action {
    /// Starts a task; the target answers when it is done, or after 2 s that it is running.
    Start(Start),
    /// Waits for a task that runs, on a connection made for this call when `fresh`.
    Poll {
        /// The attempt.
        attempt: AttemptId,
        /// Whether to use a new connection.
        fresh: bool,
    },
    /// Forbids a start that may still be under way, or learns that it happened; always on a new
    /// connection.
    Revoke {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Stops a task.
    Stop {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Forbids starts of lower terms and lists the attempts that the target knows.
    Fence {
        /// The zone.
        zone: ZoneName,
        /// The term of the zone's new leader.
        term: Term,
    },
}

/// A call to one target.
#[value]
pub struct Call {
    /// The target.
    pub target: TargetName,
    /// Its incarnation, as announced.
    pub incarnation: Incarnation,
    /// Its address.
    pub address: Address,
    /// The call.
    pub action: Action,
}

/// What a target says of an attempt.
#[value]
pub enum State {
    /// It was never started and won't be.
    Never,
    /// It runs.
    Running,
    /// It gave its result.
    Done {
        /// The result.
        result: Payload,
        /// How long the target worked on it.
        service: Duration,
    },
    /// It reported an error.
    Failed {
        /// The message.
        message: String,
    },
    /// The worker's guard ended it, or throttles it.
    Guard(GuardAction),
}

/// What the client saw of one call.
#[value]
pub enum Seen {
    /// The target answered about the attempt.
    State(State),
    /// The target refused the start, or nothing was sent: it did not run.
    NotRun {
        /// Why, for the time line.
        reason: String,
    },
    /// The call broke off after its first byte was sent.
    Broken {
        /// Why, for the time line.
        reason: String,
    },
    /// The target runs under another incarnation than the call names; it did nothing.
    Restarted,
    /// The target doesn't know the attempt that it was asked about.
    Forgotten,
    /// The answer to a fence.
    Fenced {
        /// The target's incarnation.
        incarnation: Incarnation,
        /// The attempts that it knows.
        attempts: Vec<(AttemptId, State)>,
    },
}
