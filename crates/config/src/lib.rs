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

pub use autopilot::{next_change, Peer, LOST_AFTER};
pub use document::{Document, DocumentError, Limits, Queue, Service};
pub use group::{
    Edited, Effect, Event, Group, GroupMessage, GroupSave, Restored, Setup, COMPACT_EVERY,
};
pub use state::{Edit, State};
