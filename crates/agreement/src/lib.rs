//! Raft as a state machine without I/O, generic over the command and the snapshot state.
//!
//! `Raft::step` takes the present time and one event and returns effects. The caller carries them
//! out in order and reports `Event::Saved` when a `Save` is durable. `Raft` itself holds back each
//! message that must not leave before a save is durable.

mod message;

pub use message::{
    Append, AppendReply, Change, ChangeError, Config, Effect, Entry, EntryKind, Event, HardState,
    InstallReply, Message, Refused, Role, Save, SaveSeq, Seat, Setup, Snapshot, Status, Ticket,
    Timing, Vote, VoteReply,
};
