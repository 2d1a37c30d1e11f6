//! Raft as a state machine without I/O, generic over the command and the snapshot state.
//!
//! `Raft::step` takes the present time and one event and returns effects. The caller carries them
//! out in order and reports `Event::Saved` when a `Save` is durable. `Raft` itself holds back each
//! message that must not leave before a save is durable.
//!
//! # Algorithm
//!
//! Elections, log replication, the commit rule, membership changes of one node at a time,
//! snapshots, leadership transfer and read index follow Ongaro and Ousterhout, "In Search of an
//! Understandable Consensus Algorithm", and Ongaro's dissertation on the same algorithm. Pre-vote
//! follows "Scylla - Leader Election with Raft": a node asks whether it could win before it starts
//! a term, so a node that returns from a partition doesn't depose a leader that works.
//!
//! - `election`: timeouts, pre-vote, votes, check-quorum, leadership transfer.
//! - `replication`: the leader's stream of entries and snapshots, and a follower's answers.
//! - `progress`: what a leader knows of one member.
//! - `membership`: changes of one member, seats.
//! - `read`: read index.
//! - `log`: entries, snapshot and configurations in memory, and how much of them is durable.
//! - `outbox`: collects a step's effects and holds messages back until a save is durable.
//! - `raft`: the node, the dispatch of events and the timers.
//! - `random`: the generator of election timeouts.
//!
//! # Invariants
//!
//! - A node gives at most one vote per term, and a vote leaves only once it is durable.
//! - A follower reports an index as stored only once it is durable; a leader sends entries before
//!   its own disk has them but counts itself only for durable ones.
//! - A leader commits by counting only entries of its own term.
//! - The commit index never goes back, and committed entries are never truncated.
//! - A configuration is in use from the moment it is appended; the next change waits until it is
//!   committed and until the leader has committed an entry of its own term.
//! - Held-back messages belong to the present term; a change of term discards them.
//!
//! Asserts check these where the check is cheap.

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
    HardState, InstallReply, Message, Refused, Role, Save, SaveSeq, Seat, Setup, Snapshot, Status,
    Ticket, Timing, VoteReply, VoteRequest,
};
pub use raft::Raft;
