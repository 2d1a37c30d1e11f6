//! The list of known VMs.

use std::time::Duration;

use greengage_core::{value, Address, Incarnation, NodeId, SortedMap, Time, VmName, ZoneName};

/// What a VM does.
#[value(copy)]
pub struct Roles {
    /// Takes jobs and owns targets.
    pub entry: bool,
    /// Stores the configuration and hears targets.
    pub control: bool,
}

/// A VM as it introduces itself.
#[value]
pub struct Member {
    /// The VM's name.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where other VMs reach it.
    pub address: Address,
    /// Where operators and targets reach it, for control VMs.
    pub api: Option<Address>,
    /// The life of its process; a later start has a higher number.
    pub life: Incarnation,
    /// Its roles.
    pub roles: Roles,
    /// The id of its data folder, for control VMs.
    pub folder: Option<u64>,
    /// Whether it is shutting down.
    pub leaving: bool,
}

impl Member {
    /// The VM as a member of the control group.
    pub fn node(&self) -> Option<NodeId> {
        self.folder.map(|folder| NodeId {
            vm: self.vm.clone(),
            folder,
        })
    }
}

/// Messages of the roster.
#[value]
pub enum GossipMessage {
    /// A VM's own record; `known` tells whether it has the receiver in its list.
    Hello {
        /// The sender.
        member: Member,
        /// Whether the sender knows the receiver.
        known: bool,
    },
    /// The VMs that the sender knows.
    Members(Vec<Member>),
}

/// A message to be sent to an address.
#[value]
pub struct Envelope {
    /// The receiver.
    pub to: Address,
    /// The message.
    pub message: GossipMessage,
}

/// Time limits of the roster.
#[value]
pub struct Timing {
    /// Between two heartbeats while there are few VMs.
    pub heartbeat_interval: Duration,
    /// Silence after which a VM isn't live.
    pub lost_timeout: Duration,
    /// Silence after which a VM is forgotten.
    pub forget_timeout: Duration,
    /// Between two introductions to a seed that isn't known yet.
    pub join_interval: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat_interval: Duration::from_millis(150),
            lost_timeout: Duration::from_millis(650),
            forget_timeout: Duration::from_secs(20),
            join_interval: Duration::from_millis(100),
        }
    }
}

/// VMs up to which heartbeats are sent at `Timing::heartbeat`; with more of them the interval
/// grows, so that the number of messages that a VM sends in a second stays the same.
const FULL_RATE_VMS: usize = 14;

/// How long a VM tries to reach the VMs of its last life. By then seeds have answered, or a VM that
/// they name has.
const STORED_PEERS_TIMEOUT: Duration = Duration::from_secs(4);

/// The part of the silence of a lost VM, in percent, after which connections to it are replaced:
/// two heartbeats and a half.
const RECONNECT_PERCENT: u32 = 60;

/// Heartbeats between two lists sent to one of the VMs.
const HEARTBEATS_PER_LIST: u64 = 5;

struct Peer {
    member: Member,
    /// When it was last heard itself.
    last_heard: Option<Time>,
    /// When anything was last heard of it, to forget it.
    last_update: Time,
    /// When the connection to it was last replaced because of its silence.
    last_reconnect: Time,
}

/// The VMs that this one knows.
pub struct MemberList {
    own: Member,
    timing: Timing,
    seeds: Vec<Address>,
    /// VMs of this VM's last life, and until when they are introduced to.
    stored_peers: (Vec<Address>, Time),
    peers: SortedMap<VmName, Peer>,
    next_heartbeat: Time,
    next_join: Time,
    heartbeat_count: u64,
}

impl MemberList {
    /// A VM that knows only its seeds.
    pub fn new(now: Time, own: Member, seeds: Vec<Address>, timing: Timing) -> MemberList {
        MemberList {
            own,
            timing,
            seeds,
            stored_peers: (Vec::new(), now),
            peers: SortedMap::new(),
            next_heartbeat: now,
            next_join: now,
            heartbeat_count: 0,
        }
    }

    /// This VM.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Introduces this VM to the VMs that it knew in its last life, for a while. When all VMs start
    /// at once, those that seeds would name first hear of it without waiting for a seed.
    pub fn set_stored_peers(&mut self, now: Time, vms: Vec<Address>) {
        self.stored_peers = (vms, now + STORED_PEERS_TIMEOUT);
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<Address>) {
        self.seeds = seeds;
    }

    /// Tells the others from now on that this VM shuts down.
    pub fn leave(&mut self, now: Time) {
        self.own.leaving = true;
        self.next_heartbeat = now;
    }

    /// The record of a VM.
    pub fn member(&self, vm: &VmName) -> Option<&Member> {
        self.peers.get(vm).map(|peer| &peer.member)
    }

    /// The other VMs that are live.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> {
        let timeout = self.lost_timeout();
        self.peers
            .values()
            .filter(move |peer| {
                peer.last_heard
                    .is_some_and(|heard| now.since(heard) < timeout)
            })
            .map(|peer| &peer.member)
    }

    /// Each known VM with the time at which it was last heard.
    pub fn last_heard(&self) -> impl Iterator<Item = (&Member, Time)> {
        let heard = self.peers.values();
        heard.filter_map(|peer| peer.last_heard.map(|time| (&peer.member, time)))
    }

    fn heartbeat_interval(&self) -> Duration {
        let vms = self.peers.len().max(FULL_RATE_VMS) as u32;
        self.timing.heartbeat_interval * vms / FULL_RATE_VMS as u32
    }

    fn lost_timeout(&self) -> Duration {
        self.timing
            .lost_timeout
            .max(self.heartbeat_interval() * 7 / 2)
    }

    /// VMs that have fallen silent, so that the connections to them should be replaced: something
    /// between the VMs may have lost track of them. The time is short enough that a VM is heard
    /// again before it counts as lost.
    pub fn peers_to_reconnect(&mut self, now: Time) -> Vec<Address> {
        let silence = self.lost_timeout() * RECONNECT_PERCENT / 100;
        let mut silent = Vec::new();
        for peer in self.peers.values_mut() {
            let recent = peer
                .last_heard
                .is_some_and(|heard| now.since(heard) < silence);
            if !recent && now.since(peer.last_reconnect) >= silence {
                peer.last_reconnect = now;
                silent.push(peer.member.address.clone());
            }
        }
        silent
    }

    /// When `tick` is due.
    pub fn wake(&self) -> Time {
        self.next_heartbeat.min(self.next_join)
    }

    /// Sends heartbeats and introductions that are due.
    pub fn tick(&mut self, now: Time) -> Vec<Envelope> {
        let mut out = Vec::new();
        if now >= self.next_join {
            self.next_join = now + self.timing.join_interval;
            if now >= self.stored_peers.1 {
                self.stored_peers.0.clear();
            }
            self.send_introductions(&mut out);
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.heartbeat_interval();
            self.heartbeat_count += 1;
            let forget = self.timing.forget_timeout;
            self.peers
                .retain(|_, peer| now.since(peer.last_update) < forget);
            for peer in self.peers.values() {
                let hello = self.hello(peer.last_heard.is_some());
                out.push(Envelope {
                    to: peer.member.address.clone(),
                    message: hello,
                });
            }
            if self.heartbeat_count.is_multiple_of(HEARTBEATS_PER_LIST) && !self.peers.is_empty() {
                let index =
                    (self.heartbeat_count / HEARTBEATS_PER_LIST) as usize % self.peers.len();
                let to = self.peers.values().nth(index).map(|p| &p.member.address);
                out.extend(to.map(|to| Envelope {
                    to: to.clone(),
                    message: self.list_message(now),
                }));
            }
        }
        out
    }

    fn hello(&self, known: bool) -> GossipMessage {
        GossipMessage::Hello {
            member: self.own.clone(),
            known,
        }
    }

    fn send_introductions(&self, out: &mut Vec<Envelope>) {
        let mut addresses: Vec<&Address> = self.seeds.iter().chain(&self.stored_peers.0).collect();
        addresses.sort_unstable();
        addresses.dedup();
        for address in addresses {
            let known = self
                .peers
                .values()
                .any(|peer| peer.member.address == *address && peer.last_heard.is_some());
            if *address != self.own.address && !known {
                out.push(Envelope {
                    to: address.clone(),
                    message: self.hello(false),
                });
            }
        }
    }

    /// The VMs that were heard lately. Others are left out, so that a VM that is gone isn't handed
    /// on for ever.
    fn list_message(&self, now: Time) -> GossipMessage {
        let max_silence = self.timing.forget_timeout / 4;
        let others = self.peers.values();
        let others = others.filter(|p| {
            p.last_heard
                .is_some_and(|heard| now.since(heard) < max_silence)
        });
        let others = others.map(|peer| peer.member.clone());
        GossipMessage::Members(others.chain([self.own.clone()]).collect())
    }

    /// Takes a message.
    pub fn receive(&mut self, now: Time, message: GossipMessage) -> Vec<Envelope> {
        match message {
            GossipMessage::Hello { member, known } => self.on_hello(now, member, known),
            GossipMessage::Members(members) => self.on_members(now, members),
        }
    }

    fn on_hello(&mut self, now: Time, member: Member, known: bool) -> Vec<Envelope> {
        let to = member.address.clone();
        let was_known = self.peers.contains(&member.vm);
        if member.vm == self.own.vm || !self.update_member(now, member, true) {
            return Vec::new();
        }
        if known {
            return Vec::new();
        }
        // A VM that wasn't known here answers with its list too.
        let hello = Envelope {
            to: to.clone(),
            message: self.hello(was_known),
        };
        let message = self.list_message(now);
        vec![hello, Envelope { to, message }]
    }

    fn on_members(&mut self, now: Time, members: Vec<Member>) -> Vec<Envelope> {
        let mut out = Vec::new();
        for member in members {
            let is_new = member.vm != self.own.vm && !self.peers.contains(&member.vm);
            let to = member.address.clone();
            if member.vm != self.own.vm && self.update_member(now, member, false) && is_new {
                out.push(Envelope {
                    to,
                    message: self.hello(false),
                });
            }
        }
        out
    }

    /// Notes a record; returns whether it is of the present life of its VM. Lives are numbered by
    /// the time of day, which may be set back, so a lower number counts once the life with the
    /// higher one has fallen silent.
    fn update_member(&mut self, now: Time, member: Member, direct: bool) -> bool {
        let vm = member.vm.clone();
        let timeout = self.lost_timeout();
        let Some(peer) = self.peers.get_mut(&vm) else {
            log::info!(event = "vm-known", vm = vm.as_str(), direct = direct; "a VM became known");
            let last_heard = direct.then_some(now);
            let peer = Peer {
                member,
                last_heard,
                last_update: now,
                last_reconnect: now,
            };
            self.peers.insert(vm, peer);
            return true;
        };
        let older = member.life < peer.member.life;
        let recent = peer
            .last_heard
            .is_some_and(|heard| now.since(heard) < timeout);
        if older && (recent || !direct) {
            return false;
        }
        if direct || member.life > peer.member.life {
            peer.member = member;
        }
        if direct {
            peer.last_heard = Some(now);
            peer.last_update = now;
        }
        true
    }
}
