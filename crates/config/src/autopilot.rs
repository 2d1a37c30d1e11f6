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
pub const LOST_AFTER: Duration = Duration::from_millis(1500);

/// Silence after which a learner is dropped.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// A control VM as its peers hear it.
#[value]
pub struct Peer {
    /// The VM and its data folder.
    pub node: NodeId,
    /// When it was last heard.
    pub heard: Time,
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
        peer.map(|peer| now.since(peer.heard))
    };
    let replaced = |node: &NodeId| {
        peers
            .iter()
            .any(|p| p.node.vm == node.vm && p.node != *node)
    };
    let lost = |node: &NodeId| {
        node != own && (replaced(node) || silence(node).is_none_or(|s| s > LOST_AFTER))
    };
    let members = &status.config.members;
    let voting: Vec<&NodeId> = members
        .iter()
        .filter(|(_, seat)| **seat == Seat::Voter)
        .map(|(node, _)| node)
        .collect();
    let lost_voter = voting.iter().find(|node| lost(node));
    // A lost voter that is back after its replacement got the vote leaves one voter too many, which
    // would raise the majority.
    let spare = lost_voter.or_else(|| voting.iter().rfind(|node| **node != own));
    if let (true, Some(node)) = (voting.len() > voters, spare) {
        return Some(Change::Remove((*node).clone()));
    }
    let caught_up = |node: &NodeId| {
        status
            .matched
            .get(node)
            .is_some_and(|m| *m >= status.commit)
    };
    let ready = members
        .iter()
        .find(|(node, seat)| **seat == Seat::Learner && !lost(node) && caught_up(node));
    let wanted = voters + usize::from(lost_voter.is_some());
    if let (true, Some((node, _))) = (voting.len() < wanted, ready) {
        return Some(Change::Promote {
            node: node.clone(),
            seat: Seat::Voter,
        });
    }
    let gone = members.iter().find(|(node, seat)| {
        let forgotten = silence(node).is_none_or(|s| s > FORGET_AFTER);
        **seat == Seat::Learner && (replaced(node) || forgotten)
    });
    if let Some((node, _)) = gone {
        return Some(Change::Remove(node.clone()));
    }
    let fresh = peers
        .iter()
        .find(|peer| !members.contains(&peer.node) && !lost(&peer.node));
    fresh.map(|peer| Change::AddLearner(peer.node.clone()))
}
