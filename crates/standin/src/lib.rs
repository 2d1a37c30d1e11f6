//! Stand-in targets and callers for tests, demonstrations and load.
//!
//! A [`Target`] is a real HTTP server on a loopback address that announces itself and runs tasks by
//! waiting; its faults are a closed set. A [`Caller`] submits and waits as a client account does.

mod caller;
mod receive;
mod server;
mod target;

pub use caller::{Answer, Caller, CallerError, CallerSettings, Job, Single};
pub use target::{Behaviour, Calls, Start, Target, TargetSettings};
