//! Decisions when jobs compete for too little room.
//!
//! The crate has no I/O, no clock and no encoding: the present time is an argument, and callers
//! translate their own jobs and targets into its types. The scheduler of entry VMs and the dispatcher
//! of the project's own interface use the same rules.
//!
//! - `forecast`: what a target has free, now and later.
//! - `placement`: choice of a slot for a task.
//! - `rank`: in which order jobs get room, and which one is refused first.
//! - `start`: which tasks of a job start now, later or not in time.

mod forecast;
mod placement;
mod rank;
mod start;

pub use forecast::{expected_end, Progress, Room};
pub use placement::{choose_safe, choose_slot, finish_time, Locality, Slot};
pub use rank::{Claim, Rank};
pub use start::{decide, place_later, place_now, place_safe, Decision, Need, Placement};
