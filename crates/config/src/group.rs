//! The Raft group that stores the configuration and the evacuated zones.
//!
//! An edit is answered once it is applied, which means that a majority has it on disk. A read is
//! answered once a majority has confirmed that this node is still the leader. A node that is not
//! the leader redirects edits and reads to the leader if it knows one; it does not forward them.
//!
//! Orders about evacuations have no version, so one that is proposed after a later one would undo it.
//! An order is therefore proposed only while its operator still waits for the answer, and before it
//! can have sent a later one.

use std::sync::Arc;
use std::time::Duration;

use greengage_agreement as agreement;
use greengage_agreement::{
    Change, Config, Entry, EntryKind, HardState, MemberRole, Message, Raft, Role, Save, SaveSeq,
    Snapshot, Ticket, Timing,
};
use greengage_core::{value, Index, NodeId, RequestId, Revision, SortedMap, Time};

use crate::autopilot::{next_change, Peer, VOTER_TIMEOUT};
use crate::document::Document;
use crate::evacuation::{EvacuationAction, EvacuationOrder, Evacuations, MAX_EVACUATED_ZONES};
use crate::state::{Edit, State, StateChange};

/// A Raft message between members.
pub type GroupMessage = Message<Edit, State>;
/// Raft state that a member must make durable.
pub type GroupSave = Save<Edit, State>;

/// Number of applied entries after which the log is compacted. Each entry holds a whole document of
/// up to some hundred kilobytes, and a data folder may have only 128 MB.
pub const COMPACTION_ENTRIES: u64 = 24;

/// Memory of applied documents above which the log is compacted before it has
/// `COMPACTION_ENTRIES`. All of them stay in memory until then.
const COMPACTION_BYTES: u64 = 8 << 20;

/// Memory of documents that wait to be committed above which a leader takes no further edit. A leader
/// whose followers' disks hang stays the leader, and operators send their edits again.
const MAX_UNCOMMITTED_BYTES: u64 = 8 << 20;

/// Number of entries in one message. Each holds a whole document, and the mesh drops messages of more
/// than 16 MiB: a member could never receive a batch that is larger.
const BATCH_ENTRIES: usize = 1;

/// Time between two checks for a membership change.
const AUTOPILOT_INTERVAL: Duration = Duration::from_millis(200);

/// Time until the check after a change of the voters, which is part of a replacement: about the
/// time that the change takes to be committed. Until then the loss of another voter can cost the
/// majority.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which an edit or a read that the group has not decided is answered as unknown.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time since an order was received after which it isn't proposed any more. Operators wait a second
/// for an answer before they turn to another VM.
pub const MAX_ORDER_AGE: Duration = Duration::from_millis(800);

/// State recovered from disk.
#[value]
#[derive(Default)]
pub struct RecoveredState {
    /// Raft's hard state.
    pub hard_state: HardState,
    /// The latest snapshot; `None` before the first compaction.
    pub snapshot: Option<Snapshot<State>>,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry<Edit>>,
    /// The initial members of the group.
    pub config: Config,
}

/// Initial state and settings of a member.
pub struct Setup {
    /// This VM and its data folder.
    pub node: NodeId,
    /// State recovered from disk.
    pub recovered: RecoveredState,
    /// Heartbeat interval and election timeout.
    pub timing: Timing,
    /// Configured number of voters.
    pub voters: usize,
    /// Random seed of the election timeouts.
    pub seed: u64,
    /// The current time.
    pub now: Time,
}

/// Outcome of an edit.
#[value(copy)]
pub enum EditOutcome {
    /// The group has applied it or a version at least as high.
    Accepted,
    /// The outcome is unknown; the edit may be retried.
    Unknown,
    /// The order isn't carried out, since too many zones are evacuated.
    TooManyZones,
}

/// An input of [`Group::step`].
#[value]
pub enum Event {
    /// The time returned by `next_wake` has been reached.
    Tick,
    /// A message from another member.
    Receive {
        /// The sender.
        from: NodeId,
        /// The message.
        message: GroupMessage,
    },
    /// All saves up to this one are durable.
    Saved(SaveSeq),
    /// An operator's edit.
    Edit {
        /// The request to answer.
        request: RequestId,
        /// The document.
        document: Arc<Document>,
    },
    /// An operator's order about an evacuation.
    Order {
        /// The request to answer.
        request: RequestId,
        /// The order.
        order: EvacuationOrder,
        /// The earliest time at which it may have arrived.
        received: Time,
    },
    /// An operator's read; the request to answer.
    Read(RequestId),
    /// Transfers leadership to another member, if this one leads.
    TransferLeadership,
    /// A peer has announced that it shuts down.
    PeerLeaving,
}

/// An output, to be carried out by the caller of [`Group::step`].
#[value]
pub enum Effect {
    /// Make this durable, then deliver `Event::Saved`.
    Save(GroupSave),
    /// Send a message.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: GroupMessage,
    },
    /// An edit or an order has completed.
    Edited {
        /// The request to answer.
        request: RequestId,
        /// The outcome.
        outcome: EditOutcome,
    },
    /// A read has completed.
    Read {
        /// The request to answer.
        request: RequestId,
        /// The document in force; `None` if there is none or the newest one could not be confirmed.
        document: Option<Arc<Document>>,
    },
    /// This member could not take the request, usually because it is not the leader. A leader that
    /// takes no further edit for now names none.
    Redirect {
        /// The request to answer.
        request: RequestId,
        /// The leader, `None` if unknown.
        leader: Option<NodeId>,
    },
    /// A newer document was applied and is in force.
    DocumentApplied(Arc<Document>),
    /// The evacuated zones have changed.
    EvacuationsApplied(Evacuations),
}

/// An edit, an order or a read that waits for the group.
struct PendingRequest {
    request: RequestId,
    deadline: Time,
    /// The log index that must be applied before the request is answered; `None` until known.
    index: Option<Index>,
    kind: RequestKind,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Edit,
    Order,
    Read,
}

/// One member of the group.
pub struct Group {
    raft: Raft<Edit, State>,
    node: NodeId,
    state: State,
    applied: Index,
    snapshot_index: Index,
    voters: usize,
    last_ticket: u64,
    pending: SortedMap<Ticket, PendingRequest>,
    autopilot_due: Time,
}

impl Group {
    /// Creates a member from its durable state.
    pub fn new(setup: Setup) -> Group {
        let recovered = setup.recovered;
        let (applied, state) = match &recovered.snapshot {
            Some(snapshot) => (snapshot.index, snapshot.state.clone()),
            None => (Index(0), State::default()),
        };
        let raft = Raft::new(agreement::Setup {
            node: setup.node.clone(),
            config: recovered.config,
            hard_state: recovered.hard_state,
            snapshot: recovered.snapshot,
            entries: recovered.entries,
            timing: setup.timing,
            batch_entries: BATCH_ENTRIES,
            command_bytes: Edit::memory_bytes,
            seed: setup.seed,
            now: setup.now,
        });
        Group {
            raft,
            node: setup.node,
            state,
            applied,
            snapshot_index: applied,
            voters: setup.voters,
            last_ticket: 0,
            pending: SortedMap::new(),
            autopilot_due: setup.now,
        }
    }

    /// Shuts the member down, for example after a disk failure; pending requests are answered as
    /// unknown.
    pub fn shut_down(mut self) -> Vec<Effect> {
        let mut out = Vec::new();
        self.abort_pending(&mut out);
        out
    }

    /// The document that this member has applied; `None` before the first edit.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.state.document.as_ref()
    }

    /// The evacuated zones that this member has applied; `None` before the first edit.
    pub fn evacuations(&self) -> Option<&Evacuations> {
        let evacuations = &self.state.evacuations;
        let is_known = self.state.document.is_some() || evacuations.revision > Revision(0);
        is_known.then_some(evacuations)
    }

    /// Whether this member is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.raft.status().role, Role::Leader)
    }

    /// Number of edits and reads that wait for an answer.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Raft status of the group as this member sees it.
    pub fn status(&self) -> agreement::Status {
        self.raft.status()
    }

    /// When the next `Event::Tick` is due.
    pub fn next_wake(&self) -> Time {
        let pending = self.pending.values().map(|request| request.deadline).min();
        let autopilot = if self.is_leader() {
            Some(self.autopilot_due)
        } else {
            None
        };
        let wake_times = [Some(self.raft.next_wake()), pending, autopilot];
        wake_times
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Time(u64::MAX))
    }

    /// Handles one event and returns its effects; `peers` are the known control VMs with this one.
    pub fn step(&mut self, now: Time, event: Event, peers: &[Peer]) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, peers, &mut out),
            Event::Receive { from, message } => {
                self.step_raft(now, agreement::Event::Receive { from, message }, &mut out);
            }
            Event::Saved(seq) => self.step_raft(now, agreement::Event::Saved(seq), &mut out),
            Event::Edit { request, document } => self.edit(now, request, document, &mut out),
            Event::Order {
                request,
                order,
                received,
            } => self.order(now, (request, received), order, &mut out),
            Event::Read(request) => {
                let ticket = self.add_pending(now, request, RequestKind::Read);
                self.step_raft(now, agreement::Event::Read(ticket), &mut out);
            }
            Event::TransferLeadership => {
                self.transfer_leadership(now, peers, &mut out);
            }
            Event::PeerLeaving => {
                self.autopilot_due = now;
                self.check_members(now, peers, &mut out);
            }
        }
        self.compact(now, &mut out);
        out
    }

    fn tick(&mut self, now: Time, peers: &[Peer], out: &mut Vec<Effect>) {
        if now >= self.raft.next_wake() {
            self.step_raft(now, agreement::Event::Tick, out);
        }
        let expired: Vec<Ticket> = self
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.deadline)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in expired {
            self.answer_unknown(ticket, out);
        }
        self.check_members(now, peers, out);
    }

    /// Proposes the membership change that is due, if this member leads. A leader that shuts down
    /// transfers its leadership.
    fn check_members(&mut self, now: Time, peers: &[Peer], out: &mut Vec<Effect>) {
        if now < self.autopilot_due || !self.is_leader() {
            return;
        }
        if peers.iter().any(|p| p.node == self.node && p.leaving)
            && self.transfer_leadership(now, peers, out)
        {
            // Changes are refused during a transfer.
            self.autopilot_due = now + AUTOPILOT_INTERVAL;
            return;
        }
        let status = self.raft.status();
        let change = next_change(now, &status, &self.node, peers, self.voters);
        let interval = match &change {
            Some(Change::Promote { .. } | Change::Remove(_)) => REPLACEMENT_INTERVAL,
            Some(Change::AddLearner(_)) | None => AUTOPILOT_INTERVAL,
        };
        self.autopilot_due = now + interval;
        if let Some(change) = change {
            log::info!(event = "member-change", change:? = change;
                "membership change proposed");
            self.last_ticket += 1;
            let ticket = Ticket(self.last_ticket);
            self.step_raft(now, agreement::Event::Change { ticket, change }, out);
        }
    }

    /// Transfers leadership to the live voter with the longest log that isn't shutting down itself.
    /// Returns whether there is one.
    fn transfer_leadership(&mut self, now: Time, peers: &[Peer], out: &mut Vec<Effect>) -> bool {
        let status = self.raft.status();
        let can_lead = |peer: &&Peer| {
            let role = status.config.members.get(&peer.node);
            let silence = now.since(peer.last_heard);
            role == Some(&MemberRole::Voter)
                && peer.node != self.node
                && !peer.leaving
                && silence <= VOTER_TIMEOUT
        };
        let successor = peers
            .iter()
            .filter(can_lead)
            .max_by_key(|peer| (status.match_index.get(&peer.node), peer.last_heard));
        let Some(peer) = successor else {
            return false;
        };
        let event = agreement::Event::Transfer(Some(peer.node.clone()));
        self.step_raft(now, event, out);
        true
    }

    fn add_pending(&mut self, now: Time, request: RequestId, kind: RequestKind) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let pending = PendingRequest {
            request,
            deadline: now + REQUEST_TIMEOUT,
            index: None,
            kind,
        };
        self.pending.insert(ticket, pending);
        ticket
    }

    fn edit(
        &mut self,
        now: Time,
        request: RequestId,
        document: Arc<Document>,
        out: &mut Vec<Effect>,
    ) {
        // Applied entries are committed, so an edit whose version is not higher can have no effect.
        if Some(document.version) <= self.state.version() {
            let outcome = EditOutcome::Accepted;
            out.push(Effect::Edited { request, outcome });
            return;
        }
        self.propose(now, request, Edit::Document(document), out);
    }

    /// Proposes an order, also one that changes nothing in the applied state: a leader that has been
    /// replaced may not know yet what was committed since.
    fn order(
        &mut self,
        now: Time,
        (request, received): (RequestId, Time),
        order: EvacuationOrder,
        out: &mut Vec<Effect>,
    ) {
        let age = now.since(received);
        if age > MAX_ORDER_AGE {
            log::info!(event = "order-late", request = request.0, zone = order.zone.as_str(),
                action:? = order.action, age_ms = age.as_millis() as u64;
                "dropped an order whose operator may have sent a later one");
            let outcome = EditOutcome::Unknown;
            out.push(Effect::Edited { request, outcome });
            return;
        }
        if self.is_leader() && self.exceeds_zones(&order) {
            log::info!(event = "order-beyond-limit", request = request.0,
                zone = order.zone.as_str(), most = MAX_EVACUATED_ZONES;
                "refused an order, since too many zones are evacuated");
            let outcome = EditOutcome::TooManyZones;
            out.push(Effect::Edited { request, outcome });
            return;
        }
        self.propose(now, request, Edit::Evacuation(order), out);
    }

    /// Whether an order may evacuate more zones than are allowed. Each order that is on its way counts
    /// as one.
    fn exceeds_zones(&self, order: &EvacuationOrder) -> bool {
        let zones = &self.state.evacuations;
        let is_order = |pending: &&PendingRequest| pending.kind == RequestKind::Order;
        order.action == EvacuationAction::Start
            && !zones.contains(&order.zone)
            && zones.zones.len() + self.pending.values().filter(is_order).count()
                >= MAX_EVACUATED_ZONES
    }

    fn propose(&mut self, now: Time, request: RequestId, command: Edit, out: &mut Vec<Effect>) {
        if self.is_leader() && self.raft.uncommitted_bytes() > MAX_UNCOMMITTED_BYTES {
            let leader = None;
            out.push(Effect::Redirect { request, leader });
            return;
        }
        let kind = match command {
            Edit::Document(_) => RequestKind::Edit,
            Edit::Evacuation(_) => RequestKind::Order,
        };
        let ticket = self.add_pending(now, request, kind);
        self.step_raft(now, agreement::Event::Propose { ticket, command }, out);
    }

    fn answer_unknown(&mut self, ticket: Ticket, out: &mut Vec<Effect>) {
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        let request = pending.request;
        out.push(match pending.kind {
            RequestKind::Edit | RequestKind::Order => Effect::Edited {
                request,
                outcome: EditOutcome::Unknown,
            },
            RequestKind::Read => Effect::Read {
                request,
                document: None,
            },
        });
    }

    /// Steps the Raft state machine and translates its effects.
    fn step_raft(
        &mut self,
        now: Time,
        event: agreement::Event<Edit, State>,
        out: &mut Vec<Effect>,
    ) {
        for effect in self.raft.step(now, event) {
            match effect {
                agreement::Effect::Save(save) => out.push(Effect::Save(save)),
                agreement::Effect::Send { to, message } => out.push(Effect::Send { to, message }),
                agreement::Effect::Apply(entries) => self.apply(entries, out),
                agreement::Effect::Restore(snapshot) => {
                    self.applied = snapshot.index;
                    self.snapshot_index = snapshot.index;
                    self.state = snapshot.state;
                    out.extend(self.state.document.clone().map(Effect::DocumentApplied));
                    let evacuations = self.evacuations().cloned();
                    out.extend(evacuations.map(Effect::EvacuationsApplied));
                }
                agreement::Effect::Appended { ticket, index, .. }
                | agreement::Effect::ReadReady { ticket, index } => {
                    if let Some(pending) = self.pending.get_mut(&ticket) {
                        pending.index = Some(index);
                    }
                    self.answer_applied(out);
                }
                agreement::Effect::Refused { ticket, reason } => {
                    self.handle_refusal(ticket, reason, out)
                }
                agreement::Effect::Role { role, term, leader } => {
                    log::info!(event = "role", role:? = role, term = term.0, leader:? = leader;
                        "role in the control group changed");
                    match role {
                        // The members have replied by then, so it is known who has caught up.
                        Role::Leader => self.autopilot_due = now + REPLACEMENT_INTERVAL,
                        Role::Follower | Role::Candidate => self.abort_pending(out),
                    }
                }
            }
        }
    }

    /// Answers all pending requests as unknown. Without leadership, entries of pending edits may
    /// be overwritten by another leader and reads can no longer be confirmed.
    fn abort_pending(&mut self, out: &mut Vec<Effect>) {
        let tickets: Vec<Ticket> = self.pending.keys().copied().collect();
        for ticket in tickets {
            self.answer_unknown(ticket, out);
        }
    }

    fn handle_refusal(
        &mut self,
        ticket: Ticket,
        reason: agreement::RefusalReason,
        out: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.remove(&ticket) else {
            log::debug!(reason:? = reason; "membership change refused");
            return;
        };
        let leader = match reason {
            agreement::RefusalReason::NotLeader { leader } => leader,
            agreement::RefusalReason::Transferring | agreement::RefusalReason::Change(_) => None,
        };
        let request = pending.request;
        out.push(Effect::Redirect { request, leader });
    }

    fn apply(&mut self, entries: Vec<Entry<Edit>>, out: &mut Vec<Effect>) {
        for entry in entries {
            self.applied = entry.index;
            if let EntryKind::Command(edit) = entry.kind {
                match self.state.apply(edit) {
                    StateChange::None => {}
                    StateChange::Document => {
                        let document = self.state.document.clone();
                        out.extend(document.map(Effect::DocumentApplied));
                    }
                    StateChange::Evacuations => {
                        let evacuations = self.state.evacuations.clone();
                        out.push(Effect::EvacuationsApplied(evacuations));
                    }
                }
            }
        }
        self.answer_applied(out);
    }

    /// Answers the pending requests whose log index has been applied.
    fn answer_applied(&mut self, out: &mut Vec<Effect>) {
        let (applied, document) = (self.applied, self.state.document.clone());
        self.pending.retain(|_, pending| {
            let done = pending.index.is_some_and(|index| index <= applied);
            let request = pending.request;
            if done {
                out.push(match pending.kind {
                    RequestKind::Edit | RequestKind::Order => Effect::Edited {
                        request,
                        outcome: EditOutcome::Accepted,
                    },
                    RequestKind::Read => Effect::Read {
                        request,
                        document: document.clone(),
                    },
                });
            }
            !done
        });
    }

    fn compact(&mut self, now: Time, out: &mut Vec<Effect>) {
        let is_due = self.applied.0 >= self.snapshot_index.0 + COMPACTION_ENTRIES
            || self.raft.applied_bytes() > COMPACTION_BYTES;
        if !is_due {
            return;
        }
        self.snapshot_index = self.applied;
        let event = agreement::Event::Compact {
            index: self.applied,
            state: self.state.clone(),
        };
        self.step_raft(now, event, out);
    }
}
