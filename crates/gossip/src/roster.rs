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
pub enum Introduction {
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
pub struct Send {
    /// The receiver.
    pub to: Address,
    /// The message.
    pub message: Introduction,
}

/// Time limits of the roster.
#[value]
pub struct Timing {
    /// Between two heartbeats while there are few VMs.
    pub heartbeat: Duration,
    /// Silence after which a VM isn't live.
    pub lost: Duration,
    /// Silence after which a VM is forgotten.
    pub forget: Duration,
    /// Between two introductions to a seed that isn't known yet.
    pub join: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat: Duration::from_millis(150),
            lost: Duration::from_millis(650),
            forget: Duration::from_secs(20),
            join: Duration::from_millis(100),
        }
    }
}

/// VMs up to which heartbeats are sent at `Timing::heartbeat`; with more of them the interval
/// grows, so that the number of messages that a VM sends in a second stays the same.
const FEW_VMS: usize = 14;

/// How long a VM tries to reach the VMs of its last life. By then seeds have answered, or a VM that
/// they name has.
const RECALL_TIME: Duration = Duration::from_secs(4);

/// The part of the silence of a lost VM, in percent, after which connections to it are replaced:
/// two heartbeats and a half.
const SILENT_PART: u32 = 60;

/// Heartbeats between two lists sent to one of the VMs.
const LIST_EVERY: u64 = 5;

struct Peer {
    member: Member,
    /// When it was last heard itself.
    heard: Option<Time>,
    /// When anything was last heard of it, to forget it.
    known: Time,
    /// When the connection to it was last replaced because of its silence.
    replaced: Time,
}

/// The VMs that this one knows.
pub struct Roster {
    own: Member,
    timing: Timing,
    seeds: Vec<Address>,
    /// VMs of this VM's last life, and until when they are introduced to.
    recalled: (Vec<Address>, Time),
    peers: SortedMap<VmName, Peer>,
    beat: Time,
    join: Time,
    beats: u64,
}

impl Roster {
    /// A VM that knows only its seeds.
    pub fn new(now: Time, own: Member, seeds: Vec<Address>, timing: Timing) -> Roster {
        Roster {
            own,
            timing,
            seeds,
            recalled: (Vec::new(), now),
            peers: SortedMap::new(),
            beat: now,
            join: now,
            beats: 0,
        }
    }

    /// This VM.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Introduces this VM to the VMs that it knew in its last life, for a while. When all VMs start
    /// at once, those that seeds would name first hear of it without waiting for a seed.
    pub fn recall(&mut self, now: Time, vms: Vec<Address>) {
        self.recalled = (vms, now + RECALL_TIME);
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<Address>) {
        self.seeds = seeds;
    }

    /// Tells the others from now on that this VM shuts down.
    pub fn leave(&mut self, now: Time) {
        self.own.leaving = true;
        self.beat = now;
    }

    /// The record of a VM.
    pub fn member(&self, vm: &VmName) -> Option<&Member> {
        self.peers.get(vm).map(|peer| &peer.member)
    }

    /// The other VMs that are live.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> {
        let lost = self.lost_after();
        self.peers
            .values()
            .filter(move |peer| peer.heard.is_some_and(|heard| now.since(heard) < lost))
            .map(|peer| &peer.member)
    }

    /// Each known VM with the time at which it was last heard.
    pub fn heard(&self) -> impl Iterator<Item = (&Member, Time)> {
        let heard = self.peers.values();
        heard.filter_map(|peer| peer.heard.map(|time| (&peer.member, time)))
    }

    fn interval(&self) -> Duration {
        let vms = self.peers.len().max(FEW_VMS) as u32;
        self.timing.heartbeat * vms / FEW_VMS as u32
    }

    fn lost_after(&self) -> Duration {
        self.timing.lost.max(self.interval() * 7 / 2)
    }

    /// VMs that have fallen silent, so that the connections to them should be replaced: something
    /// between the VMs may have lost track of them. The time is short enough that a VM is heard
    /// again before it counts as lost.
    pub fn silent(&mut self, now: Time) -> Vec<Address> {
        let silence = self.lost_after() * SILENT_PART / 100;
        let mut silent = Vec::new();
        for peer in self.peers.values_mut() {
            let heard = peer.heard.is_some_and(|heard| now.since(heard) < silence);
            if !heard && now.since(peer.replaced) >= silence {
                peer.replaced = now;
                silent.push(peer.member.address.clone());
            }
        }
        silent
    }

    /// When `tick` is due.
    pub fn wake(&self) -> Time {
        self.beat.min(self.join)
    }

    /// Sends heartbeats and introductions that are due.
    pub fn tick(&mut self, now: Time) -> Vec<Send> {
        let mut out = Vec::new();
        if now >= self.join {
            self.join = now + self.timing.join;
            if now >= self.recalled.1 {
                self.recalled.0.clear();
            }
            self.introduce(&mut out);
        }
        if now >= self.beat {
            self.beat = now + self.interval();
            self.beats += 1;
            let forget = self.timing.forget;
            self.peers.retain(|_, peer| now.since(peer.known) < forget);
            for peer in self.peers.values() {
                let hello = self.hello(peer.heard.is_some());
                out.push(Send {
                    to: peer.member.address.clone(),
                    message: hello,
                });
            }
            if self.beats.is_multiple_of(LIST_EVERY) && !self.peers.is_empty() {
                let turn = (self.beats / LIST_EVERY) as usize % self.peers.len();
                let to = self.peers.values().nth(turn).map(|p| &p.member.address);
                out.extend(to.map(|to| Send {
                    to: to.clone(),
                    message: self.list(now),
                }));
            }
        }
        out
    }

    fn hello(&self, known: bool) -> Introduction {
        Introduction::Hello {
            member: self.own.clone(),
            known,
        }
    }

    fn introduce(&self, out: &mut Vec<Send>) {
        let mut addresses: Vec<&Address> = self.seeds.iter().chain(&self.recalled.0).collect();
        addresses.sort_unstable();
        addresses.dedup();
        for address in addresses {
            let known = self
                .peers
                .values()
                .any(|peer| peer.member.address == *address && peer.heard.is_some());
            if *address != self.own.address && !known {
                out.push(Send {
                    to: address.clone(),
                    message: self.hello(false),
                });
            }
        }
    }

    /// The VMs that were heard lately. Others are left out, so that a VM that is gone isn't handed
    /// on for ever.
    fn list(&self, now: Time) -> Introduction {
        let fresh = self.timing.forget / 4;
        let others = self.peers.values();
        let others = others.filter(|p| p.heard.is_some_and(|heard| now.since(heard) < fresh));
        let others = others.map(|peer| peer.member.clone());
        Introduction::Members(others.chain([self.own.clone()]).collect())
    }

    /// Takes a message.
    pub fn receive(&mut self, now: Time, message: Introduction) -> Vec<Send> {
        match message {
            Introduction::Hello { member, known } => self.on_hello(now, member, known),
            Introduction::Members(members) => self.on_members(now, members),
        }
    }

    fn on_hello(&mut self, now: Time, member: Member, known: bool) -> Vec<Send> {
        let to = member.address.clone();
        let met = self.peers.contains(&member.vm);
        if member.vm == self.own.vm || !self.note(now, member, true) {
            return Vec::new();
        }
        if known {
            return Vec::new();
        }
        // A VM that wasn't known here answers with its list too.
        let hello = Send {
            to: to.clone(),
            message: self.hello(met),
        };
        let message = self.list(now);
        vec![hello, Send { to, message }]
    }

    fn on_members(&mut self, now: Time, members: Vec<Member>) -> Vec<Send> {
        let mut out = Vec::new();
        for member in members {
            let fresh = member.vm != self.own.vm && !self.peers.contains(&member.vm);
            let to = member.address.clone();
            if member.vm != self.own.vm && self.note(now, member, false) && fresh {
                out.push(Send {
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
    fn note(&mut self, now: Time, member: Member, direct: bool) -> bool {
        let vm = member.vm.clone();
        let lost = self.lost_after();
        let Some(peer) = self.peers.get_mut(&vm) else {
            log::info!(event = "vm-known", vm = vm.as_str(), direct = direct; "a VM became known");
            let heard = direct.then_some(now);
            let peer = Peer {
                member,
                heard,
                known: now,
                replaced: now,
            };
            self.peers.insert(vm, peer);
            return true;
        };
        let older = member.life < peer.member.life;
        let heard = peer.heard.is_some_and(|heard| now.since(heard) < lost);
        if older && (heard || !direct) {
            return false;
        }
        if direct || member.life > peer.member.life {
            peer.member = member;
        }
        if direct {
            peer.heard = Some(now);
            peer.known = now;
        }
        true
    }
}
