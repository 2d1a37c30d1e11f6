//! Runs the control state of one VM: its control thread, its disk and its connections to other VMs.
//!
//! The control thread owns the state. It waits on its channels until the next deadline and does no
//! I/O, except to open the data folder; the mesh, the journal, the listeners and the outbound calls
//! have threads of their own and send it events. A [`Frontend`] answers callers and calls targets;
//! it is the only trait of this crate.

mod clock;
mod disk;
mod inputs;
mod messages;
mod metrics;
mod records;
mod runtime;
mod settings;

pub use clock::Clock;
pub use inputs::{inputs, is_urgent, ControlEnded, Input, InputSender, Inputs};
pub use messages::MessagePools;
pub use metrics::{
    format_refusals, record_answer, record_call, record_refused_order, record_shed, record_status,
    record_unanswered, Metrics,
};
pub use records::{decode_entry, decode_snapshot, encode_entry, encode_snapshot};
pub use runtime::{run, ControlPanicked, Exit, Frontend};
pub use settings::Settings;
