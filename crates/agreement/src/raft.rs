//! The node: its state, event dispatch and timers.

use greengage_core::{Index, NodeId, Term, Time};

use crate::election::CandidateState;
use crate::log::Log;
use crate::outbox::Outbox;
use crate::random::Random;
use crate::replication::LeaderState;
use crate::{
    Effect, Entry, EntryKind, Event, HardState, Message, RefusalReason, Role, SaveSeq, Setup,
    Status, Ticket, Timing,
};

/// A deadline that is never reached.
pub(crate) const NEVER: Time = Time(u64::MAX);

pub(crate) enum State {
    Follower,
    Candidate(CandidateState),
    Leader(LeaderState),
}

/// The consensus state machine of one node in one group.
pub struct Raft<C, S> {
    pub(crate) node: NodeId,
    pub(crate) timing: Timing,
    pub(crate) batch_entries: usize,
    pub(crate) random: Random,
    pub(crate) now: Time,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log<C, S>,
    pub(crate) state: State,
    /// The leader of the current term; `None` if unknown or after an election timeout.
    pub(crate) leader: Option<NodeId>,
    /// The leader of the current term, kept after an election timeout.
    pub(crate) term_leader: Option<NodeId>,
    /// When the leader of the current term last sent a message.
    pub(crate) last_contact: Option<Time>,
    /// When a follower or candidate starts the next campaign.
    pub(crate) election_deadline: Time,
    pub(crate) outbox: Outbox<C, S>,
}

impl<C: Clone, S: Clone> Raft<C, S> {
    /// Creates a follower from durable state. The caller restores its state machine from
    /// `setup.snapshot`; later entries are applied once they are known to be committed.
    ///
    /// # Panics
    ///
    /// If the stored log has a gap or a term higher than the stored one.
    pub fn new(setup: Setup<C, S>) -> Raft<C, S> {
        let mut raft = Raft {
            random: Random::new(setup.seed, &setup.node),
            node: setup.node,
            timing: setup.timing,
            batch_entries: setup.batch_entries,
            now: setup.now,
            outbox: Outbox::new(setup.hard_state.term),
            hard_state: setup.hard_state,
            log: Log::new(
                setup.config,
                setup.snapshot,
                setup.entries,
                setup.command_bytes,
            ),
            state: State::Follower,
            leader: None,
            term_leader: None,
            last_contact: None,
            election_deadline: NEVER,
        };
        assert!(
            raft.hard_state.term >= raft.log.last_term(),
            "the durable term is behind the durable log: repair or replace this data folder"
        );
        raft.reset_election_timer();
        raft
    }

    /// Handles one event at the time `now` and returns the effects, to be executed in order.
    pub fn step(&mut self, now: Time, event: Event<C, S>) -> Vec<Effect<C, S>> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Receive { from, message } => self.receive(from, message),
            Event::Saved(seq) => self.on_saved(seq),
            Event::Propose { ticket, command } => self.propose(ticket, command),
            Event::Read(ticket) => self.read(ticket),
            Event::Change { ticket, change } => self.change(ticket, change),
            Event::Transfer(to) => self.transfer(to),
            Event::Compact { index, state } => {
                if let Some(snapshot) = self.log.compact(index, state) {
                    self.outbox.save_snapshot(snapshot);
                }
            }
        }
        let role = (self.role(), self.hard_state.term, self.leader.clone());
        self.outbox.flush(&mut self.log, role)
    }

    /// The time at which the next `Event::Tick` is due.
    pub fn next_wake(&self) -> Time {
        match &self.state {
            State::Follower => self.election_deadline,
            State::Candidate(candidate) => self.election_deadline.min(candidate.resend_at),
            State::Leader(leader) => {
                let transfer = leader.transfer.as_ref().map_or(NEVER, |t| t.deadline);
                leader
                    .next_heartbeat
                    .min(self.quorum_deadline(leader))
                    .min(transfer)
            }
        }
    }

    /// The node's role, indexes and view of its group.
    pub fn status(&self) -> Status {
        let match_index = match &self.state {
            State::Leader(leader) => {
                let own = (self.node.clone(), self.log.durable_index());
                let others = leader
                    .progress
                    .iter()
                    .map(|(n, p)| (n.clone(), p.match_index));
                others.chain([own]).collect()
            }
            State::Follower | State::Candidate(_) => Default::default(),
        };
        Status {
            role: self.role(),
            term: self.hard_state.term,
            leader: self.leader.clone(),
            commit_index: self.log.commit_index(),
            last_index: self.log.last_index(),
            config: self.log.config().clone(),
            match_index,
        }
    }

    /// The index of the last entry passed to the caller in `Effect::Apply` or `Effect::Restore`.
    pub fn applied_index(&self) -> Index {
        self.log.applied_index()
    }

    /// The number of entries after the snapshot, from which the caller decides when to compact.
    pub fn entries_since_snapshot(&self) -> u64 {
        self.log.last_index().0 - self.log.snapshot_index().0
    }

    /// The bytes of the applied commands after the snapshot, from which the caller decides when to
    /// compact.
    pub fn applied_bytes(&self) -> u64 {
        self.log
            .bytes_between(self.log.snapshot_index(), self.log.applied_index())
    }

    /// The bytes of the commands that aren't committed, from which the caller decides whether to
    /// propose another one.
    pub fn uncommitted_bytes(&self) -> u64 {
        self.log
            .bytes_between(self.log.commit_index(), self.log.last_index())
    }

    pub(crate) fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    fn tick(&mut self) {
        match &self.state {
            State::Follower | State::Candidate(_) => self.tick_election(),
            State::Leader(_) => self.tick_leader(),
        }
    }

    fn receive(&mut self, from: NodeId, message: Message<C, S>) {
        match message {
            Message::VoteRequest(vote) => self.on_vote(from, vote),
            Message::VoteReply(reply) => self.on_vote_reply(from, reply),
            Message::AppendRequest(append) => self.on_append(from, append),
            Message::AppendReply(reply) => self.on_append_reply(from, reply),
            Message::InstallSnapshot { term, snapshot } => self.on_install(from, term, snapshot),
            Message::InstallSnapshotReply(reply) => self.on_install_reply(from, reply),
            Message::TimeoutNow { term } => self.on_timeout_now(from, term),
        }
    }

    fn on_saved(&mut self, seq: SaveSeq) {
        self.outbox.save_durable(seq);
        self.log.save_durable(seq);
        match &self.state {
            State::Follower => {}
            State::Candidate(_) => self.count_own_vote(),
            State::Leader(_) => self.advance_commit(),
        }
    }

    fn propose(&mut self, ticket: Ticket, command: C) {
        if let Some(reason) = self.proposal_refusal() {
            return self.refuse(ticket, reason);
        }
        if self.is_witness(&self.node) {
            return self.refuse(ticket, RefusalReason::Transferring);
        }
        let index = self.append_as_leader(EntryKind::Command(command));
        self.report_appended(ticket, index);
    }

    /// Appends an entry in the leader's term, replicates it and returns its index.
    pub(crate) fn append_as_leader(&mut self, kind: EntryKind<C>) -> Index {
        let index = self.log.last_index().next();
        let term = self.hard_state.term;
        self.log.append(Entry { term, index, kind });
        self.replicate_all();
        index
    }

    pub(crate) fn report_appended(&mut self, ticket: Ticket, index: Index) {
        let term: Term = self.hard_state.term;
        self.outbox.reply(Effect::Appended {
            ticket,
            index,
            term,
        });
    }

    pub(crate) fn refuse(&mut self, ticket: Ticket, reason: RefusalReason) {
        self.outbox.reply(Effect::Refused { ticket, reason });
    }

    pub(crate) fn not_leader(&self) -> RefusalReason {
        RefusalReason::NotLeader {
            leader: self.leader.clone(),
        }
    }
}
