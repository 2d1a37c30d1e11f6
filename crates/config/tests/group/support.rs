//! Simulation of members, their disks and the network in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use greengage_agreement::{Config, Entry, HardState, MemberRole, Snapshot, Timing};
use greengage_config::{
    Document, Edit, EditOutcome, Effect, EvacuationOrder, Evacuations, Event, Group, GroupMessage,
    GroupSave, Limits, Peer, RecoveredState, Setup, State,
};
use greengage_core::{NodeId, Payload, RequestId, Time, Version, VmName};

/// One-way latency between VMs.
const NETWORK_DELAY: Duration = Duration::from_micros(1400);
/// Duration of a synced write.
const SYNC_DELAY: Duration = Duration::from_millis(9);
/// Time between a disk failure and the attempt to open the data folder again.
const REOPEN_DELAY: Duration = Duration::from_millis(500);
/// Interval of the gossip heartbeats.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);

pub(crate) struct Rng(pub(crate) u64);

impl Rng {
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

struct Vm {
    group: Option<Group>,
    disk: RecoveredState,
    /// Saves that the disk has not synced yet, in order.
    unsynced: VecDeque<GroupSave>,
    sync_delay: Duration,
    /// When the last unsynced save completes.
    last_synced: Time,
    /// Whether its disk has failed; the VM then still takes part in the gossip.
    disk_failed: bool,
    /// Whether it announces in the gossip that it shuts down.
    leaving: bool,
    folder: u64,
    incarnation: u64,
    peers: BTreeMap<NodeId, Peer>,
}

/// A record of the journal. A torn write keeps a prefix of the records.
enum Record {
    Hard(HardState),
    Install(Snapshot<State>),
    Entry(Entry<Edit>),
    Snapshot(Snapshot<State>),
}

/// The records of a save, in the order in which the journal writes them.
fn records(save: GroupSave) -> Vec<Record> {
    let (install, compaction) = match save.clear {
        true => (save.snapshot, None),
        false => (None, save.snapshot),
    };
    let hard = save.hard_state.into_iter().map(Record::Hard);
    hard.chain(install.map(Record::Install))
        .chain(save.entries.into_iter().map(Record::Entry))
        .chain(compaction.map(Record::Snapshot))
        .collect()
}

fn store(disk: &mut RecoveredState, record: Record) {
    match record {
        Record::Hard(hard) => disk.hard_state = hard,
        Record::Install(snapshot) => {
            disk.entries.clear();
            disk.snapshot = Some(snapshot);
        }
        Record::Entry(entry) => {
            disk.entries.retain(|e| e.index < entry.index);
            disk.entries.push(entry);
        }
        Record::Snapshot(snapshot) => {
            disk.entries.retain(|e| e.index > snapshot.index);
            disk.snapshot = Some(snapshot);
        }
    }
}

enum Action {
    Receive(usize, NodeId, NodeId, Box<GroupMessage>),
    Saved(usize, u64),
    Reopen(usize, u64),
    Tick,
    Gossip,
}

/// An operator's request.
pub(crate) enum Request {
    /// An edit with its version.
    Edit(u64),
    /// A read, with the highest version acknowledged before it was sent.
    Read(u64),
    /// An order about an evacuation.
    Order,
}

pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) rng: Rng,
    vms: Vec<Vm>,
    initial_config: Config,
    voters: usize,
    pub(crate) cut_links: Vec<(usize, usize)>,
    queue: BTreeMap<(Time, u64), Action>,
    seq: u64,
    requests: BTreeMap<RequestId, Request>,
    /// The text of all documents.
    pub(crate) source: Payload,
    /// Highest acknowledged version.
    pub(crate) acked_version: u64,
    /// Content of each version that was read.
    contents: BTreeMap<u64, u64>,
    pub(crate) reads: u64,
    pub(crate) acks: u64,
    /// Acknowledged orders.
    pub(crate) acked_orders: BTreeSet<RequestId>,
}

fn document(version: u64, content: u64, source: Payload) -> Arc<Document> {
    Arc::new(Document {
        version: Version(version),
        queues: Vec::new(),
        services: Vec::new(),
        limits: Limits {
            max_body_bytes: content,
        },
        source,
    })
}

fn vm_name(vm: usize) -> VmName {
    VmName::new(&format!("vm{vm}")).unwrap()
}

impl Simulation {
    /// Creates a deployment of `vms` control VMs, of which the first `seeds` are initial voters.
    pub(crate) fn new(seed: u64, vms: usize, seeds: usize, voters: usize) -> Simulation {
        let member = |vm| {
            let node = NodeId {
                vm: vm_name(vm),
                folder: 0,
            };
            (node, MemberRole::Voter)
        };
        let initial_config = Config {
            members: (0..seeds).map(member).collect(),
        };
        let mut sim = Simulation {
            now: Time::from_millis(1000),
            rng: Rng(seed),
            vms: Vec::new(),
            initial_config,
            voters,
            cut_links: Vec::new(),
            queue: BTreeMap::new(),
            seq: 0,
            requests: BTreeMap::new(),
            source: Payload::new(Vec::new()),
            acked_version: 0,
            contents: BTreeMap::new(),
            reads: 0,
            acks: 0,
            acked_orders: BTreeSet::new(),
        };
        for vm in 0..vms {
            let folder = if vm < seeds { 0 } else { 100 + vm as u64 };
            sim.vms.push(Vm {
                group: None,
                disk: RecoveredState::default(),
                unsynced: VecDeque::new(),
                sync_delay: SYNC_DELAY,
                last_synced: Time(0),
                disk_failed: false,
                leaving: false,
                folder,
                incarnation: 0,
                peers: BTreeMap::new(),
            });
            sim.start(vm);
        }
        sim.schedule(Duration::ZERO, Action::Tick);
        sim.schedule(Duration::ZERO, Action::Gossip);
        sim
    }

    fn node(&self, vm: usize) -> NodeId {
        NodeId {
            vm: vm_name(vm),
            folder: self.vms[vm].folder,
        }
    }

    fn vm_index(&self, node: &NodeId) -> usize {
        node.vm.as_str()[2..].parse().unwrap()
    }

    pub(crate) fn is_up(&self, vm: usize) -> bool {
        self.vms[vm].group.is_some()
    }

    /// Starts a VM from its disk.
    pub(crate) fn start(&mut self, vm: usize) {
        let node = self.node(vm);
        let state = &mut self.vms[vm];
        if state.group.is_some() {
            return;
        }
        let mut recovered = state.disk.clone();
        recovered.config = match state.folder {
            0 => self.initial_config.clone(),
            _ => Config::default(),
        };
        state.incarnation += 1;
        state.disk_failed = false;
        state.leaving = false;
        state.peers.clear();
        state.group = Some(Group::new(Setup {
            node,
            recovered,
            timing: Timing {
                heartbeat_interval: Duration::from_millis(90),
                min_election_timeout: Duration::from_millis(400),
                pre_vote: true,
            },
            voters: self.voters,
            seed: self.rng.below(1 << 30),
            now: self.now,
        }));
    }

    /// Stops a VM's process or cuts its power. Of the unsynced records of its journal, a random
    /// prefix is kept.
    pub(crate) fn stop(&mut self, vm: usize) {
        let records: Vec<Record> = self.vms[vm].unsynced.drain(..).flat_map(records).collect();
        let kept = self.rng.below(records.len() as u64 + 1) as usize;
        let state = &mut self.vms[vm];
        for record in records.into_iter().take(kept) {
            store(&mut state.disk, record);
        }
        state.group = None;
        state.disk_failed = false;
        state.incarnation += 1;
    }

    /// Fails the disk of a VM, which leaves the group until it has opened its folder again.
    pub(crate) fn fail_disk(&mut self, vm: usize) {
        if self.is_up(vm) {
            self.stop(vm);
            self.vms[vm].disk_failed = true;
            let incarnation = self.vms[vm].incarnation;
            self.schedule(REOPEN_DELAY, Action::Reopen(vm, incarnation));
        }
    }

    /// Sets how many times as long as usual the syncs of a VM's disk take.
    pub(crate) fn slow_disk(&mut self, vm: usize, factor: u32) {
        self.vms[vm].sync_delay = SYNC_DELAY * factor;
    }

    /// Transfers leadership if a VM leads, as it does on SIGTERM.
    pub(crate) fn transfer(&mut self, vm: usize) {
        self.step(vm, Event::TransferLeadership);
    }

    /// Sends SIGTERM to a VM, which goes on until it is stopped.
    pub(crate) fn leave(&mut self, vm: usize) {
        if self.is_up(vm) {
            self.vms[vm].leaving = true;
            self.send_heartbeats(vm);
            self.transfer(vm);
            for other in 0..self.vms.len() {
                self.step(other, Event::PeerLeaving);
            }
        }
    }

    /// Whether a VM shuts down.
    pub(crate) fn is_leaving(&self, vm: usize) -> bool {
        self.is_up(vm) && self.vms[vm].leaving
    }

    /// Restarts a VM with an empty disk.
    pub(crate) fn wipe(&mut self, vm: usize) {
        self.stop(vm);
        self.lose_disk(vm);
        self.start(vm);
    }

    /// Replaces the disk of a VM that is down with an empty one.
    pub(crate) fn lose_disk(&mut self, vm: usize) {
        assert!(!self.is_up(vm));
        self.vms[vm].disk = RecoveredState::default();
        self.vms[vm].folder = 1000 + self.rng.below(1 << 30);
    }

    /// Whether the group has the configured number of voters, all running, caught up and with the
    /// current disk of their VM. Until all have the whole log, the last membership change may not
    /// be committed, and another lost disk could undo it.
    pub(crate) fn is_complete(&self) -> bool {
        let leader = (0..self.vms.len()).find(|vm| {
            let group = self.vms[*vm].group.as_ref();
            group.is_some_and(Group::is_leader)
        });
        let Some(status) = leader.and_then(|vm| Some(self.vms[vm].group.as_ref()?.status())) else {
            return false;
        };
        let voters = status.config.members.iter();
        let voters: Vec<&NodeId> = voters
            .filter(|(_, seat)| **seat == MemberRole::Voter)
            .map(|(node, _)| node)
            .collect();
        let is_present = |node: &&NodeId| {
            let vm = self.vm_index(node);
            self.is_up(vm) && self.node(vm) == **node
        };
        let is_caught_up =
            |node: &&NodeId| status.match_index.get(*node) >= Some(&status.last_index);
        voters.len() == self.voters
            && voters.iter().all(is_present)
            && voters.iter().all(is_caught_up)
    }

    /// Raft status of each member, for the messages of failed assertions.
    pub(crate) fn describe(&self) -> String {
        let views = self.vms.iter().map(|vm| match &vm.group {
            Some(group) => {
                let s = group.status();
                let members: Vec<String> = s
                    .config
                    .members
                    .iter()
                    .map(|(n, seat)| format!("{n} {seat:?}"))
                    .collect();
                format!(
                    "{:?} term {} commit {} of {members:?}\n",
                    s.role, s.term, s.commit_index
                )
            }
            None => "down\n".to_string(),
        });
        views.collect()
    }

    fn schedule(&mut self, after: Duration, action: Action) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), action);
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut_links.contains(&(from, to))
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let (time, _) = *entry.key();
            if time > end {
                break;
            }
            self.now = time;
            match entry.remove() {
                Action::Receive(vm, from, to, message) => {
                    if self.node(vm) == to {
                        let message = *message;
                        self.step(vm, Event::Receive { from, message });
                    }
                }
                Action::Saved(vm, incarnation) => self.finish_save(vm, incarnation),
                Action::Reopen(vm, incarnation) => {
                    if self.vms[vm].incarnation == incarnation {
                        self.start(vm);
                    }
                }
                Action::Tick => {
                    self.schedule(Duration::from_millis(10), Action::Tick);
                    for vm in 0..self.vms.len() {
                        self.step(vm, Event::Tick);
                    }
                }
                Action::Gossip => self.exchange_gossip(),
            }
        }
        self.now = end;
    }

    fn exchange_gossip(&mut self) {
        self.schedule(GOSSIP_INTERVAL, Action::Gossip);
        for from in 0..self.vms.len() {
            if self.is_up(from) || self.vms[from].disk_failed {
                self.send_heartbeats(from);
            }
        }
    }

    /// Delivers a heartbeat of a VM to all others that it reaches.
    fn send_heartbeats(&mut self, from: usize) {
        let peer = Peer {
            node: self.node(from),
            last_heard: self.now,
            leaving: self.vms[from].leaving,
        };
        for to in 0..self.vms.len() {
            if from != to && !self.is_cut(from, to) {
                let peers = &mut self.vms[to].peers;
                peers.retain(|known, _| known.vm != peer.node.vm);
                peers.insert(peer.node.clone(), peer.clone());
            }
        }
    }

    fn finish_save(&mut self, vm: usize, incarnation: u64) {
        let state = &mut self.vms[vm];
        if state.incarnation != incarnation {
            return;
        }
        let save = state.unsynced.pop_front().expect("the save is unsynced");
        let seq = save.seq;
        for record in records(save) {
            store(&mut state.disk, record);
        }
        self.step(vm, Event::Saved(seq));
    }

    fn step(&mut self, vm: usize, event: Event) {
        let own = self.node(vm);
        let state = &mut self.vms[vm];
        let mut peers: Vec<Peer> = state.peers.values().cloned().collect();
        peers.push(Peer {
            node: own,
            last_heard: self.now,
            leaving: state.leaving,
        });
        let Some(group) = &mut state.group else {
            return;
        };
        let effects = group.step(self.now, event, &peers);
        let (incarnation, from) = (state.incarnation, self.node(vm));
        for effect in effects {
            match effect {
                Effect::Save(save) => {
                    let state = &mut self.vms[vm];
                    state.unsynced.push_back(save);
                    // Saves complete in order, even if the disk has become faster since.
                    state.last_synced = (self.now + state.sync_delay).max(state.last_synced);
                    let delay = state.last_synced.since(self.now);
                    self.schedule(delay, Action::Saved(vm, incarnation))
                }
                Effect::Send { to, message } => {
                    let other = self.vm_index(&to);
                    if !self.is_cut(vm, other) {
                        let action = Action::Receive(other, from.clone(), to, Box::new(message));
                        self.schedule(NETWORK_DELAY, action);
                    }
                }
                Effect::Edited { request, outcome } => self.finish_edit(request, outcome),
                Effect::Read { request, document } => self.finish_read(request, document),
                Effect::Redirect { request, .. } => {
                    self.requests.remove(&request);
                }
                Effect::DocumentApplied(_) | Effect::EvacuationsApplied(_) => {}
            }
        }
    }

    fn finish_edit(&mut self, request: RequestId, outcome: EditOutcome) {
        match (self.requests.remove(&request), outcome) {
            (Some(Request::Edit(version)), EditOutcome::Accepted) => {
                self.acked_version = self.acked_version.max(version);
                self.acks += 1;
            }
            (Some(Request::Order), EditOutcome::Accepted) => {
                self.acked_orders.insert(request);
            }
            _ => {}
        }
    }

    /// Sends an order that was received at some time to a VM.
    pub(crate) fn order(&mut self, vm: usize, order: EvacuationOrder, received: Time) -> RequestId {
        self.seq += 1;
        let request = RequestId(self.seq);
        self.requests.insert(request, Request::Order);
        let event = Event::Order {
            request,
            order,
            received,
        };
        self.step(vm, event);
        request
    }

    /// The evacuated zones that a VM has applied.
    pub(crate) fn evacuations(&self, vm: usize) -> Option<&Evacuations> {
        self.vms[vm].group.as_ref()?.evacuations()
    }

    /// The VM that leads in the highest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |vm: &usize| self.vms[*vm].group.as_ref().is_some_and(Group::is_leader);
        let term = |vm: &usize| self.vms[*vm].group.as_ref().map(|g| g.status().term);
        (0..self.vms.len()).filter(leads).max_by_key(term)
    }

    fn finish_read(&mut self, request: RequestId, document: Option<Arc<Document>>) {
        let Some(Request::Read(acked_version)) = self.requests.remove(&request) else {
            return;
        };
        let Some(document) = document else {
            return;
        };
        self.reads += 1;
        let (version, content) = (document.version.0, document.limits.max_body_bytes);
        assert!(
            version >= acked_version,
            "version {version} was read after {acked_version} was acknowledged"
        );
        let first = *self.contents.entry(version).or_insert(content);
        assert_eq!(
            first, content,
            "version {version} was read with two contents"
        );
    }

    /// Submits a document to a VM.
    pub(crate) fn put(&mut self, vm: usize, version: u64, content: u64) {
        self.seq += 1;
        let request = RequestId(self.seq);
        self.requests.insert(request, Request::Edit(version));
        let document = document(version, content, self.source.clone());
        self.step(vm, Event::Edit { request, document });
    }

    /// Sends a read to every VM, including any deposed leader that still believes it leads.
    pub(crate) fn read_all(&mut self) {
        for vm in 0..self.vms.len() {
            self.seq += 1;
            let request = RequestId(self.seq);
            self.requests
                .insert(request, Request::Read(self.acked_version));
            self.step(vm, Event::Read(request));
        }
    }
}
