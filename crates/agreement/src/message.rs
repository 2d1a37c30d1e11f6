//! Types that cross the edge of the state machine.

use std::fmt;
use std::time::Duration;

use greengage_core::{value, Index, NodeId, SortedMap, Term, Time};

/// A member's part in its group.
#[value(copy, key)]
pub enum Seat {
    /// Stores, votes and leads.
    Voter,
    /// Stores and votes; leads only to bring a voter up to date, then transfers leadership.
    Witness,
    /// Stores without a vote.
    Learner,
}

/// The members of a group.
#[value]
#[derive(Default)]
pub struct Config {
    /// Each member's seat.
    pub members: SortedMap<NodeId, Seat>,
}

/// What a node must not forget about its votes.
#[value]
#[derive(Default)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// The vote given in that term.
    pub vote: Option<NodeId>,
}

/// What an entry holds.
#[value]
pub enum EntryKind<C> {
    /// The first entry of a leader's term.
    Noop,
    /// A command for the replicated state machine.
    Command(C),
    /// The group's members from here on.
    Config(Config),
}

/// One entry of the replicated log.
#[value]
pub struct Entry<C> {
    /// The term of the leader that made the entry.
    pub term: Term,
    /// The entry's place in the log.
    pub index: Index,
    /// The content.
    pub kind: EntryKind<C>,
}

/// The state machine's state up to an index.
#[value]
pub struct Snapshot<S> {
    /// The term of the last entry in the snapshot.
    pub term: Term,
    /// The index of the last entry in the snapshot.
    pub index: Index,
    /// The members at that index.
    pub config: Config,
    /// The state machine's state.
    pub state: S,
}

/// The number of a save, which grows by one with each.
#[value(copy, key)]
#[derive(Default)]
pub struct SaveSeq(pub u64);

/// What has to become durable, in one step.
///
/// `entries` replace all entries of the durable log from the index of the first one on. With
/// `snapshot`, entries up to its index may be dropped; with `clear`, all earlier entries must be
/// dropped first, since they don't lead to the snapshot.
#[value]
pub struct Save<C, S> {
    /// The number to report in `Event::Saved`.
    pub seq: SaveSeq,
    /// The new hard state, where it changed.
    pub hard: Option<HardState>,
    /// Entries to append, after cutting the log at the first one's index.
    pub entries: Vec<Entry<C>>,
    /// A snapshot to store.
    pub snapshot: Option<Snapshot<S>>,
    /// Whether to drop all earlier entries.
    pub clear: bool,
}

/// The caller's number of a proposal, a read or a change.
#[value(copy, key)]
pub struct Ticket(pub u64);

/// A request for a vote.
#[value]
pub struct VoteRequest {
    /// The candidate's term; for a pre-vote the term that it would start.
    pub term: Term,
    /// The index of the candidate's last entry.
    pub last_index: Index,
    /// The term of the candidate's last entry.
    pub last_term: Term,
    /// Whether this only asks what the answer would be.
    pub pre_vote: bool,
    /// Whether the leader asked the candidate to take over.
    pub transfer: bool,
}

/// The answer to a request for a vote.
#[value]
pub struct VoteReply {
    /// The request's term where granted, else the voter's term.
    pub term: Term,
    /// Whether the vote is given.
    pub granted: bool,
    /// Whether this answers a pre-vote.
    pub pre_vote: bool,
}

/// Entries, or none as a heartbeat.
#[value]
pub struct AppendRequest<C> {
    /// The leader's term.
    pub term: Term,
    /// The index of the entry before `entries`.
    pub prev_index: Index,
    /// The term of the entry before `entries`.
    pub prev_term: Term,
    /// New entries.
    pub entries: Vec<Entry<C>>,
    /// The leader's commit index.
    pub commit: Index,
    /// The heartbeat round, echoed in the reply; read index and check-quorum count these.
    pub round: u64,
}

/// The answer to `Append`.
#[value]
pub struct AppendReply {
    /// The follower's term.
    pub term: Term,
    /// Whether the entry before the new ones matched.
    pub success: bool,
    /// On success the last index known to match and durable, else a hint where to try next.
    pub index: Index,
    /// The round of the request.
    pub round: u64,
}

/// The answer to a snapshot.
#[value]
pub struct InstallReply {
    /// The follower's term.
    pub term: Term,
    /// The snapshot's index, now durable at the follower.
    pub index: Index,
}

/// A message between members of one group.
#[value]
pub enum Message<C, S> {
    /// Request for a vote.
    VoteRequest(VoteRequest),
    /// Answer to it.
    VoteReply(VoteReply),
    /// Entries or a heartbeat.
    AppendRequest(AppendRequest<C>),
    /// Answer to it.
    AppendReply(AppendReply),
    /// A snapshot for a follower that the log doesn't reach.
    Install {
        /// The leader's term.
        term: Term,
        /// The snapshot.
        snapshot: Snapshot<S>,
    },
    /// Answer to it.
    InstallReply(InstallReply),
    /// The leader asks the receiver to campaign at once.
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
}

/// A change of one member.
#[value]
pub enum Change {
    /// Adds a member without a vote.
    AddLearner(NodeId),
    /// Gives a caught-up learner a vote.
    Promote {
        /// The learner.
        node: NodeId,
        /// `Voter` or `Witness`.
        seat: Seat,
    },
    /// Removes a member.
    Remove(NodeId),
}

/// An input of the state machine.
#[value]
pub enum Event<C, S> {
    /// The time that `wake` named has come.
    Tick,
    /// A message arrived.
    Receive {
        /// The sender.
        from: NodeId,
        /// The message.
        message: Message<C, S>,
    },
    /// All saves up to this number are durable.
    Saved(SaveSeq),
    /// Appends a command, if this node leads.
    Propose {
        /// The caller's number, repeated in the effect.
        ticket: Ticket,
        /// The command.
        command: C,
    },
    /// Asks for an index from which a read is current.
    Read(Ticket),
    /// Changes one member, if this node leads.
    Change {
        /// The caller's number, repeated in the effect.
        ticket: Ticket,
        /// The change.
        change: Change,
    },
    /// Hands leadership to a caught-up voter, `None` for the best one.
    Transfer(Option<NodeId>),
    /// The state machine's state at an applied index, to shorten the log.
    Compact {
        /// The index that `state` includes.
        index: Index,
        /// The state.
        state: S,
    },
}

/// A node's role.
#[value(copy)]
pub enum Role {
    /// Follows the leader, or knows none.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads its term.
    Leader,
}

/// Why a proposal, read or change was refused.
#[value]
pub enum Refused {
    /// This node doesn't lead.
    NotLeader {
        /// The leader, where known.
        leader: Option<NodeId>,
    },
    /// Leadership is being transferred.
    Transferring,
    /// The change can't be made.
    Change(ChangeError),
}

/// Why a change of members can't be made.
#[value]
pub enum ChangeError {
    /// Another change isn't committed yet.
    Pending,
    /// The node isn't a member.
    Unknown(NodeId),
    /// The node is a member already.
    Present(NodeId),
    /// The learner hasn't caught up yet.
    Behind {
        /// The learner.
        node: NodeId,
        /// Entries that it misses.
        entries: u64,
    },
    /// The last voter can't be removed.
    LastVoter,
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeError::Pending => {
                write!(
                    f,
                    "another membership change is under way: wait for it and send again"
                )
            }
            ChangeError::Unknown(node) => {
                write!(f, "{node} is not a member: add it as a learner first")
            }
            ChangeError::Present(node) => {
                write!(
                    f,
                    "{node} is a member already: remove it first to change its seat"
                )
            }
            ChangeError::Behind { node, entries } => write!(
                f,
                "learner {node} is {entries} entries behind: send again when it has caught up"
            ),
            ChangeError::LastVoter => {
                write!(
                    f,
                    "the last voter can't be removed: add another voter first"
                )
            }
        }
    }
}

/// An output of the state machine.
#[value]
pub enum Effect<C, S> {
    /// Make this durable, then report `Event::Saved`.
    Save(Save<C, S>),
    /// Send a message; loss is allowed.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message<C, S>,
    },
    /// Apply committed entries, in order.
    Apply(Vec<Entry<C>>),
    /// Replace the state machine's state.
    Restore(Snapshot<S>),
    /// A proposal or change was appended at this place; it is decided when that index is applied.
    Appended {
        /// The caller's number.
        ticket: Ticket,
        /// The entry's index.
        index: Index,
        /// The entry's term; another term at this index means that the proposal was lost.
        term: Term,
    },
    /// A proposal, read or change was refused and had no effect.
    Refused {
        /// The caller's number.
        ticket: Ticket,
        /// Why.
        reason: Refused,
    },
    /// A read is current once this index is applied.
    ReadReady {
        /// The caller's number.
        ticket: Ticket,
        /// The index.
        index: Index,
    },
    /// The role, the term or the known leader changed.
    Role {
        /// The role.
        role: Role,
        /// The term.
        term: Term,
        /// The leader, where known.
        leader: Option<NodeId>,
    },
}

/// Time limits of a group.
#[value]
pub struct Timing {
    /// Between two heartbeats.
    pub heartbeat: Duration,
    /// Shortest election timeout; the timeout is random between this and twice this. A witness
    /// waits twice as long.
    pub election: Duration,
    /// Whether a candidate asks before it starts a term.
    pub pre_vote: bool,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat: Duration::from_millis(75),
            election: Duration::from_millis(300),
            pre_vote: true,
        }
    }
}

/// What a node starts from.
#[value]
pub struct Setup<C, S> {
    /// This node.
    pub node: NodeId,
    /// The members of a new group; ignored when `snapshot` or `entries` hold a configuration. An
    /// empty one waits to be added by a leader.
    pub config: Config,
    /// The durable hard state.
    pub hard: HardState,
    /// The durable snapshot.
    pub snapshot: Option<Snapshot<S>>,
    /// The durable entries after the snapshot.
    pub entries: Vec<Entry<C>>,
    /// Time limits.
    pub timing: Timing,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// The present time.
    pub now: Time,
}

/// A node's view of its group.
#[value]
pub struct Status {
    /// The role.
    pub role: Role,
    /// The term.
    pub term: Term,
    /// The leader, where known.
    pub leader: Option<NodeId>,
    /// The commit index.
    pub commit: Index,
    /// The index of the last entry.
    pub last: Index,
    /// The members.
    pub config: Config,
    /// For a leader: each member's last index known to be durable there.
    pub matched: SortedMap<NodeId, Index>,
}
