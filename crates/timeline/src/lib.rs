//! Events of one process, stamped with a hybrid logical clock, and their merge over processes.

use greengage_core::{value, Hlc, JobKey, TargetName, VmName};

/// What happened.
#[value]
pub struct Event {
    /// When, comparable over all processes.
    pub at: Hlc,
    /// Where.
    pub vm: VmName,
    /// The submission that it concerns.
    pub key: Option<JobKey>,
    /// The target that it concerns.
    pub target: Option<TargetName>,
    /// What, as a sentence without a full stop.
    pub what: String,
}
