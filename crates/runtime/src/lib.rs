//! Runs the control state of one VM: its control thread, its disk and its connections to others.
//!
//! The control thread owns the state. It waits on one channel until the next deadline and does no
//! I/O; the mesh, the journal and whatever speaks to callers and targets have threads of their own
//! and send it events. What callers and targets are told is the business of an [`Frontend`], the
//! only trait here.

mod clock;
mod disk;
mod metrics;
mod runtime;
mod settings;

pub use clock::Clock;
pub use metrics::{record_answer, record_call, record_standing, Metrics};
pub use runtime::{run, Frontend, Input};
pub use settings::Settings;
