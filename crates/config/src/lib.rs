//! A deployment's whole configuration as one document, and the group of VMs that stores it.
//!
//! - `document`: queues and services under the operator's version, and the rules for a valid one.
//! - `state`: the replicated state machine; the highest version wins.
//! - `group`: the agreement group, its pending edits and reads.
//! - `autopilot`: which membership change a leader makes next.

mod autopilot;
mod document;
mod group;
mod state;

pub use autopilot::{next_change, Peer, VOTER_TIMEOUT};
pub use document::{Document, DocumentError, Limits, Queue, Service};
pub use group::{
    EditOutcome, Effect, Event, Group, GroupMessage, GroupSave, Restored, Setup, COMPACTION_ENTRIES,
};
pub use state::{Edit, State};
