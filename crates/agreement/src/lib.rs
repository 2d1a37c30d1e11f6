//! Raft as a state machine without I/O, generic over the command and the snapshot state.
//!
//! `Raft::step` takes the current time and one event and returns effects. The caller executes them
//! in order and reports `Event::Saved` once a `Save` is durable. `Raft` itself defers each message
//! that depends on a save until that save is durable.
//!
//! # Algorithm
//!
//! Elections, log replication, the commit rule, membership changes of one node at a time,
//! snapshots, leadership transfer and read index follow Ongaro and Ousterhout, "In Search of an
//! Understandable Consensus Algorithm", and Ongaro's dissertation on the same algorithm. Pre-vote
//! follows "Scylla - Leader Election with Raft": a node asks whether it could win before it starts
//! a term, so a node that rejoins after a partition doesn't depose a working leader.
//!
//! - `election`: timeouts, pre-vote, votes, check-quorum, leadership transfer.
//! - `replication`: sending entries and snapshots, a follower's replies, the commit rule.
//! - `progress`: the leader's replication state of one member.
//! - `membership`: single-member configuration changes.
//! - `read`: linearizable reads by read index.
//! - `log`: entries, snapshot and configurations in memory, and which entries are durable.
//! - `outbox`: collects a step's effects and defers messages until a save is durable.
//! - `raft`: the node's state, event dispatch and timers.
//! - `random`: the random generator of election timeouts.
//!
//! # Invariants
//!
//! - A node gives at most one vote per term, and the vote is sent only once it is durable.
//! - A follower acknowledges an index only once it is durable. A leader sends entries before they
//!   are durable locally but counts itself only for durable ones.
//! - A leader commits only entries of its own term by counting replicas.
//! - The commit index never decreases, and committed entries are never truncated.
//! - A configuration takes effect when it is appended. The next change is refused until that
//!   configuration is committed and the leader has committed an entry of its own term.
//! - Deferred messages belong to the current term; a change of term discards them.
//!
//! Assertions check these where the check is cheap.

mod election;
mod log;
mod membership;
mod message;
mod outbox;
mod progress;
mod raft;
mod random;
mod read;
mod replication;

pub use message::{
    AppendReply, AppendRequest, Change, ChangeError, Config, Effect, Entry, EntryKind, Event,
    HardState, InstallSnapshotReply, MemberRole, Message, RefusalReason, Role, Save, SaveSeq,
    Setup, Snapshot, Status, Ticket, Timing, VoteReply, VoteRequest,
};
pub use progress::DEFAULT_BATCH_ENTRIES;
pub use raft::Raft;
