//! The HTTP client and the load generator of `greengagectl`, as a library for its tests.

pub mod client;
pub mod load;
