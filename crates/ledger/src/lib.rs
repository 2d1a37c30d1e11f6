//! The replicated record of submissions: accepted, begun, closed.
//!
//! `Ledger::apply` is deterministic: every voter that applies the same commands in the same order
//! has the same state.

mod command;

pub use command::{Applied, Command, Entry, Refused, Stage, Submission};
