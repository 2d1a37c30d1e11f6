//! Parts of `greengagectl` that tests use: the client of VMs and the load tool.

pub mod client;
pub mod load;
