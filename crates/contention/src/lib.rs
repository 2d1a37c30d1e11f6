//! Decisions when jobs compete for too little room.
//!
//! The crate has no I/O, no clock and no encoding: the present time is an argument, and callers
//! translate their own jobs and targets into its types. The scheduler of entry VMs uses the order,
//! the placement and the start of jobs, and the choice of who is refused in place of another; the
//! dispatcher of the project's own interface uses the windows. Refusals by forecast
//! (`choose_refusals`) are used by neither yet: see `docs/design/too-little-room.md`.
//!
//! - `forecast`: what a target has free, now and later.
//! - `placement`: choice of a slot for a task.
//! - `rank`: in which order jobs get room.
//! - `refusal`: which jobs are refused so that the others start in time.
//! - `share`: how much of its demand each queue and priority was served.
//! - `start`: which tasks of a job start now, later or not in time.
//! - `window`: values that are kept for the last seconds.

mod forecast;
mod placement;
mod rank;
mod refusal;
mod share;
mod start;
mod window;

pub use forecast::{expected_end, Progress, Room};
pub use placement::{choose_safe, choose_slot, finish_time, Locality, Slot};
pub use rank::{Claim, Rank};
pub use refusal::{choose_refusals, choose_substitute, Contender, Refusal};
pub use share::Shares;
pub use start::{decide, place_later, place_now, place_safe, Decision, Need, Placement};
pub use window::Windows;
