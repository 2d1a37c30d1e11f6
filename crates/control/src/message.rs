//! Inputs and outputs of the control thread, and the messages between VMs.

use std::sync::Arc;
use std::time::Duration;

use greengage_agreement as agreement;
use greengage_agreement::{Config, Entry, HardState, Save, SaveSeq, Snapshot};
use greengage_core::{
    value, Hlc, Incarnation, NodeId, RequestId, Revision, Time, VmName, Wall, ZoneName,
};
use greengage_ledger as ledger;
use greengage_membership::{Announcement, VmStatus};
use greengage_policy as policy;

use crate::api::{Group, Reply, Request};
use crate::call::{Call, Seen};

/// A message of the control group.
pub type PolicyMessage = agreement::Message<policy::Command, policy::State>;
/// A message of a ledger group.
pub type LedgerMessage = agreement::Message<ledger::Command, ledger::State>;
/// A save of the control group.
pub type PolicySave = Save<policy::Command, policy::State>;
/// A save of a ledger group.
pub type LedgerSave = Save<ledger::Command, ledger::State>;

/// The present time, read once for each event by the control thread.
#[value(copy, local)]
#[derive(Default)]
pub struct Now {
    /// Monotonic, for every decision.
    pub time: Time,
    /// Time of day, for retention and stamps.
    pub wall: Wall,
}

/// A message between VMs.
#[value]
pub struct Envelope {
    /// The sender's hybrid logical clock.
    pub timestamp: Hlc,
    /// The content.
    pub body: Body,
}

/// The content of a message between VMs.
#[value]
pub enum Body {
    /// Agreement on configuration.
    Control {
        /// The sender's identity.
        from: NodeId,
        /// The receiver's identity; another one drops the message.
        to: NodeId,
        /// The message.
        message: PolicyMessage,
    },
    /// Agreement on a zone's ledger.
    Ledger {
        /// The zone.
        zone: ZoneName,
        /// The sender's identity.
        from: NodeId,
        /// The receiver's identity; another one drops the message.
        to: NodeId,
        /// The message.
        message: LedgerMessage,
    },
    /// A caller's request, sent to the VM that decides it.
    Forward {
        /// The sender's life. Front ends count callers from 1 again in each, so a reply to an
        /// earlier life would reach another caller.
        incarnation: Incarnation,
        /// The sender's number of the caller.
        id: RequestId,
        /// How long the caller still waits.
        wait: Duration,
        /// The request.
        request: Request,
    },
    /// The reply to a forwarded request.
    Reply {
        /// The life in the forward.
        incarnation: Incarnation,
        /// The number in the forward.
        id: RequestId,
        /// The reply.
        reply: Reply,
    },
    /// The receiver of a forward doesn't decide it, or no longer; another VM must be asked.
    Redirect {
        /// The life in the forward.
        incarnation: Incarnation,
        /// The number in the forward.
        id: RequestId,
    },
    /// A target announced itself to the sender.
    Announce(Announcement),
    /// A target left through the sender.
    Leave(greengage_core::TargetName),
    /// The sender's report on itself.
    Status {
        /// The report.
        status: VmStatus,
        /// The id of its data folder, where it has one.
        folder: Option<u64>,
    },
    /// Accepted edits after a revision that the receiver reported.
    Edits {
        /// The revision that the edits follow.
        after: Revision,
        /// Each edit with the revision that it made.
        edits: Vec<(Revision, policy::Command)>,
        /// Whether the sender leads the control group.
        leading: bool,
    },
    /// All accepted edits as a state, for a receiver that is far behind.
    Policy {
        /// The state.
        state: policy::State,
        /// Whether the sender leads the control group.
        leading: bool,
    },
}

impl Body {
    /// The kind as a word, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Body::Control { .. } => "control",
            Body::Ledger { .. } => "ledger",
            Body::Forward { .. } => "forward",
            Body::Reply { .. } => "reply",
            Body::Redirect { .. } => "redirect",
            Body::Announce(_) => "announce",
            Body::Leave(_) => "leave",
            Body::Status { .. } => "status",
            Body::Edits { .. } => "edits",
            Body::Policy { .. } => "policy",
        }
    }
}

/// What has to become durable for one group.
#[value]
pub enum GroupSave {
    /// The control group.
    Control(PolicySave),
    /// A ledger group.
    Ledger {
        /// The zone.
        zone: ZoneName,
        /// The save.
        save: LedgerSave,
    },
    /// An accepted configuration, which comes into force here once this is durable, so that a
    /// restart never goes back to an earlier one.
    Policy(policy::State),
}

/// A save that is durable.
#[value]
pub enum Saved {
    /// A save of a group.
    Group {
        /// The group.
        group: Group,
        /// The number of the save.
        seq: SaveSeq,
    },
    /// The configuration with this last command.
    Policy(Revision),
}

/// What a group's files held at start.
#[value]
pub struct Restored<C, S> {
    /// The members that the group began with; none for a data folder made later.
    pub config: Config,
    /// The hard state.
    pub hard: HardState,
    /// The snapshot.
    pub snapshot: Option<Snapshot<S>>,
    /// The entries after it.
    pub entries: Vec<Entry<C>>,
}

impl<C, S> Default for Restored<C, S> {
    fn default() -> Self {
        Restored {
            config: Config::default(),
            hard: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }
}

/// An input of the control thread.
#[value(local)]
pub enum Event {
    /// The time that `wake` named has come.
    Tick,
    /// A request arrived at a front end.
    Request {
        /// The front end's number of it.
        id: RequestId,
        /// How long the caller waits.
        wait: Duration,
        /// The request.
        request: Request,
    },
    /// A message arrived from another VM.
    Peer {
        /// The sender, as its certificate says.
        from: VmName,
        /// The message.
        envelope: Arc<Envelope>,
    },
    /// A save is durable.
    Saved(Saved),
    /// The disk failed; nothing more becomes durable.
    DiskFailed,
    /// A call to a target ended.
    Seen {
        /// The number of the call.
        token: u64,
        /// What the client saw.
        seen: Seen,
    },
    /// The process is asked to end.
    Drain,
}

/// An output of the control thread.
#[value(local)]
pub enum Effect {
    /// Answer a request of a front end.
    Reply {
        /// The front end's number of it.
        id: RequestId,
        /// The reply.
        reply: Reply,
    },
    /// Send a message to another VM; loss is allowed.
    Send {
        /// The receiver.
        to: VmName,
        /// The message.
        envelope: Envelope,
    },
    /// Make this durable, then report `Event::Saved`.
    Save(GroupSave),
    /// Make a call to a target, then report `Event::Seen`.
    Call {
        /// The number to report.
        token: u64,
        /// The call.
        call: Call,
    },
    /// Nothing is in flight any more after `Event::Drain`.
    Drained,
}
