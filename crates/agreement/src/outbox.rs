//! Collects the effects of a step and defers messages until a save is durable.

use greengage_core::{NodeId, Term};

use crate::log::Log;
use crate::{Effect, HardState, Message, Role, Save, SaveSeq, Snapshot};

/// What must be durable before a message may be sent.
#[derive(Clone, Copy)]
pub(crate) enum SendAfter {
    /// The message doesn't depend on durable state.
    Nothing,
    /// The current term and vote.
    HardState,
    /// All saves issued so far, including that of the current step.
    AllSaves,
}

pub(crate) struct Outbox<C, S> {
    hard_state: Option<HardState>,
    snapshot: Option<Snapshot<S>>,
    restored: Option<Snapshot<S>>,
    outgoing: Vec<(SendAfter, NodeId, Message<C, S>)>,
    replies: Vec<Effect<C, S>>,
    ready_reads: Vec<Effect<C, S>>,
    deferred: Vec<(SaveSeq, NodeId, Message<C, S>)>,
    last_issued: SaveSeq,
    last_durable: SaveSeq,
    hard_state_seq: SaveSeq,
    reported_role: (Role, Term, Option<NodeId>),
}

impl<C: Clone, S: Clone> Outbox<C, S> {
    pub(crate) fn new(term: Term) -> Outbox<C, S> {
        Outbox {
            hard_state: None,
            snapshot: None,
            restored: None,
            outgoing: Vec::new(),
            replies: Vec::new(),
            ready_reads: Vec::new(),
            deferred: Vec::new(),
            last_issued: SaveSeq(0),
            last_durable: SaveSeq(0),
            hard_state_seq: SaveSeq(0),
            reported_role: (Role::Follower, term, None),
        }
    }

    /// Adds the hard state to the step's save.
    pub(crate) fn save_hard_state(&mut self, hard_state: &HardState) {
        self.hard_state = Some(hard_state.clone());
    }

    /// Adds a snapshot of the local state machine to the step's save.
    pub(crate) fn save_snapshot(&mut self, snapshot: Snapshot<S>) {
        self.snapshot = Some(snapshot);
    }

    /// Adds a leader's snapshot to the step's save and restores the state machine from it.
    pub(crate) fn restore(&mut self, snapshot: Snapshot<S>) {
        self.snapshot = Some(snapshot.clone());
        self.restored = Some(snapshot);
    }

    pub(crate) fn send(&mut self, send_after: SendAfter, to: NodeId, message: Message<C, S>) {
        self.outgoing.push((send_after, to, message));
    }

    pub(crate) fn reply(&mut self, effect: Effect<C, S>) {
        self.replies.push(effect);
    }

    pub(crate) fn read_ready(&mut self, effect: Effect<C, S>) {
        self.ready_reads.push(effect);
    }

    /// Discards deferred messages, which belong to an earlier term.
    pub(crate) fn discard_deferred(&mut self) {
        self.deferred.clear();
    }

    /// Whether the current term and vote are durable.
    pub(crate) fn hard_state_durable(&self) -> bool {
        self.hard_state.is_none() && self.hard_state_seq <= self.last_durable
    }

    pub(crate) fn save_durable(&mut self, seq: SaveSeq) {
        assert!(
            seq <= self.last_issued,
            "save reported durable before it was issued"
        );
        self.last_durable = self.last_durable.max(seq);
    }

    /// Returns the effects of the step in execution order. A role change precedes the entries
    /// applied in that role, and a read follows the entries that it waits for.
    pub(crate) fn flush(
        &mut self,
        log: &mut Log<C, S>,
        role: (Role, Term, Option<NodeId>),
    ) -> Vec<Effect<C, S>> {
        let mut effects = Vec::new();
        let entries = log.take_unsaved();
        if self.hard_state.is_some() || self.snapshot.is_some() || !entries.is_empty() {
            self.last_issued = SaveSeq(self.last_issued.0 + 1);
            if self.hard_state.is_some() {
                self.hard_state_seq = self.last_issued;
            }
            log.save_issued(self.last_issued);
            effects.push(Effect::Save(Save {
                seq: self.last_issued,
                hard_state: self.hard_state.take(),
                entries,
                snapshot: self.snapshot.take(),
                clear: self.restored.is_some(),
            }));
        }
        let last_durable = self.last_durable;
        self.deferred.retain(|(required_seq, to, message)| {
            if *required_seq <= last_durable {
                effects.push(Effect::Send {
                    to: to.clone(),
                    message: message.clone(),
                });
            }
            *required_seq > last_durable
        });
        for (send_after, to, message) in std::mem::take(&mut self.outgoing) {
            let required_seq = match send_after {
                SendAfter::Nothing => SaveSeq(0),
                SendAfter::HardState => self.hard_state_seq,
                SendAfter::AllSaves => self.last_issued,
            };
            if required_seq <= last_durable {
                effects.push(Effect::Send { to, message });
            } else {
                self.defer(required_seq, to, message);
            }
        }
        if role != self.reported_role {
            self.reported_role = role.clone();
            let (role, term, leader) = role;
            effects.push(Effect::Role { role, term, leader });
        }
        effects.append(&mut self.replies);
        if let Some(snapshot) = self.restored.take() {
            effects.push(Effect::Restore(snapshot));
        }
        let committed = log.take_committed();
        if !committed.is_empty() {
            effects.push(Effect::Apply(committed));
        }
        effects.append(&mut self.ready_reads);
        effects
    }

    /// Defers a message until `required_seq` is durable. It replaces a deferred message of the same
    /// kind, receiver and save, so the queue doesn't grow with each heartbeat while the disk hangs.
    fn defer(&mut self, required_seq: SaveSeq, to: NodeId, message: Message<C, S>) {
        let kind = std::mem::discriminant(&message);
        self.deferred.retain(|(n, t, m)| {
            !(*n == required_seq && *t == to && std::mem::discriminant(m) == kind)
        });
        self.deferred.push((required_seq, to, message));
    }
}
