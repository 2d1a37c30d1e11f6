//! The control state of one VM in a deployment whose VMs discover one another from seeds.
//!
//! It combines the member list, the Raft group that stores the configuration, the target reports
//! and the scheduler, and routes messages between VMs. Like its parts it is a state machine
//! without I/O: `Cluster::step` takes the current time and an event and returns effects.
//!
//! - `message`: messages between VMs.
//! - `event`: inputs and outputs of the state machine.
//! - `reports`: target reports at a control VM, and how they are forwarded and stored.
//! - `cluster`: the state machine itself.
//! - `cancels`: cancelling of jobs at all entry VMs.
//! - `configuration`: offers and downloads of the configuration.
//! - `evacuations`: orders about evacuated zones, and how the zones reach all VMs.
//! - `shutdown`: the stages of a graceful shutdown.

pub use greengage_distribution as distribution;
pub use greengage_gossip as gossip;
pub use greengage_scheduler as scheduler;

mod cancels;
mod cluster;
mod configuration;
mod evacuations;
mod event;
mod message;
mod reports;
mod shutdown;

pub use cluster::{Cluster, Setup, Status};
pub use event::{Effect, Event, Hints, Outcome};
pub use message::{Message, Versions};
pub use shutdown::{Shutdown, Stage};
