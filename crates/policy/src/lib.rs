//! Templates and the parameters of client accounts, as a replicated state machine.
//!
//! `Policy::apply` is deterministic. An edit carries an operation id and the version on which it is
//! based; a retry with the same operation id gets the original outcome and is not applied again.

mod document;
mod policy;
mod state;

pub use document::{
    Command, Document, EditError, Outcome, Param, ParamKind, ParamValue, Params, Resolved,
    Template, MAX_DURATION_MS, MAX_PARAMS, MAX_RETRIES, MAX_TASKS, MAX_TEXT_BYTES, MAX_WEIGHT,
    MIN_DURATION_MS,
};
pub use policy::{Policy, StaleState, MAX_RECORDS, MAX_TOMBSTONES};
pub use state::State;
