//! Requests of callers, targets and operators, and the replies to them, free of any encoding.
//!
//! A front end turns what it receives into a [`Request`] and a [`Reply`] into what it sends. The
//! same requests travel between VMs when one forwards to the home zone of a key.

use std::fmt;
use std::sync::Arc;

use greengage_agreement::{Change, ChangeError, Config, Status};
use greengage_core::{
    value, AccountName, Digest, JobKey, Name, NodeId, Outcome, Payload, Refusal, Revision,
    TargetName, TemplateName, VmName, ZoneName,
};
use greengage_membership::{Announcement, TargetView, VmStatus};
use greengage_policy as policy;
use greengage_timeline as timeline;

/// A submission as a caller sends it.
#[value]
pub struct NewJob {
    /// The client account.
    pub account: AccountName,
    /// The home zone; without it a hash of account and id names one.
    pub zone: Option<ZoneName>,
    /// The caller's id, the same for each resubmission.
    pub id: Name,
    /// The template.
    pub template: TemplateName,
    /// The digest of the content.
    pub digest: Digest,
    /// The tasks, in order.
    pub tasks: Vec<Payload>,
}

/// A single request as a caller sends it.
#[value]
pub struct NewRequest {
    /// The client account.
    pub account: AccountName,
    /// The home zone; without it the zone of the VM that received the request.
    pub zone: Option<ZoneName>,
    /// The caller's id; required unless the template is repeatable.
    pub id: Option<Name>,
    /// The template.
    pub template: TemplateName,
    /// The digest of the content.
    pub digest: Digest,
    /// The task.
    pub task: Payload,
}

/// Which time line events to return.
#[value]
#[derive(Default)]
pub struct Filter {
    /// Only events of this submission.
    pub key: Option<JobKey>,
    /// Only events of this target.
    pub target: Option<TargetName>,
}

/// The log group that a membership change concerns.
#[value(key)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// The control group of the deployment.
    Control,
    /// The ledger group of an availability zone.
    Ledger(ZoneName),
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Group::Control => write!(f, "control"),
            Group::Ledger(zone) => write!(f, "ledger-{zone}"),
        }
    }
}

/// A request to this VM.
#[value]
pub enum Request {
    /// Submits a job.
    Submit(NewJob),
    /// Submits a single request.
    Single(NewRequest),
    /// Asks for a job's answer.
    Outcome(JobKey),
    /// A submission to a VM that shuts down: answered if the key is known, else refused.
    Lookup {
        /// The key.
        key: JobKey,
        /// The digest of the submission's content.
        digest: Digest,
    },
    /// Cancels a job.
    Cancel(JobKey),
    /// A target announces itself or renews.
    Announce(Announcement),
    /// A target leaves.
    Leave(TargetName),
    /// An operator's edit.
    Edit(policy::Command),
    /// Reads a template.
    Template {
        /// The template.
        name: TemplateName,
        /// Whether the answer must include every edit accepted before; else the VM's own state.
        current: bool,
    },
    /// Reads an account's parameters for a template.
    Params {
        /// The template.
        template: TemplateName,
        /// The account.
        account: AccountName,
        /// Whether the answer must include every edit accepted before; else the VM's own state.
        current: bool,
    },
    /// Lists all templates and parameters with their versions.
    Documents,
    /// Lists the targets of the zone.
    Targets,
    /// Lists the VMs.
    Vms,
    /// Shows a group as this VM sees it.
    Group(Group),
    /// Changes a group's members.
    Change {
        /// The group.
        group: Group,
        /// The change.
        change: Change,
    },
    /// Hands a group's leadership to another voter.
    Transfer {
        /// The group.
        group: Group,
        /// The next leader; `None` for the best one.
        to: Option<NodeId>,
    },
    /// Reads the VM's time line.
    Timeline(Filter),
    /// Asks whether the VM takes new work.
    Ready,
}

/// How far a submission has come.
#[value]
pub enum Progress {
    /// Accepted; nothing ran yet.
    Queued,
    /// Tasks may have started.
    Begun,
    /// Ended.
    Closed(Arc<Outcome>),
}

/// A document with its version.
#[value]
pub struct Versioned<T> {
    /// The version.
    pub version: greengage_core::Version,
    /// The revision in force where it was read.
    pub revision: Revision,
    /// The content.
    pub content: T,
}

/// All documents as one VM has them.
#[value]
pub struct Documents {
    /// The revision in force.
    pub revision: Revision,
    /// The templates.
    pub templates: Vec<(TemplateName, Versioned<policy::Template>)>,
    /// The parameters.
    pub params: Vec<(TemplateName, AccountName, Versioned<policy::Params>)>,
}

/// A VM as another one sees it.
#[value]
pub struct VmInfo {
    /// Its last report.
    pub status: VmStatus,
    /// Whether the report still holds.
    pub alive: bool,
    /// The id of its data folder, where it has one.
    pub folder: Option<u64>,
}

/// Why a VM takes no new work.
#[value]
pub enum NotReady {
    /// It is shutting down.
    Draining,
    /// It has no configuration yet.
    NoConfiguration,
    /// Its zone's ledger group has no leader that it knows.
    NoLeader,
}

impl fmt::Display for NotReady {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NotReady::Draining => write!(f, "shutting down"),
            NotReady::NoConfiguration => write!(f, "no configuration received yet"),
            NotReady::NoLeader => write!(f, "the zone's ledger group has no known leader"),
        }
    }
}

/// A reply.
#[value]
pub enum Reply {
    /// How far a submission has come.
    Job {
        /// Its key, with the home zone filled in.
        key: JobKey,
        /// How far.
        progress: Progress,
    },
    /// The result of a repeatable request.
    Single(Arc<Outcome>),
    /// The announcement or the leaving was taken.
    Noted,
    /// The outcome of an edit.
    Edit(policy::Outcome),
    /// A template.
    Template(Versioned<policy::Template>),
    /// An account's parameters.
    Params(Versioned<policy::Params>),
    /// All documents.
    Documents(Documents),
    /// The targets.
    Targets(Vec<TargetView>),
    /// The VMs.
    Vms(Vec<VmInfo>),
    /// A group.
    Group(Status),
    /// A change of members is committed.
    Changed(Config),
    /// Time line events in their order.
    Timeline(Vec<timeline::Event>),
    /// The VM takes new work.
    Ready,
    /// The VM takes no new work.
    NotReady(NotReady),
    /// The request failed.
    Error(ApiError),
}

/// Why a request failed.
#[value]
pub enum ApiError {
    /// Refused before it was accepted; it did not run.
    Refused(Refusal),
    /// The key was submitted with other content.
    OtherContent(JobKey),
    /// The key isn't known in its home zone.
    UnknownKey(JobKey),
    /// No zone of this name is configured.
    UnknownZone {
        /// The zone.
        zone: ZoneName,
        /// The configured zones.
        known: Vec<ZoneName>,
    },
    /// The template or the account is unknown.
    Policy(policy::EditError),
    /// More tasks than the template allows, or none.
    Tasks {
        /// Tasks submitted.
        count: u32,
        /// Most tasks.
        limit: u32,
    },
    /// A request that isn't repeatable needs an id.
    MissingId {
        /// The template.
        template: TemplateName,
    },
    /// The outcome can't be had now; it may have run.
    UnknownOutcome {
        /// The key to ask with, where there is one.
        key: Option<JobKey>,
    },
    /// It is certain that nothing ran: the leader could not be asked before anything was sent.
    Unavailable {
        /// What is missing.
        what: String,
    },
    /// The group has no leader that this VM can reach.
    NoLeader(Group),
    /// This VM holds no state of the group.
    NotMember(Group),
    /// The change of members can't be made.
    Change(ChangeError),
    /// No target of this name is known.
    UnknownTarget(TargetName),
    /// A target's zone isn't this VM's zone.
    OtherZone {
        /// The target.
        target: TargetName,
        /// Its zone.
        zone: ZoneName,
        /// This VM's zone.
        own: ZoneName,
    },
    /// The control thread's queue is full.
    Busy {
        /// The VM.
        vm: VmName,
    },
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ApiError::Refused(refusal) => refusal.fmt(f),
            ApiError::OtherContent(key) => write!(
                f,
                "key {key} was submitted with other content: use a new id for new content"
            ),
            ApiError::UnknownKey(key) => write!(
                f,
                "key {key} is not known: it was never accepted or its retention has ended"
            ),
            ApiError::UnknownZone { zone, known } => {
                let known: Vec<&str> = known.iter().map(ZoneName::as_str).collect();
                write!(
                    f,
                    "zone {zone} is not configured: use one of {}",
                    known.join(", ")
                )
            }
            ApiError::Policy(error) => error.fmt(f),
            ApiError::Tasks { count, limit } => write!(
                f,
                "the job has {count} tasks: submit at least 1 and at most {limit}"
            ),
            ApiError::MissingId { template } => write!(
                f,
                "template {template} is not repeatable: give an id and repeat it on resubmission"
            ),
            ApiError::UnknownOutcome { key: Some(key) } => {
                write!(f, "outcome unknown, ask again with key {key}")
            }
            ApiError::UnknownOutcome { key: None } => {
                write!(f, "outcome unknown: the request may have run")
            }
            ApiError::Unavailable { what } => write!(f, "not run: {what}; submit again"),
            ApiError::NoLeader(group) => write!(
                f,
                "group {group} has no leader that can be reached: send again with the same id"
            ),
            ApiError::NotMember(group) => write!(
                f,
                "this VM is no member of group {group}: ask a VM of that group"
            ),
            ApiError::Change(error) => error.fmt(f),
            ApiError::UnknownTarget(target) => write!(
                f,
                "target {target} is not known: it must announce itself first"
            ),
            ApiError::OtherZone { target, zone, own } => write!(
                f,
                "target {target} is in zone {zone}, this VM in zone {own}: announce it to a VM \
                 of zone {zone}"
            ),
            ApiError::Busy { vm } => {
                write!(
                    f,
                    "VM {vm} is overloaded and did not take the request: send it again with the \
                     same id"
                )
            }
        }
    }
}
