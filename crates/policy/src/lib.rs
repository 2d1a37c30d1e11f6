//! Templates and the parameters of client accounts, as a replicated state machine.
//!
//! `Policy::apply` is deterministic. An edit names the version that it was made from and an
//! operation id; a resend of the same operation is answered again and not applied again.

mod document;
mod policy;
mod state;

pub use document::{
    Command, Document, EditError, Outcome, Param, ParamKind, ParamValue, Params, Resolved,
    Template, MAX_PARAMS, MAX_RETRIES, MAX_SPAN_MS, MAX_TASKS, MAX_WEIGHT, MIN_SPAN_MS, TEXT_BYTES,
};
pub use policy::{Policy, Stale, MAX_RECORDS, MAX_TRACES};
pub use state::State;
