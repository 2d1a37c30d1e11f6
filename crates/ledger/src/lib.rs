//! Replicated state machine that records submissions as accepted, begun and closed.
//!
//! `Ledger::apply` is deterministic: voters that apply the same commands in the same order have the
//! same state.

mod command;
mod ledger;
mod state;

pub use command::{Applied, Command, Entry, Refused, Stage, Submission};
pub use ledger::{Counts, Ledger, EXPIRE_BATCH_ENTRIES};
pub use state::State;
