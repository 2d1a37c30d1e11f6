//! HTTP calls to targets from one thread.
//!
//! The calls run as `hyper` client tasks over pooled connections, so a call that a target holds
//! open occupies no thread. No async type is part of the interface. Each call has a time-out; a
//! call that times out closes its connection, since the connection may be dead while new ones work.
//!
//! The outcome distinguishes calls that were never sent from calls without an answer: only the
//! former are certain to have had no effect.

mod outbound;
mod pool;

pub use outbound::{Call, Class, Outbound, Outcome};
