//! Inputs and outputs.

use std::sync::Arc;

use greengage_agreement::SaveSeq;
use greengage_config::{Document, GroupSave};
use greengage_core::{value, Address, RequestId, TargetName, VmName};
use greengage_scheduler as scheduler;
use greengage_scheduler::{Reply, TargetReport};

use crate::message::Message;

/// An input.
#[value(local)]
pub enum Event {
    /// The time that `wake` named has come.
    Tick,
    /// A message of another VM.
    Receive {
        /// The sender.
        from: VmName,
        /// The message.
        message: Message,
    },
    /// Saves up to this one are durable.
    Saved(SaveSeq),
    /// An event of callers or targets for the scheduler.
    Work(scheduler::Event),
    /// A target reports to this VM.
    Report(TargetReport),
    /// A target tells this VM that it leaves.
    Left(TargetName),
    /// An operator puts a configuration.
    Put {
        /// The caller.
        request: RequestId,
        /// The configuration.
        document: Arc<Document>,
    },
    /// An operator reads the configuration.
    Get(RequestId),
    /// The settings name other seeds.
    Seeds(Vec<Address>),
    /// Begin to shut down.
    Leave,
}

/// The end of a caller's request.
#[value(local)]
pub enum Outcome {
    /// Of a job or a count.
    Work(Reply),
    /// The configuration was accepted.
    Accepted,
    /// The configuration in force.
    Configuration(Arc<Document>),
    /// Another VM has to be asked.
    Elsewhere(Address),
    /// The outcome, or the newest configuration, isn't known; the request may be sent again.
    Unknown,
}

/// What a control VM keeps on disk beside its group, to serve sooner when it starts again.
#[value]
#[derive(Default)]
pub struct Hints {
    /// The configuration that was in force. It was committed, so it may be obeyed before a new
    /// leader has told how far the group's log is committed.
    pub document: Option<Arc<Document>>,
    /// The latest reports of targets.
    pub targets: Vec<TargetReport>,
    /// The addresses of live VMs.
    pub vms: Vec<Address>,
}

/// An output.
#[value(local)]
pub enum Effect {
    /// Send a message to an address.
    Send {
        /// The receiver.
        to: Address,
        /// The message.
        message: Message,
    },
    /// Send what follows to an address over a new connection.
    Reconnect(Address),
    /// Make this durable, then report `Event::Saved`.
    Save(GroupSave),
    /// Store these hints in place of earlier ones; nothing waits for it.
    Store(Hints),
    /// Answer a caller.
    Answer {
        /// The caller.
        request: RequestId,
        /// The answer.
        outcome: Outcome,
    },
    /// Call a target.
    Call {
        /// The target.
        target: TargetName,
        /// Where it takes calls.
        address: Address,
        /// The owner's generation.
        generation: u64,
        /// The call.
        call: scheduler::TargetCall,
    },
}
