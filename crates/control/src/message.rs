//! Inputs and outputs of the control thread, and the messages between VMs.

use std::sync::Arc;
use std::time::Duration;

use greengage_agreement as agreement;
use greengage_agreement::{Config, Entry, HardState, Save, SaveSeq, Snapshot};
use greengage_core::{
    value, Hlc, Incarnation, NodeId, RequestId, Revision, Time, VmName, WallTime, ZoneName,
};
use greengage_ledger as ledger;
use greengage_membership::{Announcement, VmStatus};
use greengage_policy as policy;

use crate::api::{Group, Reply, Request};
use crate::call::{Call, CallResult};

/// A Raft message of the control group.
pub type PolicyMessage = agreement::Message<policy::Command, policy::State>;
/// A Raft message of a ledger group.
pub type LedgerMessage = agreement::Message<ledger::Command, ledger::State>;
/// A Raft save of the control group.
pub type PolicySave = Save<policy::Command, policy::State>;
/// A Raft save of a ledger group.
pub type LedgerSave = Save<ledger::Command, ledger::State>;

/// The current time, read once for each event.
#[value(copy, local)]
#[derive(Default)]
pub struct Now {
    /// Monotonic time, used for all deadlines and time-outs.
    pub time: Time,
    /// Time of day, used for retention and timestamps.
    pub wall: WallTime,
}

/// A message between VMs.
#[value]
pub struct Envelope {
    /// The sender's hybrid logical clock.
    pub timestamp: Hlc,
    /// Message content.
    pub body: Body,
}

/// The content of a message between VMs.
#[value]
pub enum Body {
    /// Raft traffic of the control group.
    Control {
        /// Node id of the sender.
        from: NodeId,
        /// Node id of the receiver; a VM with another node id drops the message.
        to: NodeId,
        /// Raft message.
        message: PolicyMessage,
    },
    /// Raft traffic of a ledger group.
    Ledger {
        /// Zone of the ledger group.
        zone: ZoneName,
        /// Node id of the sender.
        from: NodeId,
        /// Node id of the receiver; a VM with another node id drops the message.
        to: NodeId,
        /// Raft message.
        message: LedgerMessage,
    },
    /// A caller's request, sent to the VM that handles it.
    Forward {
        /// Incarnation of the sender. Request ids start at 1 in each incarnation, so a reply to an
        /// earlier one would reach another caller.
        incarnation: Incarnation,
        /// Request id at the sender.
        id: RequestId,
        /// Remaining time that the caller waits for the outcome.
        wait: Duration,
        /// Forwarded request.
        request: Request,
    },
    /// The reply to a forwarded request.
    Reply {
        /// Incarnation from the forwarded request.
        incarnation: Incarnation,
        /// Request id from the forwarded request.
        id: RequestId,
        /// Reply to pass to the caller.
        reply: Reply,
    },
    /// The receiver of a forward does not, or no longer, handle the request; the sender must find
    /// another VM.
    Redirect {
        /// Incarnation from the forwarded request.
        incarnation: Incarnation,
        /// Request id from the forwarded request.
        id: RequestId,
    },
    /// A target announced itself to the sender.
    Announce(Announcement),
    /// A target announced its leaving to the sender.
    Leave(greengage_core::TargetName),
    /// The sender's status report.
    Status {
        /// Report of the sender on itself.
        status: VmStatus,
        /// Id of the sender's data folder; `None` without one.
        folder: Option<u64>,
    },
    /// Committed edits after the revision that the receiver reported.
    Edits {
        /// Revision that the edits follow.
        after: Revision,
        /// Each edit with the revision that it produced.
        edits: Vec<(Revision, policy::Command)>,
        /// Whether the sender leads the control group.
        leading: bool,
    },
    /// The whole committed configuration, for a receiver whose missing edits are no longer kept.
    Policy {
        /// State of the configuration.
        state: policy::State,
        /// Whether the sender leads the control group.
        leading: bool,
    },
}

impl Body {
    /// Name of the variant, used as a metric label.
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

/// State that must become durable.
#[value]
pub enum GroupSave {
    /// State of the control group.
    Control(PolicySave),
    /// State of a ledger group.
    Ledger {
        /// Zone of the ledger group.
        zone: ZoneName,
        /// Raft save.
        save: LedgerSave,
    },
    /// A committed configuration. It comes into force here only once it is durable, so that a
    /// restart never returns to an earlier revision.
    Policy(policy::State),
}

/// A save that has become durable.
#[value]
pub enum DurableSave {
    /// A save of a Raft group.
    Group {
        /// Group that was saved.
        group: Group,
        /// Sequence number of the save.
        seq: SaveSeq,
    },
    /// The configuration up to this revision.
    Policy(Revision),
}

/// Stored state of a group at start.
#[value]
pub struct StoredGroup<C, S> {
    /// Initial members of the group; empty for a data folder created later.
    pub config: Config,
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot; `None` if the log was never compacted.
    pub snapshot: Option<Snapshot<S>>,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry<C>>,
}

impl<C, S> Default for StoredGroup<C, S> {
    fn default() -> Self {
        StoredGroup {
            config: Config::default(),
            hard_state: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }
}

/// An input of the control thread.
#[value(local)]
pub enum Event {
    /// The deadline that `Control::next_wake` returned has passed.
    Tick,
    /// A request arrived at a front end.
    Request {
        /// Request id assigned by the front end.
        id: RequestId,
        /// How long the caller waits for the outcome.
        wait: Duration,
        /// Received request.
        request: Request,
    },
    /// A message arrived from another VM.
    Peer {
        /// Sender, as authenticated by its certificate.
        from: VmName,
        /// Received message.
        envelope: Arc<Envelope>,
    },
    /// A connection to or from another VM was replaced; messages may be lost.
    Reconnected {
        /// The other VM.
        vm: VmName,
    },
    /// A save has become durable.
    SaveDone(DurableSave),
    /// The disk failed; no further save becomes durable.
    DiskFailed,
    /// A call to a target ended.
    CallEnded {
        /// Token of the call.
        token: u64,
        /// Result that the client observed.
        result: CallResult,
    },
    /// A graceful shutdown was requested.
    Drain,
}

/// An output of the control thread.
#[value(local)]
pub enum Effect {
    /// Reply to a request of a front end.
    Reply {
        /// Request id assigned by the front end.
        id: RequestId,
        /// Reply for the caller.
        reply: Reply,
    },
    /// Send a message to another VM; it may be lost.
    Send {
        /// Receiver of the message.
        to: VmName,
        /// Message to send.
        envelope: Envelope,
    },
    /// Make this durable, then report `Event::SaveDone`.
    Save(GroupSave),
    /// Make a call to a target, then report `Event::CallEnded`.
    Call {
        /// Token to report with the result.
        token: u64,
        /// Call to make.
        call: Call,
    },
    /// After `Event::Drain`: no work is in flight any more.
    Drained,
}
