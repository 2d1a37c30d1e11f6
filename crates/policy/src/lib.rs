//! Templates and the parameters of client accounts, as a replicated state machine.
//!
//! `Policy::apply` is deterministic. An edit names the version that it was made from and an
//! operation id; a resend of the same operation is answered again and not applied again.

mod document;

pub use document::{
    Command, Document, EditError, Outcome, Param, ParamKind, ParamValue, Params, Resolved, Template,
};
