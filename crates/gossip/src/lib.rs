//! How the VMs of a deployment find one another from a few seeds.
//!
//! Each VM introduces itself to the seeds, which answer with the VMs that they know. From then on
//! every VM sends each other one a heartbeat, and now and then its list to one of them, so a VM
//! that one knows is soon known to all. A VM counts as live only while it is heard itself: what
//! others say of it only gives its address.
//!
//! # Invariants
//!
//! - A member's record is replaced only by one of the same or a later life of its VM, or once its
//!   life has fallen silent.
//! - A VM that isn't heard for [`Timing::lost`] is not live, whatever others say.

mod member_list;

pub use member_list::{Envelope, GossipMessage, Member, MemberList, Roles, Timing};
