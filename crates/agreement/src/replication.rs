//! Replication: the leader's stream of entries and snapshots, and a follower's answers.

use greengage_core::{Index, NodeId, SortedMap, Term, Time};

use crate::election::Transfer;
use crate::log::before;
use crate::outbox::Gate;
use crate::progress::{quorum, Mode, Progress, BATCH_ENTRIES, SNAPSHOT_TIMEOUTS, WINDOW_BATCHES};
use crate::raft::{Raft, State};
use crate::read::PendingRead;
use crate::{Append, AppendReply, InstallReply, Message, Snapshot};

pub(crate) struct Leadership {
    /// All other members.
    pub(crate) progress: SortedMap<NodeId, Progress>,
    /// The last heartbeat round.
    pub(crate) round: u64,
    /// When the next heartbeat is due.
    pub(crate) heartbeat: Time,
    /// The first entry of the leader's term.
    pub(crate) own: Index,
    pub(crate) reads: Vec<PendingRead>,
    pub(crate) transfer: Option<Transfer>,
}

impl Leadership {
    pub(crate) fn new(own: Index, heartbeat: Time) -> Leadership {
        Leadership {
            progress: SortedMap::new(),
            round: 0,
            heartbeat,
            own,
            reads: Vec::new(),
            transfer: None,
        }
    }
}

impl<C: Clone, S: Clone> Raft<C, S> {
    pub(crate) fn replicate_all(&mut self) {
        for node in self.others() {
            self.replicate(&node);
        }
    }

    /// The members other than the leader.
    fn others(&self) -> Vec<NodeId> {
        match &self.state {
            State::Leader(lead) => lead.progress.keys().cloned().collect(),
            State::Follower | State::Candidate(_) => Vec::new(),
        }
    }

    /// Sends what the window allows.
    pub(crate) fn replicate(&mut self, to: &NodeId) {
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(to) else {
            return;
        };
        while progress.mode == Mode::Replicate
            && progress.inflight.len() < WINDOW_BATCHES
            && progress.next <= self.log.last()
        {
            let prev_index = before(progress.next);
            let Some(prev_term) = self.log.term(prev_index) else {
                progress.mode = Mode::Snapshot { sent: None };
                break;
            };
            let entries = self.log.slice(progress.next, BATCH_ENTRIES);
            let last = Index(prev_index.0 + entries.len() as u64);
            progress.inflight.push_back(last);
            progress.next = last.next();
            let append = Append {
                term: self.hard.term,
                prev_index,
                prev_term,
                entries,
                commit: self.log.commit(),
                round: lead.round,
            };
            self.out
                .send(Gate::Open, to.clone(), Message::Append(append));
        }
        // A snapshot goes only to a member that answers: a dead one would get it in vain.
        if let Mode::Snapshot { sent } = &mut progress.mode {
            let wait = self.timing.election * SNAPSHOT_TIMEOUTS;
            let due = sent.is_none_or(|s| self.now.since(s) >= wait);
            if due && self.now.since(progress.active) < self.timing.election {
                *sent = Some(self.now);
                let snapshot = self.log.snapshot().cloned();
                let snapshot = snapshot.expect("entries are dropped only below a snapshot");
                let term = self.hard.term;
                self.out
                    .send(Gate::Open, to.clone(), Message::Install { term, snapshot });
            }
        }
    }

    /// Starts a heartbeat round to all members, or only to those that vote.
    pub(crate) fn start_round(&mut self, all: bool) {
        if let State::Leader(lead) = &mut self.state {
            lead.round += 1;
        }
        for node in self.others() {
            if all || self.is_voting(&node) {
                self.heartbeat(&node);
            }
            if all {
                self.replicate(&node);
            }
        }
        self.confirm_reads();
    }

    /// Sends an empty `Append`; in `Mode::Probe` it also looks for the last matching entry.
    pub(crate) fn heartbeat(&mut self, to: &NodeId) {
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(to) else {
            return;
        };
        let snapshot = matches!(progress.mode, Mode::Snapshot { .. });
        if !snapshot && self.log.term(before(progress.next)).is_none() {
            progress.mode = Mode::Snapshot { sent: None };
        }
        let prev_index = match progress.mode {
            Mode::Snapshot { .. } => self.log.snapshot_index(),
            Mode::Probe | Mode::Replicate => before(progress.next),
        };
        let append = Append {
            term: self.hard.term,
            prev_index,
            prev_term: self.log.term(prev_index).expect("the index is in memory"),
            entries: Vec::new(),
            commit: self.log.commit(),
            round: lead.round,
        };
        self.out
            .send(Gate::Open, to.clone(), Message::Append(append));
    }

    pub(crate) fn on_append(&mut self, from: NodeId, append: Append<C>) {
        if append.term < self.hard.term {
            return self.reply_append(from, Gate::Hard, false, self.log.last(), append.round);
        }
        self.follow(append.term, from.clone());
        let prev = append.prev_index;
        if prev > self.log.commit() {
            match self.log.term(prev) {
                Some(term) if term == append.prev_term => {}
                found => {
                    let hint = self.hint(prev, found);
                    return self.reply_append(from, Gate::Hard, false, hint, append.round);
                }
            }
        }
        let gate = match append.entries.is_empty() {
            true => Gate::Hard,
            false => Gate::All,
        };
        let last = Index(prev.0 + append.entries.len() as u64);
        for entry in append.entries {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.log.truncate(entry.index),
                None if entry.index <= self.log.commit() => continue,
                None => {}
            }
            self.log.append(entry);
        }
        let last = last.max(self.log.commit());
        let commit = append.commit.min(last);
        if commit > self.log.commit() {
            self.log.commit_to(commit);
        }
        let index = match gate {
            Gate::All => last,
            Gate::Open | Gate::Hard => last.min(self.log.durable()),
        };
        self.reply_append(from, gate, true, index, append.round);
    }

    /// The last index where the leader's log may still match when the entry at `prev` doesn't:
    /// skips all entries of the conflicting term at once.
    fn hint(&self, prev: Index, found: Option<Term>) -> Index {
        let Some(conflict) = found else {
            return self.log.last().min(before(prev));
        };
        let mut hint = before(prev);
        while hint > self.log.commit() && self.log.term(hint) == Some(conflict) {
            hint = before(hint);
        }
        hint
    }

    fn reply_append(&mut self, to: NodeId, gate: Gate, success: bool, index: Index, round: u64) {
        let reply = AppendReply {
            term: self.hard.term,
            success,
            index,
            round,
        };
        self.out.send(gate, to, Message::AppendReply(reply));
    }

    /// Takes a reply's term and sender into account; `false` when the reply is of no use.
    fn answered(&mut self, from: &NodeId, term: Term, index: Index) -> bool {
        let State::Leader(lead) = &mut self.state else {
            return false;
        };
        let Some(progress) = lead.progress.get_mut(from) else {
            return false;
        };
        if term > self.hard.term {
            self.become_follower(term, None);
            return false;
        }
        if term < self.hard.term || index > self.log.last() {
            // A member can't have more than its leader unless a data folder was replaced; such a
            // member counts as silent rather than stopping each leader in turn.
            return false;
        }
        if self.now.since(progress.active) >= self.timing.election {
            // The member was away, so a snapshot that was on its way is likely lost.
            if let Mode::Snapshot { sent } = &mut progress.mode {
                *sent = None;
            }
        }
        progress.active = self.now;
        true
    }

    pub(crate) fn on_append_reply(&mut self, from: NodeId, reply: AppendReply) {
        if !self.answered(&from, reply.term, reply.index) {
            return;
        }
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(&from) else {
            return;
        };
        progress.round = progress.round.max(reply.round);
        let mut probe = false;
        if reply.success {
            progress.matched(reply.index);
            progress.resume(self.log.snapshot_index());
        } else {
            probe = progress.rejected(reply.index);
        }
        if probe {
            self.heartbeat(&from);
        }
        self.after_reply(&from);
    }

    pub(crate) fn on_install_reply(&mut self, from: NodeId, reply: InstallReply) {
        if !self.answered(&from, reply.term, reply.index) {
            return;
        }
        if let State::Leader(lead) = &mut self.state {
            if let Some(progress) = lead.progress.get_mut(&from) {
                progress.matched(reply.index);
                progress.resume(reply.index);
            }
        }
        self.after_reply(&from);
    }

    fn after_reply(&mut self, from: &NodeId) {
        self.advance_commit();
        self.confirm_reads();
        self.replicate(from);
        self.continue_transfer();
    }

    /// Commits what a majority has durable, if its last entry is of the leader's own term.
    pub(crate) fn advance_commit(&mut self) {
        let State::Leader(lead) = &self.state else {
            return;
        };
        let stored = self.voting().map(|n| match lead.progress.get(n) {
            Some(progress) => progress.matched,
            None => self.log.durable(),
        });
        let Some(index) = quorum(stored.collect()) else {
            return;
        };
        if index <= self.log.commit() || self.log.term(index) != Some(self.hard.term) {
            return;
        }
        self.log.commit_to(index);
        self.confirm_reads();
        if !self.log.config().members.contains(&self.node)
            && self.log.config_index() <= self.log.commit()
        {
            // The removal of this node is committed: tell the others and step down.
            self.start_round(true);
            self.become_follower(self.hard.term, None);
        }
    }

    pub(crate) fn on_install(&mut self, from: NodeId, term: Term, snapshot: Snapshot<S>) {
        if term < self.hard.term {
            let last = self.log.last();
            return self.reply_append(from, Gate::Hard, false, last, 0);
        }
        self.follow(term, from.clone());
        let index = snapshot.index;
        if index > self.log.commit() {
            if self.log.term(index) == Some(snapshot.term) {
                self.log.commit_to(index);
            } else {
                self.log.install(snapshot.clone());
                self.out.restore(snapshot);
            }
        }
        let reply = InstallReply {
            term: self.hard.term,
            index,
        };
        self.out.send(Gate::All, from, Message::InstallReply(reply));
    }
}
