//! The list of known VMs and its gossip protocol.
//!
//! In a small deployment each VM sends each heartbeat to all others. In a large one it sends each
//! to a few VMs of its zone and fewer of other zones, in turn, and a heartbeat also tells how long
//! ago its sender has heard of other VMs. A VM that is heard by a few others is therefore known to be
//! live by all of its zone after two or three heartbeats, at a rate of messages that doesn't depend
//! on the size of the deployment. An age that is passed on is counted from the earliest time at
//! which the message may have been sent, so it only grows on its way.
//!
//! VMs that exchange tasks send each other every heartbeat, so that a connection that has fallen
//! silent is noticed.

use std::time::Duration;

use greengage_core::{value, Address, SortedMap, Time, VmName};

use crate::message::{Envelope, GossipMessage, Member, Sighting};
use crate::peer::{is_near, name_hash, turn, Peer, Timeouts};
use crate::stamp::{Samples, Stamp};

/// Intervals and timeouts of the gossip protocol.
#[value]
pub struct Timing {
    /// Time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Silence after which a VM is not live in a small deployment; somewhat longer in a large one.
    pub lost_timeout: Duration,
    /// Silence after which a VM of another zone is not live in a large deployment.
    pub distant_lost_timeout: Duration,
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
            distant_lost_timeout: Duration::from_millis(2000),
            forget_timeout: Duration::from_secs(20),
            join_interval: Duration::from_millis(100),
        }
    }
}

/// Number of peers up to which a deployment is small: each heartbeat is sent to all of them.
const SMALL_DEPLOYMENT_VMS: usize = 14;
/// In a large deployment, the number of VMs of the own zone that get each heartbeat.
const ZONE_FANOUT: usize = 8;
/// In a large deployment, the number of VMs of other zones that get each heartbeat.
const DISTANT_FANOUT: usize = 1;
/// Added to the lost timeout for each time that a heartbeat has to be passed on in a zone.
const RELAY_TIME: Duration = Duration::from_millis(75);
/// Number of sightings of other zones in a heartbeat within a zone.
const DISTANT_SIGHTINGS: usize = 48;
/// Number of sightings of the own zone in a heartbeat.
const ZONE_SIGHTINGS: usize = 128;
/// How long two VMs send each other every heartbeat after they have exchanged tasks.
const ACTIVE_PERIOD: Duration = Duration::from_secs(1);

/// Time during which a restarted VM contacts the stored addresses. Afterwards the seeds, or VMs
/// that they listed, have answered.
const STORED_PEERS_TIMEOUT: Duration = Duration::from_secs(4);

/// First pause between two requests for the lists of the seeds. When many VMs start at the same time,
/// the first lists name few of them. The pauses grow threefold up to the last one.
const FIRST_LIST_PAUSE: Duration = Duration::from_millis(200);
const LAST_LIST_PAUSE: Duration = Duration::from_secs(2);

/// Percentage of the lost timeout after which connections to a silent VM are replaced: about two
/// and a half heartbeat intervals.
const RECONNECT_PERCENT: u32 = 60;

/// Like `RECONNECT_PERCENT`, in a large deployment, where VMs are heard of at irregular intervals.
const RELAYED_RECONNECT_PERCENT: u32 = 80;

/// In a large deployment, the part of a VM's silence that passes between two new connections to it.
const RECONNECT_BACKOFF_DIVISOR: u32 = 3;

/// The member list is sent to one peer after every this many heartbeats in a small deployment. In a
/// larger one the list is longer and sent less often.
const HEARTBEATS_PER_LIST: u64 = 5;

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
    /// Number of peers that are near.
    near: usize,
    samples: Samples,
    next_heartbeat: Time,
    next_join: Time,
    /// When the seeds are next asked for their lists, and the pause after that.
    list_request: (Time, Duration),
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
            near: 0,
            samples: Samples::default(),
            next_heartbeat: now,
            next_join: now,
            list_request: (now, FIRST_LIST_PAUSE),
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
        self.peers
            .values_mut()
            .for_each(|peer| peer.hello_due = true);
    }

    /// The message that tells a VM at once of this one.
    pub fn greeting(&self) -> GossipMessage {
        self.hello(true, false)
    }

    /// The record of another VM; `None` if it is unknown.
    pub fn member(&self, vm: &VmName) -> Option<&Member> {
        self.peers.get(vm).map(|peer| &peer.member)
    }

    /// The other VMs that are live.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> {
        let timeouts = self.timeouts();
        self.peers
            .values()
            .filter(move |peer| {
                let timeout = timeouts.of(&self.own, &peer.member);
                peer.last_heard
                    .is_some_and(|last_heard| now.since(last_heard) < timeout)
            })
            .map(|peer| &peer.member)
    }

    /// Notes that tasks, or news of them, are exchanged with a VM.
    pub fn mark_active(&mut self, now: Time, vm: &VmName) {
        if let Some(peer) = self.peers.get_mut(vm) {
            let since = peer.active.filter(|_| peer.is_active(now));
            peer.active = Some((since.map_or(now, |(since, _)| since), now + ACTIVE_PERIOD));
        }
    }

    /// Each VM that was heard, with the lower bound of the time at which its latest message was sent.
    pub fn last_heard(&self) -> impl Iterator<Item = (&Member, Time)> {
        let peers = self.peers.values();
        peers.filter_map(|peer| peer.last_heard.map(|time| (&peer.member, time)))
    }

    fn is_small(&self) -> bool {
        self.peers.len() <= SMALL_DEPLOYMENT_VMS
    }

    /// After which silence a VM counts as lost.
    fn timeouts(&self) -> Timeouts {
        let timing = &self.timing;
        if self.is_small() {
            return Timeouts {
                near: timing.lost_timeout,
                distant: timing.lost_timeout,
            };
        }
        let mut reached = ZONE_FANOUT;
        let mut relays = 0;
        while reached < self.near {
            reached *= ZONE_FANOUT;
            relays += 1;
        }
        Timeouts {
            near: timing.lost_timeout + RELAY_TIME * relays,
            distant: timing.distant_lost_timeout,
        }
    }

    fn count_near(&mut self) {
        let peers = self.peers.values();
        self.near = peers
            .filter(|peer| is_near(&self.own, &peer.member))
            .count();
    }

    /// After which silence a VM that may be unknown counts as lost.
    fn lost_timeout(&self, vm: &VmName) -> Duration {
        let timeouts = self.timeouts();
        let peer = self.peers.get(vm);
        peer.map_or(timeouts.distant, |peer| {
            timeouts.of(&self.own, &peer.member)
        })
    }

    /// Addresses of silent VMs whose connections should be replaced, since a device on the network
    /// path may have lost the state of the connection. The limit is short enough for the VM to be
    /// heard again before it counts as lost. Each VM is returned at most once per limit, less often in
    /// a large deployment if it stays silent, and is sent a heartbeat over the new connection.
    pub fn peers_to_reconnect(&mut self, now: Time) -> Vec<Address> {
        let (timeouts, is_small) = (self.timeouts(), self.is_small());
        let direct_limit = self.timing.lost_timeout * RECONNECT_PERCENT / 100;
        let mut silent = Vec::new();
        for peer in self.peers.values_mut() {
            let percent = match is_small {
                true => RECONNECT_PERCENT,
                false => RELAYED_RECONNECT_PERCENT,
            };
            let limit = timeouts.of(&self.own, &peer.member) * percent / 100;
            let silence = now.since(peer.last_heard.unwrap_or(peer.last_update));
            let is_recent = peer.last_heard.is_some() && silence < limit;
            let is_silent = !is_recent || peer.is_silent_partner(now, direct_limit);
            let pause = match is_small {
                true => limit,
                false => limit.max(silence / RECONNECT_BACKOFF_DIVISOR),
            };
            if is_silent && now.since(peer.last_reconnect) >= pause {
                peer.last_reconnect = now;
                peer.hello_due = true;
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
            self.send_introductions(now, &mut out);
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.heartbeat_pause();
            self.heartbeat_count += 1;
            let forget = self.timing.forget_timeout;
            let known = self.peers.len();
            self.peers
                .retain(|_, peer| now.since(peer.last_update) < forget);
            if self.peers.len() < known {
                let peers = &self.peers;
                self.by_address.retain(|_, vm| peers.contains(vm));
                self.count_near();
            }
            self.samples.forget(now, forget);
            let receivers = self.heartbeat_receivers(now);
            self.send_heartbeats(now, receivers, &mut out);
            self.send_list(now, &mut out);
        }
        let due = self.peers.iter().filter(|(_, peer)| peer.hello_due);
        let due: Vec<VmName> = due.map(|(vm, _)| vm.clone()).collect();
        self.send_heartbeats(now, due, &mut out);
        out
    }

    /// Time until the next heartbeat. In a large deployment it varies by an eighth, since VMs that
    /// send theirs at the same moments pass each other's on as late as possible.
    fn heartbeat_pause(&self) -> Duration {
        let interval = self.timing.heartbeat_interval;
        if self.is_small() {
            return interval;
        }
        let hash = name_hash(self.heartbeat_count, &self.own.vm);
        interval * 7 / 8 + interval / 4 * (hash % 256) as u32 / 256
    }

    /// The VMs that get the current heartbeat.
    fn heartbeat_receivers(&self, now: Time) -> Vec<VmName> {
        if self.is_small() {
            return self.peers.keys().cloned().collect();
        }
        let own = &self.own;
        let mut receivers = Vec::new();
        let (mut near, mut distant) = (Vec::new(), Vec::new());
        for (vm, peer) in self.peers.iter() {
            // Control VMs are few, and their group replaces those that are lost.
            let is_group = own.roles.control && peer.member.roles.control;
            if is_group || peer.is_active(now) {
                receivers.push(vm.clone());
            } else if is_near(own, &peer.member) {
                near.push((peer.last_sent, turn(&own.vm, vm), vm));
            } else {
                distant.push((peer.last_sent, turn(&own.vm, vm), vm));
            }
        }
        for (mut list, count) in [(near, ZONE_FANOUT), (distant, DISTANT_FANOUT)] {
            list.sort_unstable();
            receivers.extend(list.into_iter().take(count).map(|(_, _, vm)| vm.clone()));
        }
        receivers
    }

    fn send_heartbeats(&mut self, now: Time, receivers: Vec<VmName>, out: &mut Vec<Envelope>) {
        if receivers.is_empty() {
            return;
        }
        let (zone, distant) = match self.is_small() {
            true => (Vec::new(), Vec::new()),
            false => self.sightings(now),
        };
        for vm in receivers {
            let Some(peer) = self.peers.get_mut(&vm) else {
                continue;
            };
            (peer.last_sent, peer.hello_due) = (now, false);
            let mut sightings = zone.clone();
            if is_near(&self.own, &peer.member) {
                sightings.extend_from_slice(&distant);
            }
            out.push(Envelope {
                to: peer.member.address.clone(),
                message: GossipMessage::Hello {
                    member: self.own.clone(),
                    known: peer.last_heard.is_some(),
                    list_wanted: false,
                    sightings,
                },
            });
        }
    }

    /// What others are told of live VMs: of those of this zone and of other zones, most recently heard
    /// first.
    fn sightings(&self, now: Time) -> (Vec<Sighting>, Vec<Sighting>) {
        let timeouts = self.timeouts();
        let mut zone = Vec::new();
        let mut distant = Vec::new();
        for (vm, peer) in self.peers.iter() {
            let Some(age) = peer.last_heard.map(|last_heard| now.since(last_heard)) else {
                continue;
            };
            if age >= timeouts.of(&self.own, &peer.member) {
                continue;
            }
            match peer.member.zone == self.own.zone {
                true => zone.push((age, vm)),
                false => distant.push((age, vm)),
            }
        }
        zone.sort_unstable();
        distant.sort_unstable();
        let sighting = |age: Duration, vm: &VmName, peer: &Peer| Sighting {
            vm: vm.clone(),
            incarnation: peer.member.incarnation,
            age_ms: age.as_micros().div_ceil(1000) as u32,
        };
        let first = |list: Vec<(Duration, &VmName)>, count: usize| -> Vec<Sighting> {
            let list = list.into_iter().take(count);
            list.filter_map(|(age, vm)| Some(sighting(age, vm, self.peers.get(vm)?)))
                .collect()
        };
        (
            first(zone, ZONE_SIGHTINGS),
            first(distant, DISTANT_SIGHTINGS),
        )
    }

    /// Sends the member list to one VM, if it is due.
    fn send_list(&self, now: Time, out: &mut Vec<Envelope>) {
        let interval = self.peers.len().div_ceil(SMALL_DEPLOYMENT_VMS) as u64 * HEARTBEATS_PER_LIST;
        if self.peers.is_empty() || !self.heartbeat_count.is_multiple_of(interval) {
            return;
        }
        let index = (self.heartbeat_count / interval) as usize % self.peers.len();
        let to = self.peers.values().nth(index).map(|p| &p.member.address);
        out.extend(to.map(|to| Envelope {
            to: to.clone(),
            message: self.list_message(now),
        }));
    }

    fn hello(&self, known: bool, list_wanted: bool) -> GossipMessage {
        GossipMessage::Hello {
            member: self.own.clone(),
            known,
            list_wanted,
            sightings: Vec::new(),
        }
    }

    /// Sends introductions to the seeds that haven't answered, and to all of them while their lists
    /// are asked for.
    fn send_introductions(&mut self, now: Time, out: &mut Vec<Envelope>) {
        let (due, pause) = self.list_request;
        let list_wanted = now >= due && pause <= LAST_LIST_PAUSE;
        if list_wanted {
            self.list_request = (now + pause, pause * 3);
        }
        let mut addresses: Vec<&Address> = self.seeds.iter().chain(&self.stored_peers.0).collect();
        addresses.sort_unstable();
        addresses.dedup();
        for address in addresses {
            let vm = self.by_address.get(address);
            let peer = vm.and_then(|vm| self.peers.get(vm));
            let known = peer.is_some_and(|peer| peer.last_heard.is_some());
            if *address != self.own.address && (!known || list_wanted) {
                out.push(Envelope {
                    to: address.clone(),
                    message: self.hello(known, list_wanted),
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
        let timeout = self.lost_timeout(from);
        self.samples.record(now, from, stamp, timeout);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.last_direct = Some(now);
        }
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
            GossipMessage::Hello {
                member,
                known,
                list_wanted,
                sightings,
            } => {
                let out = self.on_hello(now, sent, member, (known, list_wanted));
                if let Some(sent) = sent {
                    self.on_sightings(now, sent, &sightings);
                }
                out
            }
            GossipMessage::Members(members) => self.on_members(now, members),
        }
    }

    fn on_hello(
        &mut self,
        now: Time,
        sent: Option<Time>,
        member: Member,
        (known, list_wanted): (bool, bool),
    ) -> Vec<Envelope> {
        let to = member.address.clone();
        let timeout = self.lost_timeout(&member.vm);
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
                message: self.hello(sent.is_some(), false),
            });
        }
        if list_wanted || !known && self.is_small() {
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
                    message: self.hello(false, false),
                });
            }
        }
        out
    }

    /// Takes over what a message, sent at `sent` at the earliest, tells of other VMs. Sightings of
    /// unknown VMs and of other incarnations are ignored: member lists introduce these.
    fn on_sightings(&mut self, now: Time, sent: Time, sightings: &[Sighting]) {
        for sighting in sightings {
            let Some(peer) = self.peers.get_mut(&sighting.vm) else {
                continue;
            };
            if peer.member.incarnation != sighting.incarnation {
                continue;
            }
            let heard = sent - Duration::from_millis(u64::from(sighting.age_ms));
            if peer.last_heard.is_none_or(|last_heard| last_heard < heard) {
                peer.last_heard = Some(heard);
                peer.last_update = now;
            }
        }
    }

    /// Records a member and returns whether the record is of the VM's current incarnation. `heard`
    /// is the earliest time at which the VM itself may have sent it; `None` if that was too long ago
    /// or is unknown, or if the record came from another VM.
    ///
    /// Incarnations are numbered by the wall clock, which may be set back. A lower number is
    /// therefore accepted directly from the VM once the incarnation with the higher one is silent.
    fn update_member(&mut self, now: Time, member: Member, heard: Option<Time>) -> bool {
        let vm = member.vm.clone();
        let timeout = self.lost_timeout(&vm);
        let Some(peer) = self.peers.get_mut(&vm) else {
            log::info!(event = "vm-known", vm = vm.as_str(), direct = heard.is_some();
                "VM discovered");
            self.by_address.insert(member.address.clone(), vm.clone());
            let peer = Peer {
                member,
                last_heard: heard,
                last_update: now,
                last_reconnect: now,
                last_direct: None,
                last_sent: Time::default(),
                active: None,
                hello_due: false,
            };
            self.peers.insert(vm, peer);
            self.count_near();
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
