//! The control thread's whole state: composes agreement, ledger, policy, membership and dispatch.
//!
//! [`Control::step`] takes the present time and one event and returns effects; it does no I/O and
//! knows no encoding. Three parts share the work. `routing` sends each request to the VM that
//! decides it and keeps the callers that wait here. `configuration` follows the control group and
//! passes accepted edits on to VMs that are no members of it. [`zone`](Zone) exists only while
//! this VM leads its zone's ledger group: it owns the zone's jobs, attempts and dispatcher, and is
//! rebuilt from the ledger and the targets' answers by each new leader.

pub mod api;
pub mod call;

mod configuration;
mod control;
mod ledgers;
mod message;
mod operators;
mod replica;
mod routing;
mod shutdown;
mod site;
mod timers;
mod verify;
mod zone;

pub use control::{Control, Durable};
pub use greengage_dispatch::Tuning;
pub use message::{
    Body, Effect, Envelope, Event, GroupSave, LedgerMessage, LedgerSave, Now, PolicyMessage,
    PolicySave, Restored, Saved,
};
pub use site::{home_zone, Limits, Roles, Site, SiteError, VmSpec};
