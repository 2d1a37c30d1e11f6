//! The configuration of a deployment as one document, and the Raft group that replicates it.
//!
//! - `document`: the versioned document of queues and services, and its validation.
//! - `evacuation`: the evacuated zones, and the orders that change them.
//! - `check`: what is wrong with a document before it is sent, and what it changes.
//! - `state`: the replicated state machine; the highest version of the document wins.
//! - `group`: the Raft group with its pending edits and reads.
//! - `autopilot`: automatic membership changes.

mod autopilot;
mod check;
mod document;
mod evacuation;
mod group;
mod state;

pub use autopilot::{next_change, Peer, VOTER_TIMEOUT};
pub use check::{
    check, differences, Bounds, Change, Difference, Entry, Finding, Problem, SHORTEST_RUN,
};
pub use document::{Document, DocumentError, Limits, Queue, Service};
pub use evacuation::{
    EvacuatedZone, EvacuationAction, EvacuationOrder, Evacuations, MAX_EVACUATED_ZONES,
};
pub use group::{
    EditOutcome, Effect, Event, Group, GroupMessage, GroupSave, RecoveredState, Setup,
    COMPACTION_ENTRIES, MAX_ORDER_AGE,
};
pub use state::{Edit, State, StateChange};
