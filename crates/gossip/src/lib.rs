//! Discovery and liveness of the VMs of a deployment, starting from a few seeds.
//!
//! Each VM introduces itself to the seeds, which answer with the VMs that they know. After that,
//! every VM sends heartbeats and, less often, its member list to others, so a VM known to one soon
//! becomes known to all. In a small deployment a heartbeat goes to all others, and a VM counts as
//! live only while its own messages arrive. In a large one it goes to a few, which pass on how long
//! ago they have heard of its sender (`roster`). Member lists only provide addresses. A message
//! counts from the earliest time at which it may have been sent (`stamp`), so that one that the
//! network held for long makes nobody live.
//!
//! # Invariants
//!
//! - A member's record is replaced only by a record of the same or a later incarnation, or after
//!   its incarnation has become silent.
//! - A message whose age has no bound makes no VM live. It is answered, and the sender's next
//!   message echoes that answer.
//! - A VM that was not heard of within the lost timeout ([`Timing::lost_timeout`], somewhat longer in
//!   a large deployment) is not live, even if others list it.
//! - The time at which a VM was heard of is never later than the time at which it sent a message.

mod message;
mod peer;
mod roster;
mod stamp;

pub use message::{Envelope, GossipMessage, Member, Roles, Sighting};
pub use roster::{MemberList, Timing};
pub use stamp::{Echo, Stamp};
