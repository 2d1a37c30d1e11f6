//! Requests of callers, targets and operators and the replies to them, independent of any encoding.
//!
//! A front end decodes a [`Request`] and encodes the [`Reply`]. VMs forward the same requests to
//! the home zone of a key.

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

/// A job submission as received from a caller.
#[value]
pub struct NewJob {
    /// Client account that submits the job.
    pub account: AccountName,
    /// Home zone; `None` selects one by a hash of account and id.
    pub zone: Option<ZoneName>,
    /// Idempotency id chosen by the caller, the same for each resubmission.
    pub id: Name,
    /// Template that all tasks of the job use.
    pub template: TemplateName,
    /// Digest of the content; a resubmission must have the same one.
    pub digest: Digest,
    /// Payload of each task, in task order.
    pub tasks: Vec<Payload>,
}

/// A single request as received from a caller.
#[value]
pub struct NewRequest {
    /// Client account that submits the request.
    pub account: AccountName,
    /// Home zone; `None` selects the zone of the VM that received the request.
    pub zone: Option<ZoneName>,
    /// Idempotency id chosen by the caller; required unless the template is repeatable.
    pub id: Option<Name>,
    /// Template that the task uses.
    pub template: TemplateName,
    /// Digest of the content; a resubmission must have the same one.
    pub digest: Digest,
    /// Payload of the task.
    pub task: Payload,
}

/// Selects time line events; the default selects all.
#[value]
#[derive(Default)]
pub struct Filter {
    /// Only events of this submission; `None` for any.
    pub key: Option<JobKey>,
    /// Only events of this target; `None` for any.
    pub target: Option<TargetName>,
}

/// A Raft group of the deployment.
#[value(key)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// The control group, which replicates the configuration.
    Control,
    /// The ledger group of an availability zone, which replicates its submissions.
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

/// A request received by this VM.
#[value]
pub enum Request {
    /// Submits a job.
    Submit(NewJob),
    /// Submits a single request.
    Single(NewRequest),
    /// Returns the progress or the outcome of a job.
    Outcome(JobKey),
    /// Looks up a submission that a draining VM received: a known key is answered, any other one
    /// refused.
    Lookup {
        /// Key of the submission.
        key: JobKey,
        /// Digest of the submission's content.
        digest: Digest,
    },
    /// Cancels a job.
    Cancel(JobKey),
    /// Announces a target or renews its announcement.
    Announce(Announcement),
    /// Marks a target as leaving: it gets no more starts.
    Leave(TargetName),
    /// Applies an operator's edit to the configuration.
    Edit(policy::Command),
    /// Reads a template.
    Template {
        /// Name of the template.
        name: TemplateName,
        /// `true` for a linearizable read through the control group; `false` reads this VM's copy,
        /// which may be stale.
        current: bool,
    },
    /// Reads an account's parameters for a template.
    Params {
        /// Template that the parameters belong to.
        template: TemplateName,
        /// Client account that the parameters belong to.
        account: AccountName,
        /// `true` for a linearizable read through the control group; `false` reads this VM's copy,
        /// which may be stale.
        current: bool,
    },
    /// Lists all templates and parameters with their versions.
    Documents,
    /// Lists the targets of this VM's zone.
    Targets,
    /// Lists the VMs.
    Vms,
    /// Returns the Raft status of a group as this VM sees it.
    Group(Group),
    /// Changes a group's members.
    Change {
        /// Group whose membership changes.
        group: Group,
        /// Change of one member.
        change: Change,
    },
    /// Transfers a group's leadership to another voter.
    Transfer {
        /// Group whose leadership is transferred.
        group: Group,
        /// Next leader; `None` lets the current leader choose.
        to: Option<NodeId>,
    },
    /// Returns events of the VM's time line.
    Timeline(Filter),
    /// Asks whether the VM accepts new work.
    Ready,
}

/// Progress of a submission.
#[value]
pub enum Progress {
    /// Accepted; no task has started.
    Queued,
    /// Tasks may have started.
    Begun,
    /// Closed with this outcome.
    Closed(Arc<Outcome>),
}

/// A document with its version.
#[value]
pub struct Versioned<T> {
    /// Version of this document.
    pub version: greengage_core::Version,
    /// Configuration revision in force where the document was read.
    pub revision: Revision,
    /// Document content.
    pub content: T,
}

/// All configuration documents in force at one VM.
#[value]
pub struct Documents {
    /// Revision in force at that VM.
    pub revision: Revision,
    /// Each template by name.
    pub templates: Vec<(TemplateName, Versioned<policy::Template>)>,
    /// Parameters of each template and account.
    pub params: Vec<(TemplateName, AccountName, Versioned<policy::Params>)>,
}

/// A VM as seen by the VM that replies.
#[value]
pub struct VmInfo {
    /// Latest status report of the VM.
    pub status: VmStatus,
    /// Whether the report is recent enough to count the VM as alive.
    pub alive: bool,
    /// Id of its data folder; `None` without one.
    pub folder: Option<u64>,
}

/// Why a VM accepts no new work.
#[value]
pub enum NotReady {
    /// It is shutting down.
    Draining,
    /// It has received no configuration yet.
    NoConfiguration,
    /// It knows no leader of its zone's ledger group.
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

/// The reply to a [`Request`].
#[value]
pub enum Reply {
    /// Progress of a submission.
    Job {
        /// Key of the submission, with the home zone filled in.
        key: JobKey,
        /// Progress when the reply was sent.
        progress: Progress,
    },
    /// Outcome of a repeatable request.
    Single(Arc<Outcome>),
    /// An announcement, a leave or a leadership transfer was taken.
    Acknowledged,
    /// Outcome of an edit.
    Edit(policy::Outcome),
    /// A template that was read.
    Template(Versioned<policy::Template>),
    /// Parameters that were read.
    Params(Versioned<policy::Params>),
    /// All documents in force at the VM.
    Documents(Documents),
    /// The targets of the zone.
    Targets(Vec<TargetView>),
    /// All VMs that have reported.
    Vms(Vec<VmInfo>),
    /// Raft status of a group.
    Group(Status),
    /// A membership change is committed; holds the new members.
    Changed(Config),
    /// Time line events, oldest first.
    Timeline(Vec<timeline::Event>),
    /// The VM accepts new work.
    Ready,
    /// The VM accepts no new work.
    NotReady(NotReady),
    /// The request failed.
    Error(ApiError),
}

/// Why a request failed.
#[value]
pub enum ApiError {
    /// Refused before it was accepted; it did not run.
    Refused(Refusal),
    /// The key was submitted before with other content.
    OtherContent(JobKey),
    /// The home zone of the key has no such submission.
    UnknownKey(JobKey),
    /// No zone of this name is configured.
    UnknownZone {
        /// Zone that the caller named.
        zone: ZoneName,
        /// Configured zones in order.
        known: Vec<ZoneName>,
    },
    /// The template or the account is unknown.
    Policy(policy::EditError),
    /// The job has no tasks, or more than the template allows.
    Tasks {
        /// Number of tasks submitted.
        count: u32,
        /// Maximum that the template allows.
        limit: u32,
    },
    /// The template is not repeatable, so the request needs an id.
    MissingId {
        /// Template of the request.
        template: TemplateName,
    },
    /// The outcome is not known now; the request may have run.
    UnknownOutcome {
        /// Key for asking again; `None` for a request without a key.
        key: Option<JobKey>,
    },
    /// Nothing ran: the request was never sent to a leader.
    Unavailable {
        /// What is unavailable, as text for the caller.
        what: String,
    },
    /// No leader of the group can be reached from this VM.
    NoLeader(Group),
    /// This VM is not a member of the group.
    NotMember(Group),
    /// The membership change is not possible.
    Change(ChangeError),
    /// No target of this name is known.
    UnknownTarget(TargetName),
    /// The target's zone is not this VM's zone.
    OtherZone {
        /// Target that announced itself.
        target: TargetName,
        /// Zone of the target.
        zone: ZoneName,
        /// Zone of this VM.
        own: ZoneName,
    },
    /// The control thread's queue is full.
    Busy {
        /// VM that did not take the request.
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
