//! Messages between VMs.

use std::time::Duration;

use greengage_config::{Evacuations, GroupMessage};
use greengage_core::{value, NodeId, Revision, Version};
use greengage_distribution::DistributionMessage;
use greengage_gossip::GossipMessage;
use greengage_scheduler::{Departure, JobKey, PeerMessage, TargetReport};

/// What a VM has in force; `None` before it knows.
#[value(copy)]
#[derive(Default)]
pub struct Versions {
    /// Version of its configuration.
    pub document: Option<Version>,
    /// Revision of its evacuated zones.
    pub evacuations: Option<Revision>,
}

/// A message between VMs.
#[value]
pub enum Message {
    /// A gossip message, with what its sender has in force.
    Gossip(GossipMessage, Versions),
    /// A Raft message of the control group.
    Group {
        /// VM and data folder of the sender.
        from: NodeId,
        /// VM and data folder of the receiver; a message to a replaced folder is dropped.
        to: NodeId,
        /// The message.
        message: Box<GroupMessage>,
    },
    /// A message about the distribution of the configuration.
    Configuration(DistributionMessage),
    /// The evacuated zones in force at the sender.
    Evacuations(Evacuations),
    /// A batch of target reports.
    Reports(Vec<TargetReport>),
    /// A target left the deployment.
    TargetLeft(Departure),
    /// A message between schedulers.
    Scheduler(PeerMessage),
    /// A caller has cancelled a job, which the receiver may have.
    Cancel {
        /// The job.
        job: JobKey,
        /// Time since the caller asked for it.
        age: Duration,
    },
    /// The sender has cancelled a job and runs no submission of it that arrives later.
    Cancelled {
        /// The job.
        job: JobKey,
        /// Whether the sender had it.
        held: bool,
    },
    /// A part of the jobs that were cancelled while the receiver may have been out of touch.
    CancelAll {
        /// Identifies the part.
        number: u64,
        /// The jobs, and the time since a caller asked for it.
        jobs: Vec<(JobKey, Duration)>,
    },
    /// The sender has cancelled the jobs of a part with this number.
    CancelledAll(u64),
}
