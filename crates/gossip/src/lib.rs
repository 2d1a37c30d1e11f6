//! Discovery and liveness of the VMs of a deployment, starting from a few seeds.
//!
//! Each VM introduces itself to the seeds, which answer with the VMs that they know. After that,
//! every VM sends heartbeats to all others and, less often, its member list to one of them, so a
//! VM known to one soon becomes known to all. A VM counts as live only while its own messages
//! arrive; records received from others only provide its address. A message counts from the
//! earliest time at which it may have been sent (`stamp`), so that one that the network held for
//! long makes nobody live.
//!
//! # Invariants
//!
//! - A member's record is replaced only by a record of the same or a later incarnation, or after
//!   its incarnation has become silent.
//! - A message whose age has no bound makes no VM live. It is answered, and the sender's next
//!   message echoes that answer.
//! - A VM that was not heard within the lost timeout (at least [`Timing::lost_timeout`], longer in
//!   large deployments) is not live, even if others list it.

mod roster;
mod stamp;

pub use roster::{Envelope, GossipMessage, Member, MemberList, Roles, Sighting, Timing};
pub use stamp::{Echo, Stamp};
