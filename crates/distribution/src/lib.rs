//! Distribution of the configuration to VMs that are not members of the control group.
//!
//! A VM that has a newer configuration offers its version; a VM that needs it downloads the document
//! in parts. It requests one part at a time from one VM, so the receiver sets the pace: on a slow
//! link nothing is sent twice, and other messages wait for one part at most. A download continues
//! with another VM when its source falls silent, and keeps the parts that it has.
//!
//! Parts leave out the operator's text, which only the control group returns to operators.
//!
//! - `message`: offers, requests and parts.
//! - `provider`: the side that has a document.
//! - `download`: the side that needs one.
//!
//! # Invariants
//!
//! - A VM has at most one download, and waits for at most one part of it.
//! - A download that receives parts is completed, even if a newer version is offered meanwhile, so
//!   frequent changes can't keep a VM from receiving any of them.
//! - A document that is handed over is complete and newer than the one in force.

mod download;
mod message;
mod provider;

pub use download::{Download, PartRequest, Received};
pub use message::{DistributionMessage, Part, MAX_PART_BYTES};
pub use provider::Provider;
