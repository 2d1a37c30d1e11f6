//! What a VM knows of another one, and when that one counts as lost.

use std::time::Duration;

use greengage_core::{Time, VmName};

use crate::message::Member;

/// A VM as another one knows it.
pub(crate) struct Peer {
    pub(crate) member: Member,
    /// Lower bound of the time at which its latest message was sent; `None` while it is known only
    /// from others.
    pub(crate) last_heard: Option<Time>,
    /// When it was added or last heard; the forget timeout counts from here.
    pub(crate) last_update: Time,
    /// When the connection to it was last replaced; at first, when it was added.
    pub(crate) last_reconnect: Time,
    /// When a message of the VM itself last arrived; `None` before the first one.
    pub(crate) last_direct: Option<Time>,
    /// When it was last sent a heartbeat.
    pub(crate) last_sent: Time,
    /// Since when, and until when, it gets every heartbeat.
    pub(crate) active: Option<(Time, Time)>,
    /// Whether it gets a heartbeat at once, over a new connection.
    pub(crate) hello_due: bool,
}

impl Peer {
    pub(crate) fn is_active(&self, now: Time) -> bool {
        self.active.is_some_and(|(_, until)| now < until)
    }

    /// Whether the VM exchanges tasks with this one, and nothing has arrived from it for `limit`.
    pub(crate) fn is_silent_partner(&self, now: Time, limit: Duration) -> bool {
        let active_for = self.active.map(|(since, _)| now.since(since));
        let recent = |last: Time| now.since(last) < limit;
        self.is_active(now) && active_for >= Some(limit) && !self.last_direct.is_some_and(recent)
    }
}

/// After which silence VMs count as lost.
pub(crate) struct Timeouts {
    pub(crate) near: Duration,
    pub(crate) distant: Duration,
}

impl Timeouts {
    pub(crate) fn of(&self, own: &Member, other: &Member) -> Duration {
        match is_near(own, other) {
            true => self.near,
            false => self.distant,
        }
    }
}

/// Whether a VM is heard of often: it is of the same zone, or both are control VMs.
pub(crate) fn is_near(own: &Member, other: &Member) -> bool {
    own.zone == other.zone || own.roles.control && other.roles.control
}

/// Order in which a VM sends heartbeats to others. It differs between VMs, so that not all of them
/// send theirs to the same ones.
pub(crate) fn turn(from: &VmName, to: &VmName) -> u64 {
    name_hash(name_hash(0, from), to)
}

/// Hash of a name by FNV-1a with a seed, whose bits are mixed.
pub(crate) fn name_hash(seed: u64, name: &VmName) -> u64 {
    let bytes = name.as_str().bytes();
    bytes.fold(0xcbf2_9ce4_8422_2325 ^ seed, |hash, byte| {
        let hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        hash ^ (hash >> 32)
    })
}
