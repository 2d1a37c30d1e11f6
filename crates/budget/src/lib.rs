//! Decisions on the memory and descriptors that clients may hold.
//!
//! Load answered: more bytes or connections than a VM has room for, from clients most of which make
//! no progress. The crate has no I/O and no clock; `docs/design/hostile-clients.md` has the reasons.
//!
//! - `shares`: the parts of a VM's memory and descriptors that each use may take.
//! - `connections`: which connection is closed when a listener is short of places or bytes.
//! - `pool`: a counter of bytes that several threads share.

mod connections;
mod pool;
mod shares;

pub use connections::{Admission, Connections, Held, Shortage};
pub use pool::{Charge, Pool};
pub use shares::Shares;
