//! Automatic membership changes of the control group.
//!
//! Every reachable control VM becomes a learner. A caught-up learner is promoted while there are
//! fewer voters than configured or while a voter is lost or shuts down; that voter is removed
//! afterwards. A replaced data folder is a new node on the same VM, so the old node is lost for
//! good. A voter is removed only once its replacement votes, so the number of voters never falls
//! below the configured number.
//!
//! A shutdown can outlast the time within which the platform expects a replacement to vote, so its
//! end is not awaited. Until then the VM is a learner, which can redirect operators to the leader.

use std::time::Duration;

use greengage_agreement::{Change, MemberRole, Status};
use greengage_core::{value, NodeId, Time};

/// Silence after which a voter counts as lost and may be replaced. Longer than two election
/// timeouts, so that a voter survives a restart of its process, and well below the four seconds
/// within which the platform expects a replacement to vote.
pub const VOTER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Silence after which a learner is removed.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(10);

/// A control VM and the time of its last heartbeat.
#[value]
pub struct Peer {
    /// The VM and its data folder.
    pub node: NodeId,
    /// Lower bound of the time at which its latest message was sent.
    pub last_heard: Time,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// The next membership change for the group described by `status`; `None` if none is due.
///
/// `own` is the leader, which may also be among the peers, and `voters` the configured number of
/// voters.
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
    let is_leaving = |node: &NodeId| peers.iter().any(|p| p.node == *node && p.leaving);
    let members = &status.config.members;
    let current_voters: Vec<&NodeId> = members
        .iter()
        .filter(|(_, seat)| **seat == MemberRole::Voter)
        .map(|(node, _)| node)
        .collect();
    let lost = current_voters.iter().find(|node| is_lost(node));
    let outgoing = lost.or_else(|| current_voters.iter().find(|node| is_leaving(node)));
    // A lost voter that returns after its replacement was promoted leaves a surplus voter, which
    // would raise the size of a majority.
    let surplus = outgoing.or_else(|| current_voters.iter().rfind(|node| **node != own));
    if let (true, Some(node)) = (current_voters.len() > voters, surplus) {
        return Some(Change::Remove((*node).clone()));
    }
    let caught_up = |node: &NodeId| {
        status
            .match_index
            .get(node)
            .is_some_and(|m| *m >= status.commit_index)
    };
    let promotable = members.iter().find(|(node, seat)| {
        let stays = !is_lost(node) && !is_leaving(node);
        **seat == MemberRole::Learner && stays && caught_up(node)
    });
    let wanted = voters + usize::from(outgoing.is_some());
    if let (true, Some((node, _))) = (current_voters.len() < wanted, promotable) {
        return Some(Change::Promote {
            node: node.clone(),
            seat: MemberRole::Voter,
        });
    }
    let stale_learner = members.iter().find(|(node, seat)| {
        let timed_out = silence(node).is_none_or(|s| s > LEARNER_TIMEOUT);
        **seat == MemberRole::Learner && (is_replaced(node) || timed_out)
    });
    if let Some((node, _)) = stale_learner {
        return Some(Change::Remove(node.clone()));
    }
    let new_peer = peers
        .iter()
        .find(|peer| !members.contains(&peer.node) && !is_lost(&peer.node));
    new_peer.map(|peer| Change::AddLearner(peer.node.clone()))
}
