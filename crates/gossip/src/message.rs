//! Records of VMs and the messages of the gossip protocol.

use greengage_core::{value, Address, Incarnation, NodeId, VmName, ZoneName};

/// Roles of a VM; it may have both.
#[value(copy)]
pub struct Roles {
    /// Whether it accepts jobs and owns targets.
    pub entry: bool,
    /// Whether it stores the configuration and receives target reports.
    pub control: bool,
}

/// Record of a VM, as the VM announces it.
#[value]
pub struct Member {
    /// Name of the VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address for messages from other VMs.
    pub address: Address,
    /// Address for operators and targets; `None` unless it is a control VM.
    pub api: Option<Address>,
    /// Incarnation of its process; a later start normally has a higher number.
    pub incarnation: Incarnation,
    /// Its roles.
    pub roles: Roles,
    /// Id of its data folder; `None` unless it is a control VM.
    pub folder_id: Option<u64>,
    /// Whether it is shutting down.
    pub leaving: bool,
}

impl Member {
    /// Its node in the control group; `None` unless it is a control VM.
    pub fn node(&self) -> Option<NodeId> {
        self.folder_id.map(|folder| NodeId {
            vm: self.vm.clone(),
            folder,
        })
    }
}

/// What a VM tells of another one that it has heard of.
#[value]
pub struct Sighting {
    /// The VM.
    pub vm: VmName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Milliseconds since the earliest time at which the VM's latest message may have been sent,
    /// rounded up.
    pub age_ms: u32,
}

/// A message of the gossip protocol.
#[value]
pub enum GossipMessage {
    /// Introduction or heartbeat with the sender's own record.
    Hello {
        /// The sender's record.
        member: Member,
        /// Whether the sender already knows the receiver; if not, the receiver answers. It also
        /// answers a message whose age it can't bound, since the sender's next one echoes that.
        known: bool,
        /// Whether the sender asks for the receiver's member list.
        list_wanted: bool,
        /// When the sender has last heard of other VMs.
        sightings: Vec<Sighting>,
    },
    /// The sender's member list, including itself.
    Members(Vec<Member>),
}

/// A message and its destination.
#[value]
pub struct Envelope {
    /// The receiver.
    pub to: Address,
    /// The message.
    pub message: GossipMessage,
}
