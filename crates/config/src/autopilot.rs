//! Which membership change a leader makes next, without an operator.
//!
//! Every control VM that is heard becomes a learner. A caught-up learner gets a vote while there
//! are fewer voters than wanted, or while a voter is lost; the lost voter is removed after that. A
//! data folder that was replaced is a new node of the same VM, so its predecessor is lost for
//! good. A voter is removed only when a replacement votes already, so the number of voters never
//! falls under what was wanted.

use std::time::Duration;

use greengage_agreement::{Change, Seat, Status};
use greengage_core::{value, NodeId, Time};

/// Silence after which a voter may be replaced. Longer than two election timeouts, so a restart of
/// a process doesn't cost it its vote, and short beside the four seconds in which the platform
/// expects a replacement to count.
pub const VOTER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Silence after which a learner is dropped.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(10);

/// A control VM as its peers hear it.
#[value]
pub struct Peer {
    /// The VM and its data folder.
    pub node: NodeId,
    /// When it was last heard.
    pub last_heard: Time,
}

/// The next change for the group of `status`, which the caller leads, or none.
pub fn next_change(
    now: Time,
    status: &Status,
    own: &NodeId,
    peers: &[Peer],
    voters: usize,
) -> Option<Change> {
    let silence = |node: &NodeId| {
        let peer = peers.iter().find(|peer| peer.node == *node);
        peer.map(|peer| now.since(peer.last_heard))
    };
    let is_replaced = |node: &NodeId| {
        peers
            .iter()
            .any(|p| p.node.vm == node.vm && p.node != *node)
    };
    let is_lost = |node: &NodeId| {
        node != own && (is_replaced(node) || silence(node).is_none_or(|s| s > VOTER_TIMEOUT))
    };
    let members = &status.config.members;
    let current_voters: Vec<&NodeId> = members
        .iter()
        .filter(|(_, seat)| **seat == Seat::Voter)
        .map(|(node, _)| node)
        .collect();
    let lost_voter = current_voters.iter().find(|node| is_lost(node));
    // A lost voter that is back after its replacement got the vote leaves one voter too many, which
    // would raise the majority.
    let surplus = lost_voter.or_else(|| current_voters.iter().rfind(|node| **node != own));
    if let (true, Some(node)) = (current_voters.len() > voters, surplus) {
        return Some(Change::Remove((*node).clone()));
    }
    let caught_up = |node: &NodeId| {
        status
            .matched
            .get(node)
            .is_some_and(|m| *m >= status.commit)
    };
    let promotable = members
        .iter()
        .find(|(node, seat)| **seat == Seat::Learner && !is_lost(node) && caught_up(node));
    let wanted = voters + usize::from(lost_voter.is_some());
    if let (true, Some((node, _))) = (current_voters.len() < wanted, promotable) {
        return Some(Change::Promote {
            node: node.clone(),
            seat: Seat::Voter,
        });
    }
    let stale_learner = members.iter().find(|(node, seat)| {
        let timed_out = silence(node).is_none_or(|s| s > LEARNER_TIMEOUT);
        **seat == Seat::Learner && (is_replaced(node) || timed_out)
    });
    if let Some((node, _)) = stale_learner {
        return Some(Change::Remove(node.clone()));
    }
    let new_peer = peers
        .iter()
        .find(|peer| !members.contains(&peer.node) && !is_lost(&peer.node));
    new_peer.map(|peer| Change::AddLearner(peer.node.clone()))
}
