//! Elections: timeouts, pre-vote, votes, check-quorum and leadership transfer.
//!
//! A node that misses its leader asks first whether it would be elected (pre-vote) and starts a
//! term only with a majority of such answers. A node that heard from a leader within the election
//! timeout ignores requests for votes, unless the leader itself asked for the transfer.
//!
//! A request from a node that isn't a member is considered only when its log is newer than this
//! node's: then it may hold a configuration that this node misses. A removed node never has a
//! newer log than the majority that committed its removal, so it can't raise the term of the
//! others.
//!
//! A voter refuses a witness whose log isn't newer than its own, since the voter can lead with
//! that log itself. So a witness leads only when no voter at hand has all that the witness has. It
//! waits twice as long as a voter before it campaigns, unless a voter with an older log asks for
//! its vote.

use greengage_core::{NodeId, SortedMap, Term, Time};

use crate::outbox::Gate;
use crate::progress::{quorum, Mode};
use crate::raft::{Raft, State, NEVER};
use crate::replication::Leadership;
use crate::{EntryKind, Message, Refused, Seat, Vote, VoteReply};

pub(crate) struct Candidacy {
    /// Whether this only asks; the term isn't started yet.
    pre: bool,
    /// Whether the leader asked for it.
    transfer: bool,
    votes: SortedMap<NodeId, bool>,
    /// When to ask the silent voters again.
    pub(crate) resend: Time,
}

/// A leadership transfer under way.
pub(crate) struct Transfer {
    to: NodeId,
    /// When the leader gives up and takes proposals again.
    pub(crate) deadline: Time,
    /// When the target was last asked to campaign.
    asked: Option<Time>,
}

impl<C: Clone, S: Clone> Raft<C, S> {
    /// Starts a new random election timeout; a witness waits twice as long.
    pub(crate) fn reset_deadline(&mut self) {
        let mut base = self.timing.election;
        if self.is_witness(&self.node) {
            base *= 2;
        }
        self.deadline = self.now + self.random.timeout(base);
    }

    pub(crate) fn tick_election(&mut self) {
        if self.now >= self.deadline {
            self.leader = None;
            if !self.is_voting(&self.node) {
                self.state = State::Follower;
                self.deadline = NEVER;
            } else if !self.out.hard_durable() {
                // A disk that hangs must not make the term grow with each timeout.
                self.reset_deadline();
            } else {
                self.campaign(self.timing.pre_vote, false);
            }
        }
        if let State::Candidate(candidacy) = &mut self.state {
            if self.now >= candidacy.resend {
                candidacy.resend = self.now + self.timing.heartbeat;
                self.request_votes();
            }
        }
    }

    fn campaign(&mut self, pre: bool, transfer: bool) {
        self.leader = None;
        self.reset_deadline();
        let mut votes = SortedMap::new();
        if pre {
            votes.insert(self.node.clone(), true);
        } else {
            self.start_term(self.hard.term.next());
            self.hard.vote = Some(self.node.clone());
            self.out.save_hard(&self.hard);
        }
        self.state = State::Candidate(Candidacy {
            pre,
            transfer,
            votes,
            resend: self.now + self.timing.heartbeat,
        });
        self.request_votes();
        self.count_votes();
    }

    fn request_votes(&mut self) {
        let State::Candidate(candidacy) = &self.state else {
            return;
        };
        let vote = Vote {
            term: match candidacy.pre {
                true => self.hard.term.next(),
                false => self.hard.term,
            },
            last_index: self.log.last(),
            last_term: self.log.last_term(),
            pre: candidacy.pre,
            transfer: candidacy.transfer,
        };
        for (node, seat) in self.log.config().members.iter() {
            if *node != self.node && *seat != Seat::Learner && !candidacy.votes.contains(node) {
                self.out
                    .send(Gate::Hard, node.clone(), Message::Vote(vote.clone()));
            }
        }
    }

    /// Whether a leader was heard so lately that no other one is needed.
    fn has_leader(&self) -> bool {
        match &self.state {
            State::Leader(_) => true,
            State::Follower | State::Candidate(_) => self
                .heard
                .is_some_and(|heard| self.now.since(heard) < self.timing.election),
        }
    }

    pub(crate) fn on_vote(&mut self, from: NodeId, vote: Vote) {
        let theirs = (vote.last_term, vote.last_index);
        let ours = (self.log.last_term(), self.log.last());
        let member = self.is_voting(&from);
        if !member && theirs <= ours {
            return;
        }
        let asked = vote.transfer && !vote.pre && member;
        if self.has_leader() && !asked {
            return;
        }
        let witness = self.is_witness(&from) && self.is_voter(&self.node);
        let fit = theirs > ours || theirs == ours && !witness;
        let granted = if vote.pre {
            fit && vote.term > self.hard.term
        } else {
            if vote.term > self.hard.term {
                self.become_follower(vote.term, None);
            }
            let free = match &self.hard.vote {
                Some(node) => *node == from,
                None => self.term_leader.is_none(),
            };
            let granted = fit && free && vote.term == self.hard.term;
            if granted {
                if self.hard.vote.is_none() {
                    self.hard.vote = Some(from.clone());
                    self.out.save_hard(&self.hard);
                }
                self.become_follower(vote.term, None);
                self.reset_deadline();
            }
            granted
        };
        let witness_needed = self.is_witness(&self.node) && self.is_voter(&from);
        let needed = theirs < ours && (witness_needed || !vote.pre && self.is_voter(&self.node));
        if needed && matches!(self.state, State::Follower) {
            // The candidate can't lead without this node's entries, but its request has ended
            // other candidacies. This node campaigns before the candidate's next timeout;
            // otherwise their votes can split again and again.
            let soon = self.now + self.random.timeout(self.timing.heartbeat);
            self.deadline = self.deadline.min(soon);
        }
        let reply = VoteReply {
            term: if granted { vote.term } else { self.hard.term },
            granted,
            pre: vote.pre,
        };
        self.out.send(Gate::Hard, from, Message::VoteReply(reply));
    }

    pub(crate) fn on_vote_reply(&mut self, from: NodeId, reply: VoteReply) {
        if !self.is_voting(&from) {
            return;
        }
        if !reply.granted && reply.term > self.hard.term {
            let asked = matches!(&self.state, State::Candidate(c) if c.pre);
            self.become_follower(reply.term, None);
            if asked {
                // Only the term was too low. Waiting for another timeout here cost a witness that
                // alone had all entries over 1 s.
                self.campaign(true, false);
            }
            return;
        }
        let State::Candidate(candidacy) = &mut self.state else {
            return;
        };
        let asked = match candidacy.pre {
            true => self.hard.term.next(),
            false => self.hard.term,
        };
        let current = if reply.granted {
            reply.term == asked
        } else {
            reply.term == self.hard.term
        };
        if candidacy.pre != reply.pre || !current {
            return;
        }
        candidacy.votes.insert(from, reply.granted);
        self.count_votes();
    }

    /// Counts the candidate's vote for itself once it is durable.
    pub(crate) fn count_own_vote(&mut self) {
        if let State::Candidate(candidacy) = &mut self.state {
            if !candidacy.pre && self.out.hard_durable() {
                candidacy.votes.insert(self.node.clone(), true);
                self.count_votes();
            }
        }
    }

    fn count_votes(&mut self) {
        let State::Candidate(candidacy) = &self.state else {
            return;
        };
        let granted = self.voting().map(|n| candidacy.votes.get(n) == Some(&true));
        if quorum(granted.collect()) != Some(true) {
            return;
        }
        if candidacy.pre {
            self.campaign(false, false);
        } else {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        assert!(
            self.out.hard_durable() && self.hard.vote.as_ref() == Some(&self.node),
            "a leader's own vote is durable"
        );
        assert!(self.term_leader.is_none(), "a term has one leader");
        self.leader = Some(self.node.clone());
        self.term_leader = self.leader.clone();
        let own = self.log.last().next();
        self.state = State::Leader(Leadership::new(own, self.now + self.timing.heartbeat));
        self.track_members(|| Mode::Replicate);
        self.append_own(EntryKind::Noop);
    }

    /// Enters a later term.
    fn start_term(&mut self, term: Term) {
        assert!(term > self.hard.term, "terms never fall");
        self.hard.term = term;
        self.hard.vote = None;
        self.term_leader = None;
        self.heard = None;
        self.out.save_hard(&self.hard);
        self.out.end_term();
    }

    /// Follows in `term`, which may be the present one.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<NodeId>) {
        if term > self.hard.term {
            self.start_term(term);
        }
        assert_eq!(term, self.hard.term, "terms never fall");
        if leader.is_some() {
            assert!(
                self.term_leader.is_none() || self.term_leader == leader,
                "a term has one leader"
            );
            self.term_leader = leader.clone();
        }
        self.leader = leader;
        match std::mem::replace(&mut self.state, State::Follower) {
            State::Follower | State::Candidate(_) => {}
            State::Leader(lead) => {
                self.reset_deadline();
                for read in lead.reads {
                    let reason = self.not_leader();
                    self.refuse(read.ticket, reason);
                }
            }
        }
    }

    /// Notes that the leader of `term` was heard.
    pub(crate) fn follow(&mut self, term: Term, leader: NodeId) {
        self.become_follower(term, Some(leader));
        self.heard = Some(self.now);
        self.reset_deadline();
    }

    /// When a leader that hears nothing more must step down.
    pub(crate) fn quorum_deadline(&self, lead: &Leadership) -> Time {
        let active = self.voting().map(|n| match lead.progress.get(n) {
            Some(progress) => progress.active + self.timing.election,
            None => NEVER,
        });
        quorum(active.collect()).unwrap_or(NEVER)
    }

    pub(crate) fn tick_leader(&mut self) {
        let State::Leader(lead) = &self.state else {
            return;
        };
        if self.now >= self.quorum_deadline(lead) {
            return self.become_follower(self.hard.term, None);
        }
        let beat = self.now >= lead.heartbeat;
        if let State::Leader(lead) = &mut self.state {
            if lead
                .transfer
                .as_ref()
                .is_some_and(|t| self.now >= t.deadline)
            {
                lead.transfer = None;
            }
            if beat {
                lead.heartbeat = self.now + self.timing.heartbeat;
            }
        }
        if beat {
            self.start_round(true);
            self.continue_transfer();
        }
    }

    /// Hands leadership to `to`, or to the voter that has most of the log.
    pub(crate) fn transfer(&mut self, to: Option<NodeId>) {
        let State::Leader(lead) = &self.state else {
            return;
        };
        if lead.transfer.is_some() {
            return;
        }
        let recent = self.now - self.timing.election;
        let best = lead
            .progress
            .iter()
            .filter(|(n, p)| self.is_voter(n) && p.active >= recent)
            .max_by_key(|(_, p)| p.matched)
            .map(|(n, _)| n.clone());
        let to = match to {
            Some(node) if node != self.node && self.is_voter(&node) => Some(node),
            Some(_) => None,
            None => best,
        };
        let deadline = self.now + self.timing.election;
        if let State::Leader(lead) = &mut self.state {
            lead.transfer = to.map(|to| Transfer {
                to,
                deadline,
                asked: None,
            });
        }
        self.continue_transfer();
    }

    /// Asks the target of a transfer to campaign once it has the whole log. A witness that leads
    /// starts a transfer when a voter has caught up.
    pub(crate) fn continue_transfer(&mut self) {
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        let last = self.log.last();
        let Some(transfer) = &mut lead.transfer else {
            let caught = |n: &NodeId| {
                self.log.config().members.get(n) == Some(&Seat::Voter)
                    && lead.progress.get(n).is_some_and(|p| p.matched == last)
            };
            let to = lead.progress.keys().find(|n| caught(n)).cloned();
            if to.is_some() && self.is_witness(&self.node) {
                self.transfer(to);
            }
            return;
        };
        let Some(progress) = lead.progress.get(&transfer.to) else {
            lead.transfer = None;
            return;
        };
        let asked = transfer
            .asked
            .is_some_and(|t| self.now.since(t) < self.timing.heartbeat);
        if progress.matched == last && progress.mode == Mode::Replicate && !asked {
            transfer.asked = Some(self.now);
            let term = self.hard.term;
            self.out.send(
                Gate::Open,
                transfer.to.clone(),
                Message::TimeoutNow { term },
            );
        }
    }

    pub(crate) fn on_timeout_now(&mut self, from: NodeId, term: Term) {
        let asked = term == self.hard.term && self.leader.as_ref() == Some(&from);
        if asked && self.is_voting(&self.node) && self.out.hard_durable() {
            self.campaign(false, true);
        }
    }

    /// Why this node appends no entries for callers: it doesn't lead, or is handing over.
    pub(crate) fn not_steady(&self) -> Option<Refused> {
        match &self.state {
            State::Leader(lead) if lead.transfer.is_some() => Some(Refused::Transferring),
            State::Leader(_) => None,
            State::Follower | State::Candidate(_) => Some(self.not_leader()),
        }
    }
}
