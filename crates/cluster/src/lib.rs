//! The control state of one VM of a deployment whose VMs find one another from seeds.
//!
//! It composes the roster of VMs, the group that stores the configuration, the reports of targets
//! and the scheduler, and decides what goes to which VM. Like its parts it is a state machine
//! without I/O: `Cluster::step` takes the present time and an event and returns effects.
//!
//! - `message`: messages between VMs.
//! - `event`: what goes in and what comes out.
//! - `reports`: what a control VM hears from targets, and its way to the entry VMs.
//! - `cluster`: the composition.
//! - `shutdown`: when a VM that shuts down may end.

pub use greengage_gossip as gossip;
pub use greengage_scheduler as scheduler;

mod cluster;
mod event;
mod message;
mod reports;
mod shutdown;

pub use cluster::{Cluster, Setup, Standing};
pub use event::{Effect, Event, Hints, Outcome};
pub use message::Message;
pub use shutdown::{Shutdown, Stage};
