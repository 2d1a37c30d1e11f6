//! The scheduler of an entry VM, for jobs whose state isn't stored.
//!
//! Each target is owned by one entry VM. Only the owner starts tasks on it, renews the lease of its
//! runs and reads which of them have ended. A VM that accepts a job places its tasks on its own
//! targets; tasks that fit on none of them are offloaded one by one to VMs that offer free
//! resources.
//!
//! - `event`: inputs and outputs.
//! - `peer`: messages between entry VMs.
//! - `estimate`: run time per queue and speed per target, learned from completed runs.
//! - `health`: exclusion of targets that fail or stall their tasks.
//! - `target`: a target, its owner, its lease and its runs.
//! - `assignment`: assignment of targets to entry VMs.
//! - `progress`: lower bound on the end of a run from its reported progress.
//! - `job`: a job and its tasks.
//! - `callers`: until when the callers of the jobs are known to wait.
//! - `cancel`: cancelled jobs.
//! - `renewal`: which offloaded runs are still needed, and which outcomes were received.
//! - `evacuation`: evacuated zones, on whose targets nothing is started.
//! - `refusals`: refusals by queue and reason, and the log of decisions about waiting jobs.
//! - `admission`: limits on the queueing time of jobs.
//! - `scheduler`, `submit`, `dispatch`, `ends`, `leases`, `offload`: the state machine.
//!
//! # Invariants
//!
//! - A task has at most one run at a time: the next one starts only after the previous one has
//!   ended, was refused, was confirmed as stopped, or its lease has expired.
//! - A VM starts nothing on a target unless it is sure that it owns the target.
//! - A task is started, and its run goes on, only while its caller is known to wait, or was shorter
//!   ago than callers wait before they submit a job again.
//! - A job is refused only while none of its tasks has run or may run: none was sent to a target, or
//!   each that was is known not to have begun and can't begin any more.

mod admission;
mod assignment;
mod callers;
mod cancel;
mod departures;
mod dispatch;
mod ends;
mod estimate;
mod evacuation;
mod event;
mod health;
mod job;
mod leases;
mod offload;
mod peer;
mod progress;
mod refusals;
mod renewal;
mod scheduler;
mod submit;
mod target;
mod targets;

pub use assignment::{assign, pair_hash, Candidate, DEFAULT_WEIGHT};
pub use cancel::{JobKey, CANCEL_LIFETIME};
pub use departures::Departures;
pub use estimate::Estimates;
pub use event::{
    Departure, Effect, EndKind, Event, HoldCall, HoldResult, Reply, RunEnd, RunListing, StartCall,
    StartResult, Step, StopCall, StopResult, Submission, TargetCall, TargetReport, MAX_LABELS,
};
pub use peer::{OffloadOutcome, OffloadedTask, PeerMessage, ResourceOffer};
pub use progress::earliest_end;
pub use refusals::{Reason, ReasonCounts};
pub use scheduler::{Peer, Scheduler, Setup};
