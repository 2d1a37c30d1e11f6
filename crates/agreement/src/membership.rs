//! Membership: the members' seats, and changes of one member at a time.
//!
//! Any two majorities of configurations that differ in one voter overlap, so a configuration can
//! take effect as soon as it is appended. This is safe only if the previous configuration is
//! committed and the leader has committed an entry of its own term.

use greengage_core::NodeId;

use crate::progress::{Mode, Progress};
use crate::raft::{Raft, State};
use crate::{Change, ChangeError, Config, EntryKind, MemberRole, RefusalReason, Ticket};

impl<C: Clone, S: Clone> Raft<C, S> {
    fn seat(&self, node: &NodeId) -> Option<MemberRole> {
        self.log.config().members.get(node).copied()
    }

    pub(crate) fn is_voter(&self, node: &NodeId) -> bool {
        self.seat(node) == Some(MemberRole::Voter)
    }

    pub(crate) fn is_witness(&self, node: &NodeId) -> bool {
        self.seat(node) == Some(MemberRole::Witness)
    }

    /// Whether `node` is a voter or a witness.
    pub(crate) fn is_voting(&self, node: &NodeId) -> bool {
        self.is_voter(node) || self.is_witness(node)
    }

    /// The voters and witnesses.
    pub(crate) fn voting_members(&self) -> impl Iterator<Item = &NodeId> {
        let members = self.log.config().members.iter();
        members
            .filter(|(_, s)| **s != MemberRole::Learner)
            .map(|(n, _)| n)
    }

    /// Updates the leader's `progress` to the configuration; new members start in `mode`.
    pub(crate) fn track_members(&mut self, mode: fn() -> Mode) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let members = &self.log.config().members;
        leader.progress.retain(|n, _| members.contains(n));
        for node in members.keys().filter(|n| **n != self.node) {
            let next = self.log.last_index().next();
            leader
                .progress
                .get_or_insert_with(node.clone(), || Progress::new(next, mode(), self.now));
        }
    }

    pub(crate) fn change(&mut self, ticket: Ticket, change: Change) {
        let new_learner = match &change {
            Change::AddLearner(node) => Some(node.clone()),
            Change::Promote { .. } | Change::Remove(_) => None,
        };
        match self.config_with(change) {
            Ok(config) => {
                let index = self.append_as_leader(EntryKind::Config(config));
                // A new member's log is most likely empty, so probe it before sending entries.
                self.track_members(|| Mode::Probe);
                self.report_appended(ticket, index);
                if let Some(node) = new_learner {
                    self.send_heartbeat(&node);
                }
            }
            Err(reason) => self.refuse(ticket, reason),
        }
    }

    /// The configuration with `change` made, or why it can't be made now.
    fn config_with(&self, change: Change) -> Result<Config, RefusalReason> {
        if let Some(reason) = self.proposal_refusal() {
            return Err(reason);
        }
        let State::Leader(leader) = &self.state else {
            return Err(self.not_leader());
        };
        let commit = self.log.commit_index();
        if self.log.config_index() > commit || leader.term_start > commit {
            return Err(RefusalReason::Change(ChangeError::Pending));
        }
        let mut config = self.log.config().clone();
        let error = match change {
            Change::AddLearner(node) => match self.seat(&node) {
                Some(_) => Some(ChangeError::Present(node)),
                None => {
                    config.members.insert(node, MemberRole::Learner);
                    None
                }
            },
            Change::Promote { node, seat } => match self.seat(&node) {
                None => Some(ChangeError::Unknown(node)),
                Some(MemberRole::Voter | MemberRole::Witness) => Some(ChangeError::Present(node)),
                Some(MemberRole::Learner) if seat == MemberRole::Learner => {
                    Some(ChangeError::Present(node))
                }
                Some(MemberRole::Learner) => {
                    let entries = self.missing_entries(leader.progress.get(&node));
                    config.members.insert(node.clone(), seat);
                    (entries > 0).then_some(ChangeError::Behind { node, entries })
                }
            },
            Change::Remove(node) => match config.members.remove(&node) {
                None => Some(ChangeError::Unknown(node)),
                Some(_) => {
                    let voters = config.members.values().any(|s| *s == MemberRole::Voter);
                    (!voters).then_some(ChangeError::LastVoter)
                }
            },
        };
        match error {
            Some(error) => Err(RefusalReason::Change(error)),
            None => Ok(config),
        }
    }

    /// How many committed entries a learner lacks; at least 1 while it doesn't reply.
    fn missing_entries(&self, progress: Option<&Progress>) -> u64 {
        let Some(progress) = progress else {
            return self.log.commit_index().0;
        };
        let missing_entries = self
            .log
            .commit_index()
            .0
            .saturating_sub(progress.match_index.0);
        let responsive = progress.mode == Mode::Replicate
            && self.now.since(progress.last_active) < self.timing.min_election_timeout;
        match responsive {
            true => missing_entries,
            false => missing_entries.max(1),
        }
    }
}
