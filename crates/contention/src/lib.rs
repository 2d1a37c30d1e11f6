//! Decisions when jobs compete for too little room.
//!
//! The crate has no I/O, no clock and no encoding: the present time is an argument, and callers
//! translate their own jobs and targets into its types. The scheduler of entry VMs and the dispatcher
//! of the project's own interface use the same rules.
//!
//! - `rank`: in which order jobs get room, and which one is refused first.

mod rank;

pub use rank::{Claim, Rank};
