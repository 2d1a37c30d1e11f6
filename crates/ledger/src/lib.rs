//! The replicated record of submissions: accepted, begun, closed.
//!
//! `Ledger::apply` is deterministic: every voter that applies the same commands in the same order
//! has the same state.

mod command;
mod ledger;
mod state;

pub use command::{Applied, Command, Entry, Refused, Stage, Submission};
pub use ledger::{Counts, Ledger, EXPIRE_BATCH_ENTRIES};
pub use state::State;
