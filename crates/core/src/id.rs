//! Newtype ids.

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
            /// The next number.
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
    /// The version of one template or one set of parameters; 0 means that there is none yet.
    Version;
    /// A job known to the dispatcher of this process.
    JobNumber;
    /// A caller that waits at this process.
    RequestId;
    /// One life of a target process.
    Incarnation;
}

/// A caller's or operator's id of one edit, the same for each resend.
#[value(key)]
#[serde(transparent)]
pub struct OpId(pub Name);

/// The SHA-256 of a submission's content.
#[value(copy, key)]
pub struct Digest(pub [u8; 32]);

/// The key of a submission: same key, same submission.
#[value(key)]
pub struct JobKey {
    /// The client account.
    pub account: AccountName,
    /// The home zone, whose ledger holds the submission.
    pub zone: ZoneName,
    /// The caller's own id.
    pub id: Name,
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.zone, self.account, self.id)
    }
}

/// One start of one task.
#[value(key)]
pub struct AttemptId {
    /// The submission.
    pub key: JobKey,
    /// The task's place in the submission, from 0.
    pub task: u32,
    /// The number of the attempt, from 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.key, self.task, self.number)
    }
}

/// A voter's or learner's identity: a VM together with its data folder.
#[value(key)]
pub struct NodeId {
    /// The VM.
    pub vm: VmName,
    /// The id of the data folder; 0 for a folder prepared with `--init`.
    pub folder: u64,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.vm, self.folder)
    }
}
