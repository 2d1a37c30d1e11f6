//! Messages between the VMs of a deployment over plain TCP.
//!
//! One connection for each direction, made when there is something to send. A message is a frame:
//! a length of four bytes, then as many bytes; the first frame of a connection names the sender.
//! Messages may be lost when a connection breaks, never reordered within one connection. The bytes
//! of all waiting messages leave in one write.
//!
//! A connection on which sent bytes stay unacknowledged is replaced, since something between the
//! VMs may have lost track of it while new connections work.
//!
//! There is no encryption: this is for deployments whose network is closed to others, and which
//! give their VMs no keys.

mod link;
mod mesh;

pub use mesh::{Mesh, MeshError};
