//! Messages between the VMs of a deployment over plain TCP.
//!
//! Each direction has its own connection, which is opened when there is a message to send. A
//! message is sent as a frame: its length in four bytes (big-endian), then its bytes. The first
//! frame of a connection holds the sender's name. Messages may be lost when a connection breaks,
//! but are never reordered within a connection. Queued messages are batched into one write.
//!
//! A connection on which sent bytes stay unacknowledged is replaced, since a device between the VMs
//! may have dropped the state of this connection while new connections work.
//!
//! Clients that don't belong to the deployment may reach the port. [`Limits`] bounds connections and
//! the bytes of incomplete messages; the connection that has made the least progress gives way.
//!
//! There is no encryption: the mesh is for deployments on a private network whose VMs have no keys.

mod link;
mod mesh;
mod receive;

pub use mesh::{Limits, Mesh, MeshError};
