//! Inputs and outputs of the state machine.

use std::sync::Arc;

use greengage_agreement::SaveSeq;
use greengage_config::{Document, EvacuationOrder, Evacuations, GroupSave};
use greengage_core::{value, Address, RequestId, TargetName, Time, VmName};
use greengage_gossip::Stamp;
use greengage_scheduler as scheduler;
use greengage_scheduler::{Departure, JobKey, Reply, TargetReport};

use crate::message::Message;

/// An input of [`Cluster::step`](crate::Cluster::step).
#[value(local)]
pub enum Event {
    /// The time returned by `next_wake` has been reached.
    Tick,
    /// A message from another VM.
    Receive {
        /// The sender.
        from: VmName,
        /// Its timestamps.
        stamp: Stamp,
        /// The message.
        message: Message,
    },
    /// Saves up to this one are durable.
    Saved(SaveSeq),
    /// An event from a caller or a target for the scheduler.
    Scheduler(scheduler::Event),
    /// A caller cancels a job, which may be at another VM.
    Cancel {
        /// The request to answer.
        request: RequestId,
        /// The job.
        job: JobKey,
    },
    /// A target reported to this VM.
    Report(TargetReport),
    /// A target told this VM that it leaves the deployment.
    TargetLeft(Departure),
    /// An operator submits a configuration.
    Put {
        /// The request to answer.
        request: RequestId,
        /// The configuration.
        document: Arc<Document>,
    },
    /// An operator reads the configuration; the request to answer.
    Get(RequestId),
    /// An operator evacuates a zone or takes that back.
    Evacuate {
        /// The request to answer.
        request: RequestId,
        /// The order.
        order: EvacuationOrder,
        /// When the request was read.
        received: Time,
    },
    /// An operator asks which zones are evacuated as far as this VM knows; the request to answer.
    GetEvacuations(RequestId),
    /// An operator has disconnected before the answer to this request.
    OperatorGone(RequestId),
    /// The settings were reloaded with these seeds.
    SetSeeds(Vec<Address>),
    /// Starts a graceful shutdown.
    Shutdown {
        /// When it was requested, from which the grace period counts.
        requested: Time,
    },
}

/// The outcome of a caller's request.
#[value(local)]
pub enum Outcome {
    /// The scheduler's reply to a job or a query.
    Scheduler(Reply),
    /// The configuration or the order was accepted.
    Accepted,
    /// The configuration in force, in answer to a read.
    Configuration(Arc<Document>),
    /// The evacuated zones in force at this VM; `None` before it knows them.
    Evacuations(Option<Evacuations>),
    /// The request must be sent to the VM at this address, which leads the control group.
    Redirect(Address),
    /// The outcome or the newest state is unknown; the request may be retried.
    Unknown,
    /// The order isn't carried out, since too many zones are evacuated.
    TooManyZones,
    /// It isn't known whether another VM has the job and has cancelled it; the request may be retried.
    Unconfirmed,
}

/// State that a control VM stores outside its Raft log, so that it serves sooner after a restart.
#[value]
#[derive(Default)]
pub struct Hints {
    /// The configuration that was in force, `None` if there was none. It was committed, so it may
    /// be used before a new leader has announced the commit index.
    pub document: Option<Arc<Document>>,
    /// The latest report of each target.
    pub targets: Vec<TargetReport>,
    /// The addresses of the VMs that were live.
    pub vms: Vec<Address>,
    /// The evacuated zones that were in force, if there was a configuration.
    pub evacuations: Evacuations,
}

/// An output, to be carried out by the caller of [`Cluster::step`](crate::Cluster::step).
#[value(local)]
pub enum Effect {
    /// Send a message to an address.
    Send {
        /// The receiver.
        to: Address,
        /// Timestamps that bound the message's age at the receiver.
        stamp: Stamp,
        /// The message.
        message: Message,
    },
    /// Replace the connection to an address by a new one.
    Reconnect(Address),
    /// Make this durable, then deliver `Event::Saved`.
    Save(GroupSave),
    /// Store these hints in place of earlier ones; no completion is reported.
    Store(Hints),
    /// Answer a caller.
    Answer {
        /// The request to answer.
        request: RequestId,
        /// The answer.
        outcome: Outcome,
    },
    /// Call a target.
    Call {
        /// The target.
        target: TargetName,
        /// The address on which the target accepts calls.
        address: Address,
        /// The owner's generation, which fences calls of earlier owners.
        generation: u64,
        /// The call.
        call: scheduler::TargetCall,
    },
}
