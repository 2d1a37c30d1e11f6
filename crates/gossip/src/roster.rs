//! The list of known VMs and its gossip protocol.

use std::time::Duration;

use greengage_core::{value, Address, Incarnation, NodeId, SortedMap, Time, VmName, ZoneName};

use crate::stamp::{Samples, Stamp};

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

/// Intervals and timeouts of the gossip protocol.
#[value]
pub struct Timing {
    /// Time between two heartbeats in a small deployment; longer in a large one.
    pub heartbeat_interval: Duration,
    /// Silence after which a VM is not live; longer in a large deployment.
    pub lost_timeout: Duration,
    /// Silence after which a VM is removed from the list.
    pub forget_timeout: Duration,
    /// Time between two introductions to a seed that has not answered yet.
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

/// Number of peers up to which heartbeats are sent every `Timing::heartbeat_interval`. With more
/// peers the interval grows in proportion, which keeps the message rate of a VM constant.
const FULL_RATE_VMS: usize = 14;

/// Time during which a restarted VM contacts the stored addresses. Afterwards the seeds, or VMs
/// that they listed, have answered.
const STORED_PEERS_TIMEOUT: Duration = Duration::from_secs(4);

/// Percentage of the lost timeout after which connections to a silent VM are replaced: about two
/// and a half heartbeat intervals.
const RECONNECT_PERCENT: u32 = 60;

/// The member list is sent to one peer after every this many heartbeats.
const HEARTBEATS_PER_LIST: u64 = 5;

struct Peer {
    member: Member,
    /// Lower bound of the time at which its latest message was sent; `None` while it is known only
    /// from others.
    last_heard: Option<Time>,
    /// When it was added or last heard; the forget timeout counts from here.
    last_update: Time,
    /// When the connection to it was last replaced; at first, when it was added.
    last_reconnect: Time,
}

/// The VMs known to this VM.
pub struct MemberList {
    own: Member,
    timing: Timing,
    seeds: Vec<Address>,
    /// Addresses known before the last restart, and until when introductions are sent to them.
    stored_peers: (Vec<Address>, Time),
    peers: SortedMap<VmName, Peer>,
    /// The VM at each address of `peers`.
    by_address: SortedMap<Address, VmName>,
    samples: Samples,
    next_heartbeat: Time,
    next_join: Time,
    heartbeat_count: u64,
}

impl MemberList {
    /// Creates the list of a VM that knows only its seeds.
    pub fn new(now: Time, own: Member, seeds: Vec<Address>, timing: Timing) -> MemberList {
        MemberList {
            own,
            timing,
            seeds,
            stored_peers: (Vec::new(), now),
            peers: SortedMap::new(),
            by_address: SortedMap::new(),
            samples: Samples::default(),
            next_heartbeat: now,
            next_join: now,
            heartbeat_count: 0,
        }
    }

    /// This VM's own record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Sets the addresses known before the last restart, to which introductions are sent for a
    /// limited time. When all VMs start at the same time, they discover one another this way
    /// without waiting for a seed.
    pub fn set_stored_peers(&mut self, now: Time, vms: Vec<Address>) {
        self.stored_peers = (vms, now + STORED_PEERS_TIMEOUT);
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<Address>) {
        self.seeds = seeds;
    }

    /// Announces from now on that this VM is shutting down.
    pub fn leave(&mut self, now: Time) {
        self.own.leaving = true;
        self.next_heartbeat = now;
    }

    /// The record of another VM; `None` if it is unknown.
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
                    .is_some_and(|last_heard| now.since(last_heard) < timeout)
            })
            .map(|peer| &peer.member)
    }

    /// Each VM that was heard, with the lower bound of the time at which its latest message was sent.
    pub fn last_heard(&self) -> impl Iterator<Item = (&Member, Time)> {
        let peers = self.peers.values();
        peers.filter_map(|peer| peer.last_heard.map(|time| (&peer.member, time)))
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

    /// Addresses of silent VMs whose connections should be replaced, since a device on the network
    /// path may have lost the state of the connection. The limit is short enough for the VM to be
    /// heard again before it counts as lost. Each VM is returned at most once per limit.
    pub fn peers_to_reconnect(&mut self, now: Time) -> Vec<Address> {
        let silence = self.lost_timeout() * RECONNECT_PERCENT / 100;
        let mut silent = Vec::new();
        for peer in self.peers.values_mut() {
            let recent = peer
                .last_heard
                .is_some_and(|last_heard| now.since(last_heard) < silence);
            if !recent && now.since(peer.last_reconnect) >= silence {
                peer.last_reconnect = now;
                silent.push(peer.member.address.clone());
            }
        }
        silent
    }

    /// When the next `tick` is due.
    pub fn next_wake(&self) -> Time {
        self.next_heartbeat.min(self.next_join)
    }

    /// Returns the heartbeats, introductions and lists that are due, and drops forgotten VMs.
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
            let peers = &self.peers;
            self.by_address.retain(|_, vm| peers.contains(vm));
            self.samples.forget(now, forget);
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
            let vm = self.by_address.get(address);
            let peer = vm.and_then(|vm| self.peers.get(vm));
            let known = peer.is_some_and(|peer| peer.last_heard.is_some());
            if *address != self.own.address && !known {
                out.push(Envelope {
                    to: address.clone(),
                    message: self.hello(false),
                });
            }
        }
    }

    /// A message with the recently heard VMs. Others are omitted, so that VMs that are gone do not
    /// circulate forever.
    fn list_message(&self, now: Time) -> GossipMessage {
        let max_silence = self.timing.forget_timeout / 4;
        let others = self.peers.values();
        let others = others.filter(|p| {
            p.last_heard
                .is_some_and(|last_heard| now.since(last_heard) < max_silence)
        });
        let others = others.map(|peer| peer.member.clone());
        GossipMessage::Members(others.chain([self.own.clone()]).collect())
    }

    /// The timestamps of a message that is sent to an address now.
    pub fn stamp(&self, now: Time, to: &Address) -> Stamp {
        let receiver = self.by_address.get(to);
        Stamp {
            incarnation: self.own.incarnation,
            sent: now,
            echo: receiver.and_then(|vm| self.samples.echo(now, vm)),
        }
    }

    /// Records the timestamps of a message that has arrived, and returns the earliest time at which
    /// it may have been sent; `None` if its age has no bound.
    pub fn receive_stamp(&mut self, now: Time, from: &VmName, stamp: &Stamp) -> Option<Time> {
        let timeout = self.lost_timeout();
        self.samples.record(now, from, stamp, timeout);
        stamp.earliest_sent(now, self.own.incarnation)
    }

    /// Handles a message that was sent at `sent` at the earliest, and returns the answers.
    pub fn receive(
        &mut self,
        now: Time,
        sent: Option<Time>,
        message: GossipMessage,
    ) -> Vec<Envelope> {
        match message {
            GossipMessage::Hello { member, known } => self.on_hello(now, sent, member, known),
            GossipMessage::Members(members) => self.on_members(now, members),
        }
    }

    fn on_hello(
        &mut self,
        now: Time,
        sent: Option<Time>,
        member: Member,
        known: bool,
    ) -> Vec<Envelope> {
        let to = member.address.clone();
        let timeout = self.lost_timeout();
        let heard = sent.filter(|sent| now.since(*sent) < timeout);
        if member.vm == self.own.vm || !self.update_member(now, member, heard) {
            return Vec::new();
        }
        let mut out = Vec::new();
        if !known || sent.is_none() {
            // The sender's answer to this echoes it, which bounds the age of that answer. A bounded
            // message needs no further one, so that slow VMs don't answer each other forever.
            out.push(Envelope {
                to: to.clone(),
                message: self.hello(sent.is_some()),
            });
        }
        if !known {
            let message = self.list_message(now);
            out.push(Envelope { to, message });
        }
        out
    }

    fn on_members(&mut self, now: Time, members: Vec<Member>) -> Vec<Envelope> {
        let mut out = Vec::new();
        for member in members {
            let is_new = member.vm != self.own.vm && !self.peers.contains(&member.vm);
            let to = member.address.clone();
            if member.vm != self.own.vm && self.update_member(now, member, None) && is_new {
                out.push(Envelope {
                    to,
                    message: self.hello(false),
                });
            }
        }
        out
    }

    /// Records a member and returns whether the record is of the VM's current incarnation. `heard`
    /// is the earliest time at which the VM itself may have sent it; `None` if that was too long ago
    /// or is unknown, or if the record came from another VM.
    ///
    /// Incarnations are numbered by the wall clock, which may be set back. A lower number is
    /// therefore accepted directly from the VM once the incarnation with the higher one is silent.
    fn update_member(&mut self, now: Time, member: Member, heard: Option<Time>) -> bool {
        let vm = member.vm.clone();
        let timeout = self.lost_timeout();
        let Some(peer) = self.peers.get_mut(&vm) else {
            log::info!(event = "vm-known", vm = vm.as_str(), direct = heard.is_some();
                "VM discovered");
            self.by_address.insert(member.address.clone(), vm.clone());
            let peer = Peer {
                member,
                last_heard: heard,
                last_update: now,
                last_reconnect: now,
            };
            self.peers.insert(vm, peer);
            return true;
        };
        let order = member.incarnation.cmp(&peer.member.incarnation);
        let recent = peer
            .last_heard
            .is_some_and(|last_heard| now.since(last_heard) < timeout);
        if order.is_lt() && (recent || heard.is_none()) {
            return false;
        }
        if heard.is_some() || order.is_gt() {
            if peer.member.address != member.address {
                self.by_address.remove(&peer.member.address);
                self.by_address.insert(member.address.clone(), vm);
            }
            peer.member = member;
        }
        if heard.is_some() {
            let earlier = peer.last_heard.filter(|_| order.is_eq());
            peer.last_heard = earlier.max(heard);
            peer.last_update = now;
        }
        true
    }
}
