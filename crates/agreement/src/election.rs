//! Elections: timeouts, pre-vote, votes, check-quorum and leadership transfer.
//!
//! A node whose election timeout expires first holds a pre-vote and starts a new term only if a
//! majority would vote for it. A node that received a message from a leader within the election
//! timeout ignores vote requests, unless the candidate campaigns for a leadership transfer.
//!
//! A vote request from a non-member is considered only if the candidate's log is newer than this
//! node's, because the candidate may then hold a configuration that this node lacks. A removed
//! node never has a newer log than the majority that committed its removal, so it can't raise the
//! term of the remaining members.
//!
//! A voter rejects a witness whose log isn't newer than its own, since the voter can lead with
//! that log itself. A witness therefore leads only if no reachable voter has all of its entries.
//! Its election timeout is twice that of a voter, unless a voter with an older log requests its
//! vote.

use greengage_core::{NodeId, SortedMap, Term, Time};

use crate::outbox::SendAfter;
use crate::progress::{majority_value, Mode};
use crate::raft::{Raft, State, NEVER};
use crate::replication::LeaderState;
use crate::{EntryKind, MemberRole, Message, RefusalReason, VoteReply, VoteRequest};

pub(crate) struct CandidateState {
    /// Whether this is a pre-vote, which doesn't start a new term.
    pre_vote: bool,
    /// Whether the leader requested the campaign in order to transfer leadership.
    transfer: bool,
    votes: SortedMap<NodeId, bool>,
    /// When to resend the request to voters that haven't replied.
    pub(crate) resend_at: Time,
}

/// A leadership transfer in progress.
pub(crate) struct Transfer {
    transferee: NodeId,
    /// When the leader aborts the transfer and accepts proposals again.
    pub(crate) deadline: Time,
    /// When the last `TimeoutNow` was sent; `None` before the first one.
    requested_at: Option<Time>,
}

impl<C: Clone, S: Clone> Raft<C, S> {
    /// Restarts the election timer with a random timeout, doubled for a witness.
    pub(crate) fn reset_election_timer(&mut self) {
        let mut base = self.timing.min_election_timeout;
        if self.is_witness(&self.node) {
            base *= 2;
        }
        self.election_deadline = self.now + self.random.timeout(base);
    }

    pub(crate) fn tick_election(&mut self) {
        if self.now >= self.election_deadline {
            self.leader = None;
            if !self.is_voting(&self.node) {
                self.state = State::Follower;
                self.election_deadline = NEVER;
            } else if !self.outbox.hard_state_durable() {
                // While the disk hangs, repeated timeouts must not raise the term.
                self.reset_election_timer();
            } else {
                self.campaign(self.timing.pre_vote, false);
            }
        }
        if let State::Candidate(candidate) = &mut self.state {
            if self.now >= candidate.resend_at {
                candidate.resend_at = self.now + self.timing.heartbeat_interval;
                self.request_votes();
            }
        }
    }

    fn campaign(&mut self, pre_vote: bool, transfer: bool) {
        self.leader = None;
        self.reset_election_timer();
        let mut votes = SortedMap::new();
        if pre_vote {
            votes.insert(self.node.clone(), true);
        } else {
            self.start_term(self.hard_state.term.next());
            self.hard_state.vote = Some(self.node.clone());
            self.outbox.save_hard_state(&self.hard_state);
        }
        self.state = State::Candidate(CandidateState {
            pre_vote,
            transfer,
            votes,
            resend_at: self.now + self.timing.heartbeat_interval,
        });
        self.request_votes();
        self.count_votes();
    }

    fn request_votes(&mut self) {
        let State::Candidate(candidate) = &self.state else {
            return;
        };
        let vote = VoteRequest {
            term: match candidate.pre_vote {
                true => self.hard_state.term.next(),
                false => self.hard_state.term,
            },
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            pre_vote: candidate.pre_vote,
            transfer: candidate.transfer,
        };
        for (node, seat) in self.log.config().members.iter() {
            if *node != self.node && *seat != MemberRole::Learner && !candidate.votes.contains(node)
            {
                self.outbox.send(
                    SendAfter::HardState,
                    node.clone(),
                    Message::VoteRequest(vote.clone()),
                );
            }
        }
    }

    /// Whether this node leads or heard from a leader within the election timeout.
    fn leader_is_active(&self) -> bool {
        match &self.state {
            State::Leader(_) => true,
            State::Follower | State::Candidate(_) => {
                self.last_contact.is_some_and(|last_contact| {
                    self.now.since(last_contact) < self.timing.min_election_timeout
                })
            }
        }
    }

    pub(crate) fn on_vote(&mut self, from: NodeId, vote: VoteRequest) {
        let candidate_log = (vote.last_term, vote.last_index);
        let own_log = (self.log.last_term(), self.log.last_index());
        let member = self.is_voting(&from);
        if !member && candidate_log <= own_log {
            return;
        }
        let by_transfer = vote.transfer && !vote.pre_vote && member;
        if self.leader_is_active() && !by_transfer {
            return;
        }
        let witness_to_voter = self.is_witness(&from) && self.is_voter(&self.node);
        let log_up_to_date =
            candidate_log > own_log || candidate_log == own_log && !witness_to_voter;
        let granted = if vote.pre_vote {
            log_up_to_date && vote.term > self.hard_state.term
        } else {
            if vote.term > self.hard_state.term {
                self.become_follower(vote.term, None);
            }
            let vote_available = match &self.hard_state.vote {
                Some(node) => *node == from,
                None => self.term_leader.is_none(),
            };
            let granted = log_up_to_date && vote_available && vote.term == self.hard_state.term;
            if granted {
                if self.hard_state.vote.is_none() {
                    self.hard_state.vote = Some(from.clone());
                    self.outbox.save_hard_state(&self.hard_state);
                }
                self.become_follower(vote.term, None);
                self.reset_election_timer();
            }
            granted
        };
        let witness_ahead = self.is_witness(&self.node) && self.is_voter(&from);
        let must_campaign = candidate_log < own_log
            && (witness_ahead || !vote.pre_vote && self.is_voter(&self.node));
        if must_campaign && matches!(self.state, State::Follower) {
            // The candidate can't win without this node's entries, but its higher term has ended
            // the campaigns of other nodes. This node campaigns before the candidate's next
            // timeout; otherwise votes can split repeatedly.
            let deadline = self.now + self.random.timeout(self.timing.heartbeat_interval);
            self.election_deadline = self.election_deadline.min(deadline);
        }
        let reply = VoteReply {
            term: if granted {
                vote.term
            } else {
                self.hard_state.term
            },
            granted,
            pre_vote: vote.pre_vote,
        };
        self.outbox
            .send(SendAfter::HardState, from, Message::VoteReply(reply));
    }

    pub(crate) fn on_vote_reply(&mut self, from: NodeId, reply: VoteReply) {
        if !self.is_voting(&from) {
            return;
        }
        if !reply.granted && reply.term > self.hard_state.term {
            let was_pre_vote = matches!(&self.state, State::Candidate(c) if c.pre_vote);
            self.become_follower(reply.term, None);
            if was_pre_vote {
                // Only the term was too low, so retry at once. Waiting for another timeout
                // delayed the election of a witness that alone had all entries by over 1 s.
                self.campaign(true, false);
            }
            return;
        }
        let State::Candidate(candidate) = &mut self.state else {
            return;
        };
        let requested_term = match candidate.pre_vote {
            true => self.hard_state.term.next(),
            false => self.hard_state.term,
        };
        let term_matches = if reply.granted {
            reply.term == requested_term
        } else {
            reply.term == self.hard_state.term
        };
        if candidate.pre_vote != reply.pre_vote || !term_matches {
            return;
        }
        candidate.votes.insert(from, reply.granted);
        self.count_votes();
    }

    /// Counts the candidate's vote for itself once it is durable.
    pub(crate) fn count_own_vote(&mut self) {
        if let State::Candidate(candidate) = &mut self.state {
            if !candidate.pre_vote && self.outbox.hard_state_durable() {
                candidate.votes.insert(self.node.clone(), true);
                self.count_votes();
            }
        }
    }

    fn count_votes(&mut self) {
        let State::Candidate(candidate) = &self.state else {
            return;
        };
        let granted = self
            .voting_members()
            .map(|n| candidate.votes.get(n) == Some(&true));
        if majority_value(granted.collect()) != Some(true) {
            return;
        }
        if candidate.pre_vote {
            self.campaign(false, false);
        } else {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        assert!(
            self.outbox.hard_state_durable() && self.hard_state.vote.as_ref() == Some(&self.node),
            "a candidate's own vote must be durable before it leads"
        );
        assert!(self.term_leader.is_none(), "a term has at most one leader");
        self.leader = Some(self.node.clone());
        self.term_leader = self.leader.clone();
        let term_start = self.log.last_index().next();
        self.state = State::Leader(LeaderState::new(
            term_start,
            self.now + self.timing.heartbeat_interval,
        ));
        self.track_members(|| Mode::Replicate);
        self.append_as_leader(EntryKind::Noop);
    }

    /// Enters a later term and discards the vote and the leader of the previous one.
    fn start_term(&mut self, term: Term) {
        assert!(term > self.hard_state.term, "a term must not decrease");
        self.hard_state.term = term;
        self.hard_state.vote = None;
        self.term_leader = None;
        self.last_contact = None;
        self.outbox.save_hard_state(&self.hard_state);
        self.outbox.discard_deferred();
    }

    /// Becomes a follower in `term`, which may be the current one. Pending reads are refused.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<NodeId>) {
        if term > self.hard_state.term {
            self.start_term(term);
        }
        assert_eq!(term, self.hard_state.term, "a term must not decrease");
        if leader.is_some() {
            assert!(
                self.term_leader.is_none() || self.term_leader == leader,
                "a term has at most one leader"
            );
            self.term_leader = leader.clone();
        }
        self.leader = leader;
        match std::mem::replace(&mut self.state, State::Follower) {
            State::Follower | State::Candidate(_) => {}
            State::Leader(leader) => {
                self.reset_election_timer();
                for read in leader.reads {
                    let reason = self.not_leader();
                    self.refuse(read.ticket, reason);
                }
            }
        }
    }

    /// Handles contact from the leader of `term`: follows it and restarts the election timer.
    pub(crate) fn follow_leader(&mut self, term: Term, leader: NodeId) {
        self.become_follower(term, Some(leader));
        self.last_contact = Some(self.now);
        self.reset_election_timer();
    }

    /// When the leader must step down unless more members reply (check-quorum).
    pub(crate) fn quorum_deadline(&self, leader: &LeaderState) -> Time {
        let deadlines = self.voting_members().map(|n| match leader.progress.get(n) {
            Some(progress) => progress.last_active + self.timing.min_election_timeout,
            None => NEVER,
        });
        majority_value(deadlines.collect()).unwrap_or(NEVER)
    }

    pub(crate) fn tick_leader(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        if self.now >= self.quorum_deadline(leader) {
            return self.become_follower(self.hard_state.term, None);
        }
        let heartbeat_due = self.now >= leader.next_heartbeat;
        if let State::Leader(leader) = &mut self.state {
            if leader
                .transfer
                .as_ref()
                .is_some_and(|t| self.now >= t.deadline)
            {
                leader.transfer = None;
            }
            if heartbeat_due {
                leader.next_heartbeat = self.now + self.timing.heartbeat_interval;
            }
        }
        if heartbeat_due {
            self.start_heartbeat_round(true);
            self.continue_transfer();
        }
    }

    /// Starts a leadership transfer to `to`, or to the active voter with the highest match index.
    pub(crate) fn transfer(&mut self, to: Option<NodeId>) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        if leader.transfer.is_some() {
            return;
        }
        let active_since = self.now - self.timing.min_election_timeout;
        let best_voter = leader
            .progress
            .iter()
            .filter(|(n, p)| self.is_voter(n) && p.last_active >= active_since)
            .max_by_key(|(_, p)| p.match_index)
            .map(|(n, _)| n.clone());
        let transferee = match to {
            Some(node) if node != self.node && self.is_voter(&node) => Some(node),
            Some(_) => None,
            None => best_voter,
        };
        let deadline = self.now + self.timing.min_election_timeout;
        if let State::Leader(leader) = &mut self.state {
            leader.transfer = transferee.map(|transferee| Transfer {
                transferee,
                deadline,
                requested_at: None,
            });
        }
        self.continue_transfer();
    }

    /// Sends `TimeoutNow` to the transferee once it has the whole log. A witness that leads starts
    /// a transfer as soon as a voter has caught up.
    pub(crate) fn continue_transfer(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let last = self.log.last_index();
        let Some(transfer) = &mut leader.transfer else {
            let caught_up = |n: &NodeId| {
                self.log.config().members.get(n) == Some(&MemberRole::Voter)
                    && leader
                        .progress
                        .get(n)
                        .is_some_and(|p| p.match_index == last)
            };
            let to = leader.progress.keys().find(|n| caught_up(n)).cloned();
            if to.is_some() && self.is_witness(&self.node) {
                self.transfer(to);
            }
            return;
        };
        let Some(progress) = leader.progress.get(&transfer.transferee) else {
            leader.transfer = None;
            return;
        };
        let recently_requested = transfer
            .requested_at
            .is_some_and(|t| self.now.since(t) < self.timing.heartbeat_interval);
        if progress.match_index == last && progress.mode == Mode::Replicate && !recently_requested {
            transfer.requested_at = Some(self.now);
            let term = self.hard_state.term;
            self.outbox.send(
                SendAfter::Nothing,
                transfer.transferee.clone(),
                Message::TimeoutNow { term },
            );
        }
    }

    pub(crate) fn on_timeout_now(&mut self, from: NodeId, term: Term) {
        let from_leader = term == self.hard_state.term && self.leader.as_ref() == Some(&from);
        if from_leader && self.is_voting(&self.node) && self.outbox.hard_state_durable() {
            self.campaign(false, true);
        }
    }

    /// Why this node refuses proposals and changes: it doesn't lead, or transfers leadership.
    pub(crate) fn proposal_refusal(&self) -> Option<RefusalReason> {
        match &self.state {
            State::Leader(leader) if leader.transfer.is_some() => Some(RefusalReason::Transferring),
            State::Leader(_) => None,
            State::Follower | State::Candidate(_) => Some(self.not_leader()),
        }
    }
}
