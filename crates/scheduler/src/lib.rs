//! The dispatch of jobs that needn't be stored, by the entry VMs themselves.
//!
//! Each target is owned by one entry VM, which alone starts tasks on it, renews the lease of what
//! runs there and reads what has ended. A VM that takes a job places its tasks on its own targets
//! and, where these have no fitting room, hands single tasks to VMs that report room.
//!
//! - `event`: what goes in and what comes out.
//! - `peer`: messages between entry VMs.
//! - `estimate`: run times per queue and speeds per target, learned from what has ended.
//! - `health`: targets that fail or stall what they start.
//! - `target`: a target, its lease and its runs.
//! - `owner`: which VM owns which target.
//! - `placement`: which room a task gets.
//! - `progress`: what a run's progress tells of its end.
//! - `job`: a job and its tasks.
//! - `admission`: how long a job may wait, and which ones are refused at once.
//! - `scheduler`, `submit`, `dispatch`, `ends`, `leases`, `offload`: the state machine.
//!
//! # Invariants
//!
//! - A task has at most one run at a time: a second one starts only once the first has ended, was
//!   refused, was stopped for good, or has outlived its lease.
//! - A VM that isn't sure to own a target starts nothing on it.
//! - A job is refused only while none of its tasks has been sent to a target.

mod admission;
mod dispatch;
mod ends;
mod estimate;
mod event;
mod health;
mod job;
mod leases;
mod offload;
mod owner;
mod peer;
mod placement;
mod progress;
mod scheduler;
mod submit;
mod target;

pub use estimate::Estimates;
pub use event::{
    Effect, End, EndKind, Event, HoldCall, HoldResult, Listing, Reply, StartCall, StartResult,
    Step, StopCall, StopResult, Submission, TargetCall, TargetReport,
};
pub use owner::{assign, Candidate, USUAL_WEIGHT};
pub use peer::{OffloadOutcome, OffloadedTask, PeerMessage, ResourceOffer};
pub use placement::{choose_slot, Locality, Slot};
pub use progress::earliest_end;
pub use scheduler::{Peer, Scheduler, Setup};
