//! Members, their disks and a network in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use greengage_agreement::{Config, Seat, Timing};
use greengage_config::{
    Document, Edited, Effect, Event, Group, GroupMessage, GroupSave, Limits, Peer, Restored, Setup,
};
use greengage_core::{NodeId, Payload, RequestId, Time, Version, VmName};

/// A trip between VMs.
const TRIP: Duration = Duration::from_micros(1400);
/// A synced write.
const SYNC: Duration = Duration::from_millis(9);
/// Time between two heartbeats of the roster.
const HEARD_EVERY: Duration = Duration::from_millis(150);

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
    disk: Restored,
    folder: u64,
    life: u64,
    heard: BTreeMap<NodeId, Time>,
}

enum Act {
    Receive(usize, NodeId, NodeId, Box<GroupMessage>),
    Saved(usize, u64, Box<GroupSave>),
    Tick,
    Heard,
}

/// An operator's request.
pub(crate) enum Asked {
    /// An edit with its version.
    Edit(u64),
    /// A read, with the highest version acknowledged before it was sent.
    Read(u64),
}

pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) rng: Rng,
    vms: Vec<Vm>,
    first: Config,
    voters: usize,
    pub(crate) cut: Vec<(usize, usize)>,
    queue: BTreeMap<(Time, u64), Act>,
    seq: u64,
    asked: BTreeMap<RequestId, Asked>,
    /// The highest acknowledged version.
    pub(crate) acked: u64,
    /// The content under each version that was read.
    contents: BTreeMap<u64, u64>,
    pub(crate) reads: u64,
    pub(crate) acks: u64,
}

fn document(version: u64, content: u64) -> Arc<Document> {
    Arc::new(Document {
        version: Version(version),
        queues: Vec::new(),
        services: Vec::new(),
        limits: Limits { body: content },
        source: Payload::new(Vec::new()),
    })
}

fn vm_name(vm: usize) -> VmName {
    VmName::new(&format!("vm{vm}")).unwrap()
}

impl World {
    /// A new deployment with `seeds` first voters among `vms` control VMs.
    pub(crate) fn new(seed: u64, vms: usize, seeds: usize, voters: usize) -> World {
        let member = |vm| {
            let node = NodeId {
                vm: vm_name(vm),
                folder: 0,
            };
            (node, Seat::Voter)
        };
        let first = Config {
            members: (0..seeds).map(member).collect(),
        };
        let mut world = World {
            now: Time::from_millis(1000),
            rng: Rng(seed),
            vms: Vec::new(),
            first,
            voters,
            cut: Vec::new(),
            queue: BTreeMap::new(),
            seq: 0,
            asked: BTreeMap::new(),
            acked: 0,
            contents: BTreeMap::new(),
            reads: 0,
            acks: 0,
        };
        for vm in 0..vms {
            let folder = if vm < seeds { 0 } else { 100 + vm as u64 };
            world.vms.push(Vm {
                group: None,
                disk: Restored::default(),
                folder,
                life: 0,
                heard: BTreeMap::new(),
            });
            world.start(vm);
        }
        world.later(Duration::ZERO, Act::Tick);
        world.later(Duration::ZERO, Act::Heard);
        world
    }

    fn node(&self, vm: usize) -> NodeId {
        NodeId {
            vm: vm_name(vm),
            folder: self.vms[vm].folder,
        }
    }

    fn vm_of(&self, node: &NodeId) -> usize {
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
        let mut restored = state.disk.clone();
        restored.config = match state.folder {
            0 => self.first.clone(),
            _ => Config::default(),
        };
        state.life += 1;
        state.heard.clear();
        state.group = Some(Group::new(Setup {
            node,
            restored,
            timing: Timing {
                heartbeat: Duration::from_millis(90),
                election: Duration::from_millis(400),
                pre_vote: true,
            },
            voters: self.voters,
            seed: self.rng.below(1 << 30),
            now: self.now,
        }));
    }

    /// Stops a VM's process, or cuts its power; what isn't saved is lost.
    pub(crate) fn stop(&mut self, vm: usize) {
        self.vms[vm].group = None;
        self.vms[vm].life += 1;
    }

    /// Loses a VM's disk; it starts again with an empty one.
    pub(crate) fn wipe(&mut self, vm: usize) {
        self.stop(vm);
        self.vms[vm].disk = Restored::default();
        self.vms[vm].folder = 1000 + self.rng.below(1 << 30);
        self.start(vm);
    }

    /// Whether the group has as many voters as wanted, all up and none of a lost disk.
    pub(crate) fn is_complete(&self) -> bool {
        let leader = (0..self.vms.len()).find(|vm| {
            let group = self.vms[*vm].group.as_ref();
            group.is_some_and(Group::leads)
        });
        let Some(status) = leader.and_then(|vm| Some(self.vms[vm].group.as_ref()?.status())) else {
            return false;
        };
        let voters = status.config.members.iter();
        let voters: Vec<&NodeId> = voters
            .filter(|(_, seat)| **seat == Seat::Voter)
            .map(|(node, _)| node)
            .collect();
        let present = |node: &&NodeId| {
            let vm = self.vm_of(node);
            self.is_up(vm) && self.node(vm) == **node
        };
        let stored = |node: &&NodeId| status.matched.get(*node) >= Some(&status.commit);
        voters.len() == self.voters && voters.iter().all(present) && voters.iter().all(stored)
    }

    /// Each member's view, for messages of failed checks.
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
                    s.role, s.term, s.commit
                )
            }
            None => "down\n".to_string(),
        });
        views.collect()
    }

    fn later(&mut self, after: Duration, act: Act) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), act);
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.contains(&(from, to))
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
                Act::Receive(vm, from, to, message) => {
                    if self.node(vm) == to {
                        let message = *message;
                        self.step(vm, Event::Receive { from, message });
                    }
                }
                Act::Saved(vm, life, save) => self.saved(vm, life, *save),
                Act::Tick => {
                    self.later(Duration::from_millis(10), Act::Tick);
                    for vm in 0..self.vms.len() {
                        self.step(vm, Event::Tick);
                    }
                }
                Act::Heard => self.heard(),
            }
        }
        self.now = end;
    }

    fn heard(&mut self) {
        self.later(HEARD_EVERY, Act::Heard);
        for from in 0..self.vms.len() {
            for to in 0..self.vms.len() {
                if from != to && self.is_up(from) && !self.is_cut(from, to) {
                    let (node, now) = (self.node(from), self.now);
                    let heard = &mut self.vms[to].heard;
                    heard.retain(|known, _| known.vm != node.vm);
                    heard.insert(node, now);
                }
            }
        }
    }

    fn saved(&mut self, vm: usize, life: u64, save: GroupSave) {
        if self.vms[vm].life != life {
            return;
        }
        let seq = save.seq;
        let disk = &mut self.vms[vm].disk;
        if let Some(hard) = save.hard {
            disk.hard = hard;
        }
        if save.clear {
            disk.entries.clear();
        }
        if let Some(first) = save.entries.first() {
            disk.entries.retain(|e| e.index < first.index);
            disk.entries.extend(save.entries);
        }
        if let Some(snapshot) = save.snapshot {
            disk.entries.retain(|e| e.index > snapshot.index);
            disk.snapshot = Some(snapshot);
        }
        self.step(vm, Event::Saved(seq));
    }

    fn step(&mut self, vm: usize, event: Event) {
        let state = &mut self.vms[vm];
        let peers: Vec<Peer> = state
            .heard
            .iter()
            .map(|(node, heard)| Peer {
                node: node.clone(),
                heard: *heard,
            })
            .collect();
        let Some(group) = &mut state.group else {
            return;
        };
        let effects = group.step(self.now, event, &peers);
        let (life, from) = (state.life, self.node(vm));
        for effect in effects {
            match effect {
                Effect::Save(save) => self.later(SYNC, Act::Saved(vm, life, Box::new(save))),
                Effect::Send { to, message } => {
                    let other = self.vm_of(&to);
                    if !self.is_cut(vm, other) {
                        let act = Act::Receive(other, from.clone(), to, Box::new(message));
                        self.later(TRIP, act);
                    }
                }
                Effect::Edited { request, outcome } => self.edited(request, outcome),
                Effect::Read { request, document } => self.read_back(request, document),
                Effect::Elsewhere { request, .. } => {
                    self.asked.remove(&request);
                }
                Effect::Changed(_) => {}
            }
        }
    }

    fn edited(&mut self, request: RequestId, outcome: Edited) {
        if let (Some(Asked::Edit(version)), Edited::Accepted) =
            (self.asked.remove(&request), outcome)
        {
            self.acked = self.acked.max(version);
            self.acks += 1;
        }
    }

    fn read_back(&mut self, request: RequestId, document: Option<Arc<Document>>) {
        let Some(Asked::Read(acked)) = self.asked.remove(&request) else {
            return;
        };
        let Some(document) = document else {
            return;
        };
        self.reads += 1;
        let (version, content) = (document.version.0, document.limits.body);
        assert!(
            version >= acked,
            "version {version} was read after {acked} was acknowledged"
        );
        let first = *self.contents.entry(version).or_insert(content);
        assert_eq!(first, content, "version {version} has one content");
    }

    /// Puts a document at a VM.
    pub(crate) fn put(&mut self, vm: usize, version: u64, content: u64) {
        self.seq += 1;
        let request = RequestId(self.seq);
        self.asked.insert(request, Asked::Edit(version));
        let document = document(version, content);
        self.step(vm, Event::Edit { request, document });
    }

    /// Reads at all VMs, among them one that may believe to lead.
    pub(crate) fn read_all(&mut self) {
        for vm in 0..self.vms.len() {
            self.seq += 1;
            let request = RequestId(self.seq);
            self.asked.insert(request, Asked::Read(self.acked));
            self.step(vm, Event::Read(request));
        }
    }
}
