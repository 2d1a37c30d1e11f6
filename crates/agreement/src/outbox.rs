//! Collects the effects of a step and holds messages back until a save is durable.

use greengage_core::{NodeId, Term};

use crate::log::Log;
use crate::{Effect, HardState, Message, Role, Save, SaveSeq, Snapshot};

/// What must be durable before a message may leave.
#[derive(Clone, Copy)]
pub(crate) enum Gate {
    /// Nothing.
    Open,
    /// The term and the vote.
    Hard,
    /// Everything up to now.
    All,
}

pub(crate) struct Outbox<C, S> {
    hard: Option<HardState>,
    snapshot: Option<Snapshot<S>>,
    restore: Option<Snapshot<S>>,
    sends: Vec<(Gate, NodeId, Message<C, S>)>,
    answers: Vec<Effect<C, S>>,
    reads: Vec<Effect<C, S>>,
    held: Vec<(SaveSeq, NodeId, Message<C, S>)>,
    issued: SaveSeq,
    saved: SaveSeq,
    hard_seq: SaveSeq,
    reported: (Role, Term, Option<NodeId>),
}

impl<C: Clone, S: Clone> Outbox<C, S> {
    pub(crate) fn new(term: Term) -> Outbox<C, S> {
        Outbox {
            hard: None,
            snapshot: None,
            restore: None,
            sends: Vec::new(),
            answers: Vec::new(),
            reads: Vec::new(),
            held: Vec::new(),
            issued: SaveSeq(0),
            saved: SaveSeq(0),
            hard_seq: SaveSeq(0),
            reported: (Role::Follower, term, None),
        }
    }

    /// Saves the hard state at the end of the step.
    pub(crate) fn save_hard(&mut self, hard: &HardState) {
        self.hard = Some(hard.clone());
    }

    /// Saves a snapshot of the node's own state.
    pub(crate) fn save_snapshot(&mut self, snapshot: Snapshot<S>) {
        self.snapshot = Some(snapshot);
    }

    /// Saves a leader's snapshot and restores the state machine from it.
    pub(crate) fn restore(&mut self, snapshot: Snapshot<S>) {
        self.snapshot = Some(snapshot.clone());
        self.restore = Some(snapshot);
    }

    pub(crate) fn send(&mut self, gate: Gate, to: NodeId, message: Message<C, S>) {
        self.sends.push((gate, to, message));
    }

    pub(crate) fn answer(&mut self, effect: Effect<C, S>) {
        self.answers.push(effect);
    }

    pub(crate) fn read_ready(&mut self, effect: Effect<C, S>) {
        self.reads.push(effect);
    }

    /// Discards held messages, which belong to a term that has ended.
    pub(crate) fn end_term(&mut self) {
        self.held.clear();
    }

    /// Whether the present term and vote are durable.
    pub(crate) fn hard_durable(&self) -> bool {
        self.hard.is_none() && self.hard_seq <= self.saved
    }

    pub(crate) fn saved(&mut self, seq: SaveSeq) {
        assert!(seq <= self.issued, "only an issued save can be durable");
        self.saved = self.saved.max(seq);
    }

    /// The effects of the step in the order in which the caller carries them out. A role precedes
    /// what is applied in it, and a read comes after the entries that it waits for.
    pub(crate) fn flush(
        &mut self,
        log: &mut Log<C, S>,
        role: (Role, Term, Option<NodeId>),
    ) -> Vec<Effect<C, S>> {
        let mut effects = Vec::new();
        let entries = log.take_dirty();
        if self.hard.is_some() || self.snapshot.is_some() || !entries.is_empty() {
            self.issued = SaveSeq(self.issued.0 + 1);
            if self.hard.is_some() {
                self.hard_seq = self.issued;
            }
            log.issued(self.issued);
            effects.push(Effect::Save(Save {
                seq: self.issued,
                hard: self.hard.take(),
                entries,
                snapshot: self.snapshot.take(),
                clear: self.restore.is_some(),
            }));
        }
        let saved = self.saved;
        self.held.retain(|(need, to, message)| {
            if *need <= saved {
                effects.push(Effect::Send {
                    to: to.clone(),
                    message: message.clone(),
                });
            }
            *need > saved
        });
        for (gate, to, message) in std::mem::take(&mut self.sends) {
            let need = match gate {
                Gate::Open => SaveSeq(0),
                Gate::Hard => self.hard_seq,
                Gate::All => self.issued,
            };
            if need <= saved {
                effects.push(Effect::Send { to, message });
            } else {
                self.hold(need, to, message);
            }
        }
        if role != self.reported {
            self.reported = role.clone();
            let (role, term, leader) = role;
            effects.push(Effect::Role { role, term, leader });
        }
        effects.append(&mut self.answers);
        if let Some(snapshot) = self.restore.take() {
            effects.push(Effect::Restore(snapshot));
        }
        let committed = log.take_committed();
        if !committed.is_empty() {
            effects.push(Effect::Apply(committed));
        }
        effects.append(&mut self.reads);
        effects
    }

    /// Holds a message. A second one of the same kind that waits for the same save replaces the
    /// first, so a disk that hangs doesn't make the queue grow with each heartbeat.
    fn hold(&mut self, need: SaveSeq, to: NodeId, message: Message<C, S>) {
        let kind = std::mem::discriminant(&message);
        self.held
            .retain(|(n, t, m)| !(*n == need && *t == to && std::mem::discriminant(m) == kind));
        self.held.push((need, to, message));
    }
}
