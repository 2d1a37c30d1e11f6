//! HTTP calls to targets from one thread.
//!
//! `hyper` speaks HTTP over connections that are kept and used again, so a call that a target
//! holds costs no thread. No async type leaves this crate. Each call has a time limit; a call
//! without an answer in that time closes its connection, since the connection may have gone silent
//! while new ones work.
//!
//! The result tells calls that were never sent from calls without an answer: only the former are
//! sure to have had no effect.

mod outbound;
mod pool;

pub use outbound::{Call, Outbound, Outcome};
