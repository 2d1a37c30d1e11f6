//! Commands of the ledger and what applying them yields.

use std::fmt;
use std::sync::Arc;

use greengage_core::{
    value, AccountName, Digest, Incarnation, JobKey, Outcome, Payload, TargetName, TemplateName,
    Version, Wall,
};

/// The content of a submission.
#[value]
pub struct Submission {
    /// The template, which is the kind of work.
    pub template: TemplateName,
    /// The client account.
    pub account: AccountName,
    /// The version of the template that the tasks were checked against.
    pub version: Version,
    /// The tasks, in order.
    pub tasks: Vec<Payload>,
    /// The deadline as time of day; a new leader turns it into a span that is left.
    pub deadline: Wall,
}

/// How far a submission has come.
#[value]
pub enum Stage {
    /// Accepted; no task can have started.
    Accepted,
    /// Tasks may have started.
    Begun,
    /// Ended.
    Closed(Arc<Outcome>),
}

/// A submission in the ledger.
#[value]
pub struct Entry {
    /// The digest of the content.
    pub digest: Digest,
    /// The content; dropped when the submission is closed.
    pub submission: Option<Arc<Submission>>,
    /// How far it has come.
    pub stage: Stage,
    /// When it was accepted.
    pub accepted: Wall,
}

/// A command of the ledger.
#[value]
pub enum Command {
    /// Accepts a submission.
    Accept {
        /// The key.
        key: JobKey,
        /// The digest of the content.
        digest: Digest,
        /// The content.
        submission: Arc<Submission>,
        /// Whether its first task starts as soon as this is committed.
        begun: bool,
        /// The leader's time of day.
        at: Wall,
    },
    /// Marks accepted submissions as begun.
    Begin {
        /// The keys.
        keys: Vec<JobKey>,
    },
    /// Ends a submission; the first close wins.
    Close {
        /// The key.
        key: JobKey,
        /// The outcome.
        outcome: Arc<Outcome>,
    },
    /// A target incarnation may be sent starts from here on.
    Register {
        /// The target.
        target: TargetName,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Every attempt on a target incarnation is settled.
    Deregister {
        /// The target.
        target: TargetName,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Forgets closed submissions accepted before a time of day, up to a limit for each command.
    Expire {
        /// The time of day.
        before: Wall,
    },
}

/// What applying a command did.
#[value]
pub enum Applied {
    /// The submission is new and accepted.
    Accepted,
    /// The key is known with the same digest; the stage says how far it has come.
    Duplicate(Stage),
    /// These submissions are begun with this command; others of it were begun before, closed or
    /// unknown.
    Begun(Vec<JobKey>),
    /// The submission is closed now.
    Closed,
    /// The submission was closed before, with this outcome.
    AlreadyClosed(Arc<Outcome>),
    /// A registration or an expiry was applied.
    Done,
    /// The command had no effect.
    Refused(Refused),
}

/// Why a command had no effect.
#[value]
pub enum Refused {
    /// The key is known with another digest.
    OtherContent {
        /// The key.
        key: JobKey,
    },
    /// The key isn't known.
    Unknown {
        /// The key.
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
