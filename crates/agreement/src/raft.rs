//! The node: its state, the dispatch of events and the timers.

use greengage_core::{Index, NodeId, Term, Time};

use crate::election::Candidacy;
use crate::log::Log;
use crate::outbox::Outbox;
use crate::random::Random;
use crate::replication::Leadership;
use crate::{
    Effect, Entry, EntryKind, Event, HardState, Message, Refused, Role, SaveSeq, Setup, Status,
    Ticket, Timing,
};

/// A time that never comes.
pub(crate) const NEVER: Time = Time(u64::MAX);

pub(crate) enum State {
    Follower,
    Candidate(Candidacy),
    Leader(Leadership),
}

/// One node's state machine for one group.
pub struct Raft<C, S> {
    pub(crate) node: NodeId,
    pub(crate) timing: Timing,
    pub(crate) random: Random,
    pub(crate) now: Time,
    pub(crate) hard: HardState,
    pub(crate) log: Log<C, S>,
    pub(crate) state: State,
    /// The leader of the present term, while it is heard.
    pub(crate) leader: Option<NodeId>,
    /// The leader of the present term, even when it is no longer heard.
    pub(crate) term_leader: Option<NodeId>,
    /// When the leader of the present term was last heard.
    pub(crate) heard: Option<Time>,
    /// When a follower or candidate campaigns.
    pub(crate) deadline: Time,
    pub(crate) out: Outbox<C, S>,
}

impl<C: Clone, S: Clone> Raft<C, S> {
    /// A node that starts as a follower from what is durable. The caller restores its state
    /// machine from `setup.snapshot`; entries after it are applied once they are known to be
    /// committed.
    pub fn new(setup: Setup<C, S>) -> Raft<C, S> {
        let mut raft = Raft {
            random: Random::new(setup.seed, &setup.node),
            node: setup.node,
            timing: setup.timing,
            now: setup.now,
            out: Outbox::new(setup.hard.term),
            hard: setup.hard,
            log: Log::new(setup.config, setup.snapshot, setup.entries),
            state: State::Follower,
            leader: None,
            term_leader: None,
            heard: None,
            deadline: NEVER,
        };
        assert!(
            raft.hard.term >= raft.log.last_term(),
            "the durable term is behind the durable log: repair or replace this data folder"
        );
        raft.reset_deadline();
        raft
    }

    /// Takes one event at the time `now` and returns the effects, to be carried out in order.
    pub fn step(&mut self, now: Time, event: Event<C, S>) -> Vec<Effect<C, S>> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Receive { from, message } => self.receive(from, message),
            Event::Saved(seq) => self.saved(seq),
            Event::Propose { ticket, command } => self.propose(ticket, command),
            Event::Read(ticket) => self.read(ticket),
            Event::Change { ticket, change } => self.change(ticket, change),
            Event::Transfer(to) => self.transfer(to),
            Event::Compact { index, state } => {
                if let Some(snapshot) = self.log.compact(index, state) {
                    self.out.save_snapshot(snapshot);
                }
            }
        }
        let role = (self.role(), self.hard.term, self.leader.clone());
        self.out.flush(&mut self.log, role)
    }

    /// When the next `Event::Tick` is due.
    pub fn wake(&self) -> Time {
        match &self.state {
            State::Follower => self.deadline,
            State::Candidate(candidacy) => self.deadline.min(candidacy.resend),
            State::Leader(lead) => {
                let transfer = lead.transfer.as_ref().map_or(NEVER, |t| t.deadline);
                lead.heartbeat.min(self.quorum_deadline(lead)).min(transfer)
            }
        }
    }

    /// The node's view of its group.
    pub fn status(&self) -> Status {
        let matched = match &self.state {
            State::Leader(lead) => {
                let own = (self.node.clone(), self.log.durable());
                let others = lead.progress.iter().map(|(n, p)| (n.clone(), p.matched));
                others.chain([own]).collect()
            }
            State::Follower | State::Candidate(_) => Default::default(),
        };
        Status {
            role: self.role(),
            term: self.hard.term,
            leader: self.leader.clone(),
            commit: self.log.commit(),
            last: self.log.last(),
            config: self.log.config().clone(),
            matched,
        }
    }

    /// The index of the last entry given out in `Effect::Apply` or `Effect::Restore`.
    pub fn applied(&self) -> Index {
        self.log.applied()
    }

    /// The number of entries since the snapshot, for deciding when to send `Event::Compact`.
    pub fn since_snapshot(&self) -> u64 {
        self.log.last().0 - self.log.snapshot_index().0
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
            Message::Vote(vote) => self.on_vote(from, vote),
            Message::VoteReply(reply) => self.on_vote_reply(from, reply),
            Message::Append(append) => self.on_append(from, append),
            Message::AppendReply(reply) => self.on_append_reply(from, reply),
            Message::Install { term, snapshot } => self.on_install(from, term, snapshot),
            Message::InstallReply(reply) => self.on_install_reply(from, reply),
            Message::TimeoutNow { term } => self.on_timeout_now(from, term),
        }
    }

    fn saved(&mut self, seq: SaveSeq) {
        self.out.saved(seq);
        self.log.saved(seq);
        match &self.state {
            State::Follower => {}
            State::Candidate(_) => self.count_own_vote(),
            State::Leader(_) => self.advance_commit(),
        }
    }

    fn propose(&mut self, ticket: Ticket, command: C) {
        if let Some(reason) = self.not_steady() {
            return self.refuse(ticket, reason);
        }
        if self.is_witness(&self.node) {
            return self.refuse(ticket, Refused::Transferring);
        }
        let index = self.append_own(EntryKind::Command(command));
        self.appended(ticket, index);
    }

    /// Appends an entry of the leader's own term and sends it; returns its index.
    pub(crate) fn append_own(&mut self, kind: EntryKind<C>) -> Index {
        let index = self.log.last().next();
        let term = self.hard.term;
        self.log.append(Entry { term, index, kind });
        self.replicate_all();
        index
    }

    pub(crate) fn appended(&mut self, ticket: Ticket, index: Index) {
        let term: Term = self.hard.term;
        self.out.answer(Effect::Appended {
            ticket,
            index,
            term,
        });
    }

    pub(crate) fn refuse(&mut self, ticket: Ticket, reason: Refused) {
        self.out.answer(Effect::Refused { ticket, reason });
    }

    pub(crate) fn not_leader(&self) -> Refused {
        Refused::NotLeader {
            leader: self.leader.clone(),
        }
    }
}
