//! One VM of the system: the control thread, the traffic threads and the channels between them.
//!
//! The channel into the control thread is bounded. When it is full, front ends refuse requests,
//! messages of peers are dropped, and the threads whose events must not be lost (disk, target
//! client) block. Channels out of the control thread are unbounded, because it must never block;
//! their length is bounded by the work that the control thread has in flight. Every traffic thread
//! ends when the control thread drops its ends of the channels.

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
pub use node::{check_settings, prepare_data_folder, Node, ShutdownHandle};
pub use settings::{parse_vms, Settings, SettingsError, VmEntry};
