//! Single-threaded simulation of nodes, disks and a network.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::mem::size_of_val;
use std::time::Duration;

use greengage_agreement::{
    Config, Effect, Entry, EntryKind, Event, HardState, MemberRole, Message, Raft, RefusalReason,
    Role, Save, Setup, Snapshot, Ticket, Timing, DEFAULT_BATCH_ENTRIES,
};
use greengage_core::{Index, NodeId, Term, Time, VmName};

pub(crate) type Command = u64;
pub(crate) type State = Vec<u64>;
pub(crate) type Msg = Message<Command, State>;

pub(crate) fn id(name: &str) -> NodeId {
    let (vm, folder) = name.split_once('#').unwrap_or((name, "0"));
    NodeId {
        vm: VmName::new(vm).expect("a valid name"),
        folder: folder.parse().expect("a number"),
    }
}

pub(crate) fn config(members: &[(&str, MemberRole)]) -> Config {
    Config {
        members: members.iter().map(|(n, s)| (id(n), *s)).collect(),
    }
}

pub(crate) const THREE_VOTERS: [(&str, MemberRole); 3] = [
    ("a", MemberRole::Voter),
    ("b", MemberRole::Voter),
    ("c", MemberRole::Voter),
];

/// A command that counts as 4 MiB in a group with large commands.
pub(crate) const LARGE_COMMAND: Command = 4;

fn large_command_bytes(command: &Command) -> usize {
    (*command % 5) as usize * (1 << 20)
}

/// A seeded linear congruential generator.
#[derive(Default)]
pub(crate) struct Rng(pub u64);

impl Rng {
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.0 >> 33) % limit
    }
}

/// The durable state of a node.
#[derive(Clone, Default)]
pub(crate) struct Disk {
    pub(crate) hard: HardState,
    pub(crate) snapshot: Option<Snapshot<State>>,
    pub(crate) entries: Vec<Entry<Command>>,
}

impl Disk {
    fn write(&mut self, save: Save<Command, State>) {
        if let Some(hard) = save.hard_state {
            self.hard = hard;
        }
        if let Some(first) = save.entries.first() {
            self.entries.retain(|e| e.index < first.index);
            self.entries.extend(save.entries);
        }
        if let Some(snapshot) = save.snapshot {
            let last_included = (snapshot.index, snapshot.term);
            if self
                .entries
                .iter()
                .any(|e| (e.index, e.term) == last_included)
            {
                self.entries.retain(|e| e.index > snapshot.index);
            } else {
                self.entries.clear();
            }
            self.snapshot = Some(snapshot);
        }
    }
}

pub(crate) struct Node {
    pub(crate) raft: Raft<Command, State>,
    pub(crate) disk: Disk,
    pub(crate) state: State,
    pub(crate) running: bool,
    /// Paused: not running, but memory and pending saves are kept.
    pub(crate) frozen: bool,
    pending_saves: VecDeque<(Time, Save<Command, State>)>,
}

/// A group of nodes, the messages in flight and the history against which effects are checked.
#[derive(Default)]
pub(crate) struct Group {
    pub(crate) now: Time,
    pub(crate) rng: Rng,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    pub(crate) timing: Timing,
    pub(crate) initial: Config,
    /// Pairs (from, to) between which all messages are dropped.
    pub(crate) cut_links: BTreeSet<(NodeId, NodeId)>,
    /// Percentage of messages that are lost, and of messages that are sent twice.
    pub(crate) loss_percent: u64,
    pub(crate) duplicate_percent: u64,
    /// Maximum delay of a message and of a save in microseconds.
    pub(crate) max_delay_us: u64,
    pub(crate) max_sync_us: u64,
    /// Number of entries after the snapshot above which a node compacts its log.
    pub(crate) compact_entries: u64,
    /// Whether commands count as up to 4 MiB each, so that bytes bound what nodes keep and send.
    large_commands: bool,
    in_flight: BTreeMap<(Time, u64), (NodeId, NodeId, Msg)>,
    last_id: u64,
    pub(crate) messages_sent: u64,
    pub(crate) sent_to: BTreeMap<NodeId, u64>,
    pub(crate) snapshots_sent: u64,
    /// Bytes of commands sent to each node, by `large_command_bytes`.
    bytes_sent_to: BTreeMap<NodeId, usize>,
    /// Most bytes of commands in one message, by `large_command_bytes`.
    pub(crate) largest_batch: usize,
    /// The leader of each term.
    pub(crate) leaders: BTreeMap<Term, NodeId>,
    /// The term and content of the entry applied at each index.
    pub(crate) applied: BTreeMap<Index, (Term, EntryKind<Command>)>,
    pub(crate) proposed: BTreeMap<Ticket, (Index, Term)>,
    pub(crate) refused: BTreeMap<Ticket, RefusalReason>,
    /// The lowest correct index of each read, and the read index of each completed read.
    pub(crate) read_lower_bounds: BTreeMap<Ticket, Index>,
    pub(crate) ready_reads: BTreeMap<Ticket, Index>,
    /// The highest index that any node has applied.
    pub(crate) max_applied: Index,
}

impl Group {
    pub(crate) fn new(members: &[(&str, MemberRole)], seed: u64) -> Group {
        Group::with_commands(members, seed, false)
    }

    pub(crate) fn with_commands(
        members: &[(&str, MemberRole)],
        seed: u64,
        large_commands: bool,
    ) -> Group {
        let mut group = Group {
            large_commands,
            rng: Rng(seed),
            initial: config(members),
            max_delay_us: 1000,
            max_sync_us: 3000,
            compact_entries: u64::MAX,
            ..Group::default()
        };
        for (name, _) in members {
            group.start(&id(name), Disk::default());
        }
        group
    }

    /// Starts `node` from `disk`; only nodes of the initial group get its configuration.
    pub(crate) fn start(&mut self, node: &NodeId, disk: Disk) {
        let config = match self.initial.members.contains(node) {
            true => self.initial.clone(),
            false => Config::default(),
        };
        let raft = Raft::new(Setup {
            node: node.clone(),
            config,
            hard_state: disk.hard.clone(),
            snapshot: disk.snapshot.clone(),
            entries: disk.entries.clone(),
            timing: self.timing.clone(),
            batch_entries: DEFAULT_BATCH_ENTRIES,
            command_bytes: match self.large_commands {
                true => large_command_bytes,
                false => size_of_val,
            },
            seed: self.rng.below(u64::MAX >> 33),
            now: self.now,
        });
        let state = disk
            .snapshot
            .as_ref()
            .map_or(Vec::new(), |s| s.state.clone());
        let entry = (
            node.clone(),
            Node {
                raft,
                disk,
                state,
                running: true,
                frozen: false,
                pending_saves: VecDeque::new(),
            },
        );
        self.nodes.insert(entry.0, entry.1);
    }

    /// Stops `node`. A random number of its pending saves become durable in order, the rest are
    /// lost.
    pub(crate) fn crash(&mut self, node: &NodeId) {
        let node = self.nodes.get_mut(node).expect("a known node");
        node.running = false;
        node.frozen = false;
        let kept = self.rng.below(node.pending_saves.len() as u64 + 1) as usize;
        for (_, save) in node.pending_saves.drain(..).take(kept) {
            node.disk.write(save);
        }
    }

    pub(crate) fn restart(&mut self, node: &NodeId) {
        let disk = self.nodes[node].disk.clone();
        self.start(node, disk);
    }

    /// Cuts or restores both directions between `node` and all other nodes.
    pub(crate) fn isolate(&mut self, node: &NodeId, cut: bool) {
        let others: Vec<NodeId> = self.nodes.keys().filter(|n| *n != node).cloned().collect();
        for other in others {
            for pair in [(node.clone(), other.clone()), (other, node.clone())] {
                match cut {
                    true => self.cut_links.insert(pair),
                    false => self.cut_links.remove(&pair),
                };
            }
        }
    }

    pub(crate) fn step(&mut self, node: &NodeId, event: Event<Command, State>) {
        let now = self.now;
        let Some(n) = self.nodes.get_mut(node).filter(|n| n.running) else {
            return;
        };
        let before = n.raft.status().commit_index;
        let effects = n.raft.step(now, event);
        assert!(n.raft.status().commit_index >= before);
        for effect in effects {
            self.execute_effect(node, effect);
        }
    }

    fn execute_effect(&mut self, node: &NodeId, effect: Effect<Command, State>) {
        let now = self.now;
        let n = self.nodes.get_mut(node).expect("a known node");
        match effect {
            Effect::Save(save) => {
                let due = now + Duration::from_micros(1 + self.rng.below(self.max_sync_us));
                let due = n
                    .pending_saves
                    .back()
                    .map_or(due, |(last, _)| due.max(*last));
                n.pending_saves.push_back((due, save));
            }
            Effect::Send { to, message } => self.send_message(node.clone(), to, message),
            Effect::Apply(entries) => {
                for entry in entries {
                    let value = (entry.term, entry.kind.clone());
                    let known = self.applied.entry(entry.index).or_insert(value.clone());
                    assert_eq!(
                        *known, value,
                        "{node} applied a different entry at {}",
                        entry.index
                    );
                    if let EntryKind::Command(command) = entry.kind {
                        n.state.push(command);
                    }
                    self.max_applied = self.max_applied.max(entry.index);
                }
                let applied = n.raft.applied_index();
                if n.raft.entries_since_snapshot() > self.compact_entries {
                    let state = n.state.clone();
                    self.step(
                        node,
                        Event::Compact {
                            index: applied,
                            state,
                        },
                    );
                }
            }
            Effect::Restore(snapshot) => {
                let commands = self.applied.range(..=snapshot.index).map(|(_, e)| &e.1);
                let commands = commands.filter_map(|kind| match kind {
                    EntryKind::Command(command) => Some(*command),
                    EntryKind::Noop | EntryKind::Config(_) => None,
                });
                let commands: State = commands.collect();
                assert_eq!(
                    commands, snapshot.state,
                    "{node} restored a different state"
                );
                n.state = snapshot.state;
            }
            Effect::Appended {
                ticket,
                index,
                term,
            } => {
                self.proposed.insert(ticket, (index, term));
            }
            Effect::Refused { ticket, reason } => {
                self.refused.insert(ticket, reason);
            }
            Effect::ReadReady { ticket, index } => {
                let lower_bound = self.read_lower_bounds[&ticket];
                assert!(
                    index >= lower_bound,
                    "read {ticket:?} at {index} is older than {lower_bound}"
                );
                self.ready_reads.insert(ticket, index);
            }
            Effect::Role { role, term, .. } => {
                if role == Role::Leader {
                    let known = self.leaders.entry(term).or_insert(node.clone());
                    assert_eq!(known, node, "term {term} has two leaders");
                }
            }
        }
    }

    pub(crate) fn bytes_sent_to(&self, node: &NodeId) -> usize {
        self.bytes_sent_to.get(node).copied().unwrap_or(0)
    }

    fn send_message(&mut self, from: NodeId, to: NodeId, message: Msg) {
        self.messages_sent += 1;
        *self.sent_to.entry(to.clone()).or_default() += 1;
        if let Message::AppendRequest(append) = &message {
            let commands = append.entries.iter().filter_map(|entry| match &entry.kind {
                EntryKind::Command(command) => Some(large_command_bytes(command)),
                EntryKind::Noop | EntryKind::Config(_) => None,
            });
            let bytes = commands.sum();
            *self.bytes_sent_to.entry(to.clone()).or_default() += bytes;
            self.largest_batch = self.largest_batch.max(bytes);
        }
        self.snapshots_sent += u64::from(matches!(message, Message::InstallSnapshot { .. }));
        let copies = 1 + u64::from(self.rng.below(100) < self.duplicate_percent);
        for _ in 0..copies {
            if self.rng.below(100) >= self.loss_percent {
                let due = self.now + Duration::from_micros(1 + self.rng.below(self.max_delay_us));
                self.last_id += 1;
                let delivery = (from.clone(), to.clone(), message.clone());
                self.in_flight.insert((due, self.last_id), delivery);
            }
        }
    }

    /// Handles the next message, save or timer due before `until`; `false` if there is none.
    fn advance(&mut self, until: Time) -> bool {
        let mut next = (until, None);
        for (id, n) in self.nodes.iter().filter(|(_, n)| n.running) {
            let wake = n.raft.next_wake();
            if wake < next.0 {
                next = (wake, Some((id.clone(), false)));
            }
            if let Some((due, _)) = n.pending_saves.front().filter(|(due, _)| *due < next.0) {
                next = (*due, Some((id.clone(), true)));
            }
        }
        if let Some((key, _)) = self
            .in_flight
            .first_key_value()
            .filter(|(k, _)| k.0 < next.0)
        {
            self.now = self.now.max(key.0);
            let (_, (from, to, message)) = self.in_flight.pop_first().expect("a message");
            if !self.cut_links.contains(&(from.clone(), to.clone())) {
                self.step(&to, Event::Receive { from, message });
            }
            return true;
        }
        let (time, Some((id, save_due))) = next else {
            return false;
        };
        self.now = self.now.max(time);
        if save_due {
            let n = self.nodes.get_mut(&id).expect("a known node");
            let (_, save) = n.pending_saves.pop_front().expect("a save");
            let seq = save.seq;
            n.disk.write(save);
            self.step(&id, Event::Saved(seq));
        } else {
            self.step(&id, Event::Tick);
            let wake = self.nodes[&id].raft.next_wake();
            assert!(wake > self.now, "the tick of {id} is due again at once");
        }
        true
    }

    pub(crate) fn run(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.advance(until) {}
        self.now = until;
    }

    /// Runs until `done`; returns the time it took in milliseconds, or `None` at the limit.
    pub(crate) fn run_until(
        &mut self,
        millis: u64,
        mut done: impl FnMut(&Group) -> bool,
    ) -> Option<u64> {
        let start = self.now;
        let until = start + Duration::from_millis(millis);
        while !done(self) {
            if !self.advance(until) {
                self.now = until;
                return None;
            }
        }
        Some(self.now.since(start).as_millis() as u64)
    }

    /// The running leader with the highest term.
    pub(crate) fn leader(&self) -> Option<NodeId> {
        let running = self.nodes.iter().filter(|(_, n)| n.running);
        running
            .map(|(id, n)| (n.raft.status(), id))
            .filter(|(s, _)| s.role == Role::Leader)
            .max_by_key(|(s, _)| s.term)
            .map(|(_, id)| id.clone())
    }

    /// Runs until a leader has committed an entry of its term, for up to 2 s.
    pub(crate) fn elect(&mut self) -> NodeId {
        let done = |g: &Group| {
            g.leader().is_some_and(|l| {
                let s = g.nodes[&l].raft.status();
                g.applied
                    .get(&s.commit_index)
                    .is_some_and(|(t, _)| *t == s.term)
            })
        };
        self.run_until(2000, done).expect("a leader within 2 s");
        self.leader().expect("a leader")
    }

    /// A running node that doesn't lead.
    pub(crate) fn follower(&self) -> NodeId {
        let leader = self.leader();
        let mut running = self
            .nodes
            .iter()
            .filter(|(_, n)| n.running)
            .map(|(id, _)| id);
        running
            .find(|n| Some(*n) != leader.as_ref())
            .expect("a follower")
            .clone()
    }

    fn ticket(&mut self) -> Ticket {
        self.last_id += 1;
        Ticket(self.last_id)
    }

    pub(crate) fn propose(&mut self, node: &NodeId, command: Command) -> Ticket {
        let ticket = self.ticket();
        self.step(node, Event::Propose { ticket, command });
        ticket
    }

    pub(crate) fn read(&mut self, node: &NodeId) -> Ticket {
        let ticket = self.ticket();
        self.read_lower_bounds.insert(ticket, self.max_applied);
        self.step(node, Event::Read(ticket));
        ticket
    }

    pub(crate) fn change(&mut self, node: &NodeId, change: greengage_agreement::Change) -> Ticket {
        let ticket = self.ticket();
        self.step(node, Event::Change { ticket, change });
        ticket
    }

    /// Whether any node has applied the proposal or change.
    pub(crate) fn committed(&self, ticket: Ticket) -> bool {
        let appended = self.proposed.get(&ticket);
        appended.is_some_and(|(i, t)| self.applied.get(i).is_some_and(|(term, _)| term == t))
    }

    /// Proposes `command` until it is committed; returns the time it took in milliseconds.
    pub(crate) fn commit(&mut self, command: Command, millis: u64) -> u64 {
        let start = self.now;
        let until = start + Duration::from_millis(millis);
        while self.now < until {
            if let Some(leader) = self.leader() {
                let ticket = self.propose(&leader, command);
                let refused = self.refused.contains_key(&ticket);
                let wait = if refused { 10 } else { 200 };
                if self.run_until(wait, |g| g.committed(ticket)).is_some() {
                    return self.now.since(start).as_millis() as u64;
                }
            } else {
                self.run(10);
            }
        }
        panic!("no commit within {millis} ms of {start:?}");
    }
}
