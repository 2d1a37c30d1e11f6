//! Test doubles of targets and callers, for tests, demonstrations and load generation.
//!
//! A [`Target`] is an HTTP server, by default on a loopback address, that announces itself, runs
//! each task as a timer and injects the faults that [`Behaviour`] lists. A [`Caller`] submits work
//! and waits for its result as a client account does.

mod caller;
mod receive;
mod server;
mod target;

pub use caller::{Answer, Caller, CallerError, CallerSettings, Job, SingleRequest};
pub use target::{Behaviour, Calls, Start, Target, TargetSettings};
