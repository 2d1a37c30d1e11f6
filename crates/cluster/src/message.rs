//! Messages between VMs.

use std::sync::Arc;

use greengage_config::{Document, GroupMessage};
use greengage_core::{value, NodeId, TargetName, Version};
use greengage_gossip::Introduction;
use greengage_scheduler::{PeerMessage, TargetReport};

/// A message between VMs.
#[value]
pub enum Message {
    /// The roster's, with the version of the sender's configuration.
    Gossip(Introduction, Option<Version>),
    /// The control group's.
    Group {
        /// The sender's VM and data folder.
        from: NodeId,
        /// The receiver's; a message to a folder that was replaced is dropped.
        to: NodeId,
        /// The message.
        message: Box<GroupMessage>,
    },
    /// A configuration that is committed.
    Configuration(Arc<Document>),
    /// What targets have reported.
    Reports(Vec<TargetReport>),
    /// A target has left.
    TargetLeft(TargetName),
    /// The scheduler's.
    Scheduler(PeerMessage),
}
