//! Read index: linearizable reads without an entry in the log.
//!
//! A read waits for a heartbeat round that starts after the read arrived. Replies from a majority
//! show that no later leader had been elected when the round started, so the commit index covers
//! every earlier write, provided that the leader has committed an entry of its own term. Reads that
//! arrive during a round share the next one, so the number of messages doesn't depend on the number
//! of reads.

use crate::progress::majority_value;
use crate::raft::{Raft, State};
use crate::{Effect, Ticket};

pub(crate) struct PendingRead {
    pub(crate) ticket: Ticket,
    /// The first heartbeat round that confirms the read.
    round: u64,
}

impl<C: Clone, S: Clone> Raft<C, S> {
    pub(crate) fn read(&mut self, ticket: Ticket) {
        let State::Leader(leader) = &mut self.state else {
            return self.refuse(ticket, self.not_leader());
        };
        let round = leader.round + 1;
        let round_pending = leader.reads.iter().any(|r| r.round == leader.round);
        leader.reads.push(PendingRead { ticket, round });
        if !round_pending {
            self.start_heartbeat_round(false);
        }
    }

    /// Completes the reads whose round a majority has acknowledged.
    pub(crate) fn confirm_reads(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let commit = self.log.commit_index();
        if leader.reads.is_empty() || leader.term_start > commit {
            return;
        }
        let rounds = self.voting_members().map(|n| match leader.progress.get(n) {
            Some(progress) => progress.acked_round,
            None => leader.round,
        });
        let Some(confirmed_round) = majority_value(rounds.collect()) else {
            return;
        };
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let (confirmed, waiting) = std::mem::take(&mut leader.reads)
            .into_iter()
            .partition(|r| r.round <= confirmed_round);
        leader.reads = waiting;
        let confirmed: Vec<PendingRead> = confirmed;
        let start_next =
            !confirmed.is_empty() && leader.reads.iter().any(|r| r.round > leader.round);
        for read in confirmed {
            self.outbox.read_ready(Effect::ReadReady {
                ticket: read.ticket,
                index: commit,
            });
        }
        if start_next {
            self.start_heartbeat_round(false);
        }
    }
}
