//! Commands of the ledger and the results of applying them.

use std::fmt;
use std::sync::Arc;

use greengage_core::{
    value, AccountName, Digest, Incarnation, JobKey, Outcome, Payload, TargetName, TemplateName,
    Version, WallTime,
};

/// The content of a submission.
#[value]
pub struct Submission {
    /// The template, which defines the kind of work.
    pub template: TemplateName,
    /// The client account that submitted it.
    pub account: AccountName,
    /// The template version against which the tasks were validated.
    pub version: Version,
    /// The tasks, in order of submission.
    pub tasks: Vec<Payload>,
    /// The deadline in wall-clock time, from which a new leader computes the remaining time.
    pub deadline: WallTime,
}

/// The processing stage of a submission; it only advances.
#[value]
pub enum Stage {
    /// Accepted; no task can have started.
    Accepted,
    /// Tasks may have started.
    Begun,
    /// Ended with this outcome.
    Closed(Arc<Outcome>),
}

/// A submission in the ledger.
#[value]
pub struct Entry {
    /// The digest of the submission's content.
    pub digest: Digest,
    /// The submission's content; `None` once closed.
    pub submission: Option<Arc<Submission>>,
    /// The current stage.
    pub stage: Stage,
    /// When the submission was accepted, by the leader's clock.
    pub accepted_at: WallTime,
}

/// A command of the ledger.
#[value]
pub enum Command {
    /// Accepts a submission.
    Accept {
        /// The key, which identifies resubmissions.
        key: JobKey,
        /// The digest of the submission's content.
        digest: Digest,
        /// The submission's content.
        submission: Arc<Submission>,
        /// Whether the submission also begins, with its first task started on commit.
        begun: bool,
        /// The time of acceptance by the leader's clock.
        accepted_at: WallTime,
    },
    /// Marks accepted submissions as begun.
    Begin {
        /// The submissions' keys; keys in another stage and unknown keys are skipped.
        keys: Vec<JobKey>,
    },
    /// Ends a submission; later closes have no effect.
    Close {
        /// The submission's key.
        key: JobKey,
        /// The outcome to report to the caller.
        outcome: Arc<Outcome>,
    },
    /// Records a target incarnation before the first start is sent to it.
    Register {
        /// The target's name.
        target: TargetName,
        /// The incarnation to record.
        incarnation: Incarnation,
    },
    /// Removes a target incarnation once the outcome of every attempt on it is known.
    Deregister {
        /// The target's name.
        target: TargetName,
        /// The incarnation to remove.
        incarnation: Incarnation,
    },
    /// Removes the oldest closed submissions, at most `EXPIRE_BATCH_ENTRIES` per command.
    Expire {
        /// Only submissions accepted before this time are removed.
        before: WallTime,
    },
}

/// The result of applying a command.
#[value]
pub enum Applied {
    /// The submission is new and was accepted.
    Accepted,
    /// The key is known with the same digest; this is the entry's current stage.
    Duplicate(Stage),
    /// The submissions that this command moved from accepted to begun. Its other keys were begun
    /// earlier, closed or unknown.
    Begun(Vec<JobKey>),
    /// The submission was closed by this command.
    Closed,
    /// The submission was closed earlier, with this outcome.
    AlreadyClosed(Arc<Outcome>),
    /// A registration, deregistration or expiry was applied.
    Done,
    /// The command had no effect.
    Refused(Refused),
}

/// Why a command had no effect.
#[value]
pub enum Refused {
    /// The key is known with a different digest.
    OtherContent {
        /// The key in conflict.
        key: JobKey,
    },
    /// No entry has this key.
    Unknown {
        /// The key in the command.
        key: JobKey,
    },
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::OtherContent { key } => write!(
                f,
                "key {key} was submitted with other content: use a new id for new content"
            ),
            Refused::Unknown { key } => write!(
                f,
                "key {key} is not known: it was never accepted or its retention has ended"
            ),
        }
    }
}
