//! State machine of the control thread: composes agreement, ledger, policy, membership and
//! dispatch.
//!
//! [`Control::step`] takes the current time and one event and returns effects; it does no I/O and
//! knows no encoding. It has three parts. `routing` sends each request to the VM that handles it
//! and keeps the requests of this VM's front ends until they are answered. `configuration` applies
//! the control group's log and pushes committed edits to VMs that are not members of the group.
//! `zone` exists only while this VM leads its zone's ledger group: it owns the zone's jobs,
//! attempts and dispatcher. Each new leader rebuilds it from the ledger and the targets' answers.

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

pub use control::{Control, StoredState};
pub use greengage_dispatch::Tuning;
pub use message::{
    Body, DurableSave, Effect, Envelope, Event, GroupSave, LedgerMessage, LedgerSave, Now,
    PolicyMessage, PolicySave, StoredGroup,
};
pub use site::{home_zone, Limits, Roles, Site, SiteError, VmSpec};
