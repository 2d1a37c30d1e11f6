//! Replication: sending entries and snapshots, a follower's replies, and the commit rule.

use greengage_core::{Index, NodeId, SortedMap, Term, Time};

use crate::election::Transfer;
use crate::log::index_before;
use crate::outbox::SendAfter;
use crate::progress::{majority_value, Batch, Mode, Progress, SNAPSHOT_RETRY_TIMEOUTS};
use crate::raft::{Raft, State};
use crate::read::PendingRead;
use crate::{AppendReply, AppendRequest, InstallSnapshotReply, Message, Snapshot};

pub(crate) struct LeaderState {
    /// The replication state of every other member.
    pub(crate) progress: SortedMap<NodeId, Progress>,
    /// The number of the last heartbeat round started in this term.
    pub(crate) round: u64,
    /// When the next heartbeat is due.
    pub(crate) next_heartbeat: Time,
    /// The index of the first entry of the leader's term.
    pub(crate) term_start: Index,
    pub(crate) reads: Vec<PendingRead>,
    pub(crate) transfer: Option<Transfer>,
}

impl LeaderState {
    pub(crate) fn new(term_start: Index, next_heartbeat: Time) -> LeaderState {
        LeaderState {
            progress: SortedMap::new(),
            round: 0,
            next_heartbeat,
            term_start,
            reads: Vec::new(),
            transfer: None,
        }
    }
}

/// Bytes of commands in one message, unless its first command has more.
const BATCH_BYTES: u64 = 2 << 20;

impl<C: Clone, S: Clone> Raft<C, S> {
    pub(crate) fn replicate_all(&mut self) {
        for node in self.other_members() {
            self.replicate(&node);
        }
    }

    /// The members other than this leader; empty if this node doesn't lead.
    fn other_members(&self) -> Vec<NodeId> {
        match &self.state {
            State::Leader(leader) => leader.progress.keys().cloned().collect(),
            State::Follower | State::Candidate(_) => Vec::new(),
        }
    }

    /// Sends entries while the member accepts batches, or the snapshot if it is due.
    pub(crate) fn replicate(&mut self, to: &NodeId) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(to) else {
            return;
        };
        while progress.mode == Mode::Replicate
            && progress.accepts_batch()
            && progress.next_index <= self.log.last_index()
        {
            let prev_index = index_before(progress.next_index);
            let Some(prev_term) = self.log.term(prev_index) else {
                progress.mode = Mode::Snapshot { sent_at: None };
                break;
            };
            let entries = self
                .log
                .batch(progress.next_index, self.batch_entries, BATCH_BYTES);
            let last = Index(prev_index.0 + entries.len() as u64);
            let bytes = self.log.bytes_between(prev_index, last);
            progress.inflight.push_back(Batch { last, bytes });
            progress.next_index = last.next();
            let append = AppendRequest {
                term: self.hard_state.term,
                prev_index,
                prev_term,
                entries,
                commit: self.log.commit_index(),
                round: leader.round,
            };
            self.outbox.send(
                SendAfter::Nothing,
                to.clone(),
                Message::AppendRequest(append),
            );
        }
        // Only an active member gets a snapshot; sending it to an unreachable one wastes bandwidth.
        if let Mode::Snapshot { sent_at } = &mut progress.mode {
            let retry_after = self.timing.min_election_timeout * SNAPSHOT_RETRY_TIMEOUTS;
            let send_due = sent_at.is_none_or(|s| self.now.since(s) >= retry_after);
            if send_due && self.now.since(progress.last_active) < self.timing.min_election_timeout {
                *sent_at = Some(self.now);
                let snapshot = self.log.snapshot().cloned();
                let snapshot = snapshot.expect("entries are dropped only below a snapshot");
                let term = self.hard_state.term;
                self.outbox.send(
                    SendAfter::Nothing,
                    to.clone(),
                    Message::InstallSnapshot { term, snapshot },
                );
            }
        }
    }

    /// Starts a heartbeat round to all members, or only to voters and witnesses.
    pub(crate) fn start_heartbeat_round(&mut self, all_members: bool) {
        if let State::Leader(leader) = &mut self.state {
            leader.round += 1;
        }
        for node in self.other_members() {
            if all_members || self.is_voting(&node) {
                self.send_heartbeat(&node);
            }
            if all_members {
                self.replicate(&node);
            }
        }
        self.confirm_reads();
    }

    /// Sends an empty `AppendRequest`, which in `Mode::Probe` also probes at `next_index`.
    pub(crate) fn send_heartbeat(&mut self, to: &NodeId) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(to) else {
            return;
        };
        let needs_snapshot = matches!(progress.mode, Mode::Snapshot { .. });
        if !needs_snapshot && self.log.term(index_before(progress.next_index)).is_none() {
            progress.mode = Mode::Snapshot { sent_at: None };
        }
        let prev_index = match progress.mode {
            Mode::Snapshot { .. } => self.log.snapshot_index(),
            Mode::Probe | Mode::Replicate => index_before(progress.next_index),
        };
        let append = AppendRequest {
            term: self.hard_state.term,
            prev_index,
            prev_term: self.log.term(prev_index).expect("the index is in memory"),
            entries: Vec::new(),
            commit: self.log.commit_index(),
            round: leader.round,
        };
        self.outbox.send(
            SendAfter::Nothing,
            to.clone(),
            Message::AppendRequest(append),
        );
    }

    pub(crate) fn on_append(&mut self, from: NodeId, append: AppendRequest<C>) {
        if append.term < self.hard_state.term {
            return self.reply_append(
                from,
                SendAfter::HardState,
                false,
                self.log.last_index(),
                append.round,
            );
        }
        self.follow_leader(append.term, from.clone());
        let prev = append.prev_index;
        if prev > self.log.commit_index() {
            match self.log.term(prev) {
                Some(term) if term == append.prev_term => {}
                local_term => {
                    let conflict_hint = self.conflict_hint(prev, local_term);
                    return self.reply_append(
                        from,
                        SendAfter::HardState,
                        false,
                        conflict_hint,
                        append.round,
                    );
                }
            }
        }
        let send_after = match append.entries.is_empty() {
            true => SendAfter::HardState,
            false => SendAfter::AllSaves,
        };
        let last = Index(prev.0 + append.entries.len() as u64);
        for entry in append.entries {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.log.truncate(entry.index),
                None if entry.index <= self.log.commit_index() => continue,
                None => {}
            }
            self.log.append(entry);
        }
        let last = last.max(self.log.commit_index());
        let commit = append.commit.min(last);
        if commit > self.log.commit_index() {
            self.log.commit_to(commit);
        }
        let index = match send_after {
            SendAfter::AllSaves => last,
            SendAfter::Nothing | SendAfter::HardState => last.min(self.log.durable_index()),
        };
        self.reply_append(from, send_after, true, index, append.round);
    }

    /// The last index at which the logs may match if they don't match at `prev`. Skips all
    /// entries of the conflicting term at once.
    fn conflict_hint(&self, prev: Index, local_term: Option<Term>) -> Index {
        let Some(conflict_term) = local_term else {
            return self.log.last_index().min(index_before(prev));
        };
        let mut hint = index_before(prev);
        while hint > self.log.commit_index() && self.log.term(hint) == Some(conflict_term) {
            hint = index_before(hint);
        }
        hint
    }

    fn reply_append(
        &mut self,
        to: NodeId,
        send_after: SendAfter,
        success: bool,
        index: Index,
        round: u64,
    ) {
        let reply = AppendReply {
            term: self.hard_state.term,
            success,
            index,
            round,
        };
        self.outbox
            .send(send_after, to, Message::AppendReply(reply));
    }

    /// Checks a reply's sender, term and index and marks the member active; `false` if stale.
    fn accept_reply(&mut self, from: &NodeId, term: Term, index: Index) -> bool {
        let State::Leader(leader) = &mut self.state else {
            return false;
        };
        let Some(progress) = leader.progress.get_mut(from) else {
            return false;
        };
        if term > self.hard_state.term {
            self.become_follower(term, None);
            return false;
        }
        if term < self.hard_state.term || index > self.log.last_index() {
            // A member's log can't be longer than its leader's unless a data folder was replaced.
            // Such a member counts as unresponsive; otherwise it would stop each leader in turn.
            return false;
        }
        if self.now.since(progress.last_active) >= self.timing.min_election_timeout {
            // The member was unreachable, so a snapshot in flight is likely lost.
            if let Mode::Snapshot { sent_at } = &mut progress.mode {
                *sent_at = None;
            }
        }
        progress.last_active = self.now;
        true
    }

    pub(crate) fn on_append_reply(&mut self, from: NodeId, reply: AppendReply) {
        if !self.accept_reply(&from, reply.term, reply.index) {
            return;
        }
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.acked_round = progress.acked_round.max(reply.round);
        let mut send_probe = false;
        if reply.success {
            progress.record_match(reply.index);
            progress.resume(self.log.snapshot_index());
        } else {
            send_probe = progress.record_rejection(reply.index);
        }
        if send_probe {
            self.send_heartbeat(&from);
        }
        self.after_reply(&from);
    }

    pub(crate) fn on_install_reply(&mut self, from: NodeId, reply: InstallSnapshotReply) {
        if !self.accept_reply(&from, reply.term, reply.index) {
            return;
        }
        if let State::Leader(leader) = &mut self.state {
            if let Some(progress) = leader.progress.get_mut(&from) {
                progress.record_match(reply.index);
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

    /// Commits up to the index durable on a majority if its entry is of the leader's term.
    pub(crate) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let durable = self.voting_members().map(|n| match leader.progress.get(n) {
            Some(progress) => progress.match_index,
            None => self.log.durable_index(),
        });
        let Some(index) = majority_value(durable.collect()) else {
            return;
        };
        if index <= self.log.commit_index() || self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        self.log.commit_to(index);
        self.confirm_reads();
        if !self.log.config().members.contains(&self.node)
            && self.log.config_index() <= self.log.commit_index()
        {
            // The removal of this node is committed: notify the other members and step down.
            self.start_heartbeat_round(true);
            self.become_follower(self.hard_state.term, None);
        }
    }

    pub(crate) fn on_install(&mut self, from: NodeId, term: Term, snapshot: Snapshot<S>) {
        if term < self.hard_state.term {
            let last = self.log.last_index();
            return self.reply_append(from, SendAfter::HardState, false, last, 0);
        }
        self.follow_leader(term, from.clone());
        let index = snapshot.index;
        if index > self.log.commit_index() {
            if self.log.term(index) == Some(snapshot.term) {
                self.log.commit_to(index);
            } else {
                self.log.install(snapshot.clone());
                self.outbox.restore(snapshot);
            }
        }
        let reply = InstallSnapshotReply {
            term: self.hard_state.term,
            index,
        };
        self.outbox.send(
            SendAfter::AllSaves,
            from,
            Message::InstallSnapshotReply(reply),
        );
    }
}
