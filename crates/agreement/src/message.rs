//! Inputs, outputs, messages and stored types of the state machine.

use std::fmt;
use std::time::Duration;

use greengage_core::{value, Index, NodeId, SortedMap, Term, Time};

/// What a member does in its group.
#[value(copy, key)]
pub enum MemberRole {
    /// Stores the log, votes and can lead.
    Voter,
    /// Stores the log and votes; leads only until a voter has caught up, then transfers leadership.
    Witness,
    /// Stores the log without voting.
    Learner,
}

/// The members of a group.
#[value]
#[derive(Default)]
pub struct Config {
    /// Each member's seat.
    pub members: SortedMap<NodeId, MemberRole>,
}

/// The term and vote that must survive a restart.
#[value]
#[derive(Default)]
pub struct HardState {
    /// The highest term that the node has seen.
    pub term: Term,
    /// The candidate that got the node's vote in that term; `None` before it has voted.
    pub vote: Option<NodeId>,
}

/// The content of a log entry.
#[value]
pub enum EntryKind<C> {
    /// Empty; the first entry of each leader's term.
    Noop,
    /// A command for the replicated state machine.
    Command(C),
    /// The group's configuration, in effect once appended.
    Config(Config),
}

/// One entry of the replicated log.
#[value]
pub struct Entry<C> {
    /// The term of the leader that made the entry.
    pub term: Term,
    /// The entry's position in the log, counted from 1 without gaps.
    pub index: Index,
    /// What the entry does when it is applied.
    pub kind: EntryKind<C>,
}

/// The state machine's state up to an index.
#[value]
pub struct Snapshot<S> {
    /// The term of the last entry in the snapshot.
    pub term: Term,
    /// The index of the last entry in the snapshot.
    pub index: Index,
    /// The configuration in effect at that index.
    pub config: Config,
    /// The state after applying all entries up to that index.
    pub state: S,
}

/// The sequence number of a save, from 1 and without gaps.
#[value(copy, key)]
#[derive(Default)]
pub struct SaveSeq(pub u64);

/// State that must become durable atomically.
///
/// `entries` replace all entries of the durable log from the first one's index on. With
/// `snapshot`, entries up to its index may be dropped. With `clear`, all earlier entries must be
/// dropped first, since the snapshot doesn't continue them.
#[value]
pub struct Save<C, S> {
    /// The sequence number to report in `Event::Saved`.
    pub seq: SaveSeq,
    /// The new hard state; `None` if it didn't change.
    pub hard_state: Option<HardState>,
    /// Entries to append after truncating the log at the first one's index.
    pub entries: Vec<Entry<C>>,
    /// A new snapshot; `None` if it didn't change.
    pub snapshot: Option<Snapshot<S>>,
    /// Whether to drop all entries stored before this save.
    pub clear: bool,
}

/// The caller's identifier of a proposal, read or membership change.
#[value(copy, key)]
pub struct Ticket(pub u64);

/// A candidate's request for a vote or pre-vote.
#[value]
pub struct VoteRequest {
    /// The candidate's term; in a pre-vote, the term that it would start.
    pub term: Term,
    /// The index of the candidate's last entry.
    pub last_index: Index,
    /// The term of the candidate's last entry.
    pub last_term: Term,
    /// Whether this is a pre-vote, which binds neither side.
    pub pre_vote: bool,
    /// Whether the leader requested the campaign to transfer leadership.
    pub transfer: bool,
}

/// The reply to a vote request.
#[value]
pub struct VoteReply {
    /// The request's term if granted, otherwise the voter's term.
    pub term: Term,
    /// Whether the sender votes, or in a pre-vote would vote, for the candidate.
    pub granted: bool,
    /// Whether the request was a pre-vote.
    pub pre_vote: bool,
}

/// Entries for a follower; a heartbeat or probe has none.
#[value]
pub struct AppendRequest<C> {
    /// The leader's term.
    pub term: Term,
    /// The index of the entry before `entries`.
    pub prev_index: Index,
    /// The term of the entry before `entries`.
    pub prev_term: Term,
    /// Consecutive entries after `prev_index`.
    pub entries: Vec<Entry<C>>,
    /// The leader's commit index.
    pub commit: Index,
    /// The leader's heartbeat round, echoed in the reply to confirm reads.
    pub round: u64,
}

/// The reply to an `AppendRequest`.
#[value]
pub struct AppendReply {
    /// The follower's term.
    pub term: Term,
    /// Whether the follower's log matched at `prev_index`.
    pub success: bool,
    /// On success, the last index that matches and is durable; otherwise a hint where to probe.
    pub index: Index,
    /// The request's heartbeat round.
    pub round: u64,
}

/// The reply to a snapshot, sent once the snapshot is durable.
#[value]
pub struct InstallSnapshotReply {
    /// The follower's term.
    pub term: Term,
    /// The snapshot's index.
    pub index: Index,
}

/// A message between members of one group.
#[value]
pub enum Message<C, S> {
    /// A candidate requests a vote or pre-vote.
    VoteRequest(VoteRequest),
    /// Reply to `VoteRequest`.
    VoteReply(VoteReply),
    /// The leader sends entries, a heartbeat or a probe.
    AppendRequest(AppendRequest<C>),
    /// Reply to `AppendRequest`.
    AppendReply(AppendReply),
    /// The leader sends a snapshot because its log no longer has the entries to send.
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        /// The leader's latest snapshot.
        snapshot: Snapshot<S>,
    },
    /// Reply to `InstallSnapshot`.
    InstallSnapshotReply(InstallSnapshotReply),
    /// The leader asks the receiver to campaign at once, to transfer leadership.
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
}

/// A membership change of one member.
#[value]
pub enum Change {
    /// Adds a learner, which doesn't vote.
    AddLearner(NodeId),
    /// Makes a caught-up learner a voter or witness.
    Promote {
        /// The learner.
        node: NodeId,
        /// The new seat: `Voter` or `Witness`.
        seat: MemberRole,
    },
    /// Removes a member.
    Remove(NodeId),
}

/// An input of the state machine.
#[value]
pub enum Event<C, S> {
    /// The time returned by `Raft::next_wake` has come.
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
    /// Appends a command if this node leads.
    Propose {
        /// The caller's number, repeated in the effect.
        ticket: Ticket,
        /// The command for the replicated state machine.
        command: C,
    },
    /// Requests the index at which a linearizable read can be served.
    Read(Ticket),
    /// Changes one member if this node leads.
    Change {
        /// The caller's number, repeated in the effect.
        ticket: Ticket,
        /// The requested change.
        change: Change,
    },
    /// Transfers leadership to this voter, or with `None` to the active voter that lags least.
    Transfer(Option<NodeId>),
    /// Provides the state machine's state at an applied index, to compact the log.
    Compact {
        /// The last index that `state` includes.
        index: Index,
        /// The state machine's state at that index.
        state: S,
    },
}

/// A node's role in its current term.
#[value(copy)]
pub enum Role {
    /// Replicates from the leader or waits for one.
    Follower,
    /// Requests votes or pre-votes.
    Candidate,
    /// Replicates its log to the other members.
    Leader,
}

/// Why a proposal, read or membership change was refused.
#[value]
pub enum RefusalReason {
    /// This node isn't the leader.
    NotLeader {
        /// The current leader, if known.
        leader: Option<NodeId>,
    },
    /// Leadership is being transferred.
    Transferring,
    /// The membership change can't be made.
    Change(ChangeError),
}

/// Why a membership change can't be made.
#[value]
pub enum ChangeError {
    /// An earlier change, or the first entry of the leader's term, isn't committed yet.
    Pending,
    /// The node isn't a member.
    Unknown(NodeId),
    /// The node already is a member.
    Present(NodeId),
    /// The learner lacks committed entries.
    Behind {
        /// The learner.
        node: NodeId,
        /// How many committed entries it lacks.
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
    /// Send a message; it may be lost, delayed or duplicated.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message<C, S>,
    },
    /// Apply these committed entries in order.
    Apply(Vec<Entry<C>>),
    /// Replace the state machine's state with the leader's snapshot.
    Restore(Snapshot<S>),
    /// A proposal or change was appended; its fate is known once that index is applied.
    Appended {
        /// The caller's number.
        ticket: Ticket,
        /// The entry's index.
        index: Index,
        /// The entry's term; an entry of another term at this index means that this one was lost.
        term: Term,
    },
    /// A proposal, read or membership change was refused and had no effect.
    Refused {
        /// The caller's number.
        ticket: Ticket,
        /// Why it was refused.
        reason: RefusalReason,
    },
    /// A read is linearizable once this index is applied.
    ReadReady {
        /// The caller's number.
        ticket: Ticket,
        /// The read index.
        index: Index,
    },
    /// The role, the term or the known leader changed.
    Role {
        /// The node's new role.
        role: Role,
        /// The node's current term.
        term: Term,
        /// The leader of that term, if known.
        leader: Option<NodeId>,
    },
}

/// Timer settings of a group.
#[value]
pub struct Timing {
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout. Each timeout is random between this and twice this, doubled for a
    /// witness.
    pub min_election_timeout: Duration,
    /// Whether a candidate holds a pre-vote before it starts a term.
    pub pre_vote: bool,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat_interval: Duration::from_millis(75),
            min_election_timeout: Duration::from_millis(300),
            pre_vote: true,
        }
    }
}

/// The configuration and durable state from which a node starts.
pub struct Setup<C, S> {
    /// This node.
    pub node: NodeId,
    /// The members of a new group; ignored if `snapshot` or `entries` hold a configuration. A node
    /// with an empty one waits until a leader adds it.
    pub config: Config,
    /// The stored hard state.
    pub hard_state: HardState,
    /// The stored snapshot; `None` before the first one.
    pub snapshot: Option<Snapshot<S>>,
    /// The stored entries after the snapshot, without gaps.
    pub entries: Vec<Entry<C>>,
    /// Heartbeat interval and election timeout.
    pub timing: Timing,
    /// Limit of entries in one message, not 0.
    pub batch_entries: usize,
    /// The memory that a command takes, in bytes; bounds what is kept of the log.
    pub command_bytes: fn(&C) -> usize,
    /// Seed of the random election timeouts; the node's id is mixed in.
    pub seed: u64,
    /// The current time.
    pub now: Time,
}

/// A node's view of its group.
#[value]
pub struct Status {
    /// The node's role.
    pub role: Role,
    /// The node's current term.
    pub term: Term,
    /// The leader of that term, if known.
    pub leader: Option<NodeId>,
    /// The highest index known to be committed.
    pub commit_index: Index,
    /// The index of the last log entry.
    pub last_index: Index,
    /// The configuration in effect.
    pub config: Config,
    /// On a leader, each member's last index known to be durable there; otherwise empty.
    pub match_index: SortedMap<NodeId, Index>,
}
