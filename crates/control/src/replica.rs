//! This VM's replica of one Raft group.

use std::mem::size_of_val;

use greengage_agreement::{
    Change, Effect, Event, Raft, RefusalReason, Role, Setup as RaftSetup, Status, Ticket, Timing,
    DEFAULT_BATCH_ENTRIES,
};
use greengage_core::{Index, NodeId, Term, Time};

use crate::message::StoredGroup;

/// A Raft state machine with the group's latest role, term, leader and applied index.
pub(crate) struct Replica<C, S> {
    raft: Raft<C, S>,
    node: NodeId,
    last_ticket: u64,
    role: Role,
    term: Term,
    leader: Option<NodeId>,
    applied_index: Index,
    compacted_index: Index,
}

/// What a replica is created from.
pub(crate) struct Setup<C, S> {
    pub(crate) node: NodeId,
    pub(crate) timing: Timing,
    pub(crate) restored: StoredGroup<C, S>,
    pub(crate) seed: u64,
    pub(crate) now: Time,
}

impl<C: Clone, S: Clone> Replica<C, S> {
    pub(crate) fn new(start: Setup<C, S>) -> Replica<C, S> {
        let snapshot = start.restored.snapshot.as_ref();
        let applied = snapshot.map_or(Index(0), |snapshot| snapshot.index);
        let node = start.node.clone();
        let raft = Raft::new(RaftSetup {
            node: start.node,
            config: start.restored.config,
            hard_state: start.restored.hard_state,
            snapshot: start.restored.snapshot,
            entries: start.restored.entries,
            timing: start.timing,
            batch_entries: DEFAULT_BATCH_ENTRIES,
            // What a command refers to isn't counted: only the number of entries bounds this log.
            command_bytes: size_of_val,
            seed: start.seed,
            now: start.now,
        });
        Replica {
            raft,
            node,
            last_ticket: 0,
            role: Role::Follower,
            term: Term(0),
            leader: None,
            applied_index: applied,
            compacted_index: applied,
        }
    }

    pub(crate) fn node(&self) -> &NodeId {
        &self.node
    }

    pub(crate) fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader)
    }

    pub(crate) fn term(&self) -> Term {
        self.term
    }

    pub(crate) fn leader(&self) -> Option<&NodeId> {
        self.leader.as_ref()
    }

    pub(crate) fn next_wake(&self) -> Time {
        self.raft.next_wake()
    }

    pub(crate) fn status(&self) -> Status {
        self.raft.status()
    }

    /// Handles one event and records changes of role and applied index.
    pub(crate) fn step(&mut self, now: Time, event: Event<C, S>) -> Vec<Effect<C, S>> {
        let effects = self.raft.step(now, event);
        for effect in &effects {
            match effect {
                Effect::Role { role, term, leader } => {
                    self.role = *role;
                    self.term = *term;
                    self.leader = leader.clone();
                }
                Effect::Apply(entries) => {
                    if let Some(last) = entries.last() {
                        assert!(
                            last.index > self.applied_index,
                            "entries are applied in order"
                        );
                        self.applied_index = last.index;
                    }
                }
                Effect::Restore(snapshot) => {
                    assert!(
                        snapshot.index >= self.applied_index,
                        "a snapshot never decreases the applied index"
                    );
                    self.applied_index = snapshot.index;
                }
                _ => {}
            }
        }
        effects
    }

    fn next_ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        Ticket(self.last_ticket)
    }

    pub(crate) fn propose(&mut self, now: Time, command: C) -> (Ticket, Vec<Effect<C, S>>) {
        let ticket = self.next_ticket();
        (ticket, self.step(now, Event::Propose { ticket, command }))
    }

    /// Requests a read index: the read is linearizable once it is applied.
    pub(crate) fn read(&mut self, now: Time) -> (Ticket, Vec<Effect<C, S>>) {
        let ticket = self.next_ticket();
        (ticket, self.step(now, Event::Read(ticket)))
    }

    /// Proposes a change of one member.
    pub(crate) fn change(&mut self, now: Time, change: Change) -> (Ticket, Vec<Effect<C, S>>) {
        let ticket = self.next_ticket();
        (ticket, self.step(now, Event::Change { ticket, change }))
    }

    /// Compacts the log if at least `interval` entries were applied since the last compaction.
    pub(crate) fn compact(
        &mut self,
        now: Time,
        interval: u64,
        state: impl FnOnce() -> S,
    ) -> Vec<Effect<C, S>> {
        if self.applied_index.0 < self.compacted_index.0 + interval {
            return Vec::new();
        }
        self.compacted_index = self.applied_index;
        let index = self.applied_index;
        self.step(
            now,
            Event::Compact {
                index,
                state: state(),
            },
        )
    }
}

/// Why a proposal was refused in the same step; `None` if it was not.
pub(crate) fn refusal<C, S>(ticket: Ticket, effects: &[Effect<C, S>]) -> Option<RefusalReason> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refused { ticket: t, reason } if *t == ticket => Some(reason.clone()),
        _ => None,
    })
}
