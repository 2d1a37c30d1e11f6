//! Read index: linearizable reads without an entry in the log.
//!
//! A read waits for a heartbeat round that starts after the read arrived. Answers from a majority
//! show that no later leader had been elected by then, so the commit index covers every earlier
//! write, provided that the leader has committed an entry of its own term. Reads that arrive while
//! a round is under way share the next one, so their number doesn't raise the number of messages.

use crate::progress::quorum;
use crate::raft::{Raft, State};
use crate::{Effect, Ticket};

pub(crate) struct PendingRead {
    pub(crate) ticket: Ticket,
    /// The first round that confirms the read.
    round: u64,
}

impl<C: Clone, S: Clone> Raft<C, S> {
    pub(crate) fn read(&mut self, ticket: Ticket) {
        let State::Leader(lead) = &mut self.state else {
            return self.refuse(ticket, self.not_leader());
        };
        let round = lead.round + 1;
        let under_way = lead.reads.iter().any(|r| r.round == lead.round);
        lead.reads.push(PendingRead { ticket, round });
        if !under_way {
            self.start_round(false);
        }
    }

    /// Answers the reads whose round a majority has answered.
    pub(crate) fn confirm_reads(&mut self) {
        let State::Leader(lead) = &self.state else {
            return;
        };
        let commit = self.log.commit();
        if lead.reads.is_empty() || lead.own > commit {
            return;
        }
        let rounds = self.voting().map(|n| match lead.progress.get(n) {
            Some(progress) => progress.round,
            None => lead.round,
        });
        let Some(confirmed) = quorum(rounds.collect()) else {
            return;
        };
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        let (done, waiting) = std::mem::take(&mut lead.reads)
            .into_iter()
            .partition(|r| r.round <= confirmed);
        lead.reads = waiting;
        let done: Vec<PendingRead> = done;
        let next = !done.is_empty() && lead.reads.iter().any(|r| r.round > lead.round);
        for read in done {
            self.out.read_ready(Effect::ReadReady {
                ticket: read.ticket,
                index: commit,
            });
        }
        if next {
            self.start_round(false);
        }
    }
}
