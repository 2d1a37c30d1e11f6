//! One VM of the system: the control thread, the traffic threads and the channels between them.
//!
//! Channels into the control thread are bounded: a front end that finds it full refuses, a peer's
//! message is dropped, and threads that must not lose their report (disk, target client) wait.
//! Channels out of it are unbounded, because the control thread must never wait; what they hold
//! is bounded by what the control thread has in flight. Dropping the control thread's ends of the
//! channels ends every traffic thread.

mod bulk;
mod clock;
mod control;
mod disk;
mod error;
mod node;
mod peers;
mod settings;

pub use clock::Clock;
pub use error::NodeError;
pub use greengage_control::{Limits, Tuning};
pub use node::{check, init, Node, ShutdownHandle};
pub use settings::{parse_vms, Settings, SettingsError, VmEntry};
