//! Identifiers, each with a type of its own.

use std::fmt;

use greengage_derive::value;

use crate::name::{AccountName, Name, VmName, ZoneName};

macro_rules! id_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[value(copy, key)]
        #[derive(Default)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number that follows this one.
            pub fn next(self) -> $name {
                $name(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

id_types! {
    /// A Raft term.
    Term;
    /// A position in a replicated log; the first entry has index 1.
    Index;
    /// The control group's log index of the last applied edit.
    Revision;
    /// The version of one template or one set of parameters; 0 means that it doesn't exist yet.
    Version;
    /// A job in the dispatcher; unique within this process.
    JobNumber;
    /// A request that waits for a reply; unique within this process.
    RequestId;
    /// One run of a process; larger after each restart.
    Incarnation;
}

/// Idempotency key of one edit, chosen by whoever sends it and kept when the edit is resent.
#[value(key)]
#[serde(transparent)]
pub struct OpId(pub Name);

/// The SHA-256 of a submission's content.
#[value(copy, key)]
pub struct Digest(pub [u8; 32]);

/// Idempotency key of a submission: requests with equal keys are the same submission.
#[value(key)]
pub struct JobKey {
    /// The client account that submits.
    pub account: AccountName,
    /// The home zone, whose ledger holds the submission.
    pub zone: ZoneName,
    /// The id that the caller chose, unique within the account and zone.
    pub id: Name,
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.zone, self.account, self.id)
    }
}

/// One attempt to run one task.
#[value(key)]
pub struct AttemptId {
    /// The submission that the task belongs to.
    pub key: JobKey,
    /// The index of the task in the submission, from 0.
    pub task: u32,
    /// The number of the attempt, from 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.key, self.task, self.number)
    }
}

/// The identity of a Raft voter or learner: a VM together with its data folder.
#[value(key)]
pub struct NodeId {
    /// The VM that holds the data folder.
    pub vm: VmName,
    /// The id of the data folder; 0 for a folder prepared with `--init`.
    pub folder: u64,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.vm, self.folder)
    }
}
