//! Tests of the automatic membership changes.

use std::collections::BTreeMap;

use greengage_agreement::{Change, Config, MemberRole, Role, Status};
use greengage_config::{next_change, Peer};
use greengage_core::{Index, NodeId, Term, Time, VmName};

const NOW: Time = Time(60_000_000);

fn node(name: &str) -> NodeId {
    let (vm, folder) = name.split_once('#').unwrap_or((name, "0"));
    NodeId {
        vm: VmName::new(vm).unwrap(),
        folder: folder.parse().unwrap(),
    }
}

/// Status of the leader `a` for `members` with their match index; the commit index is 10.
fn status(members: &[(&str, MemberRole, u64)]) -> Status {
    let config = Config {
        members: members.iter().map(|(n, s, _)| (node(n), *s)).collect(),
    };
    let matched: BTreeMap<NodeId, Index> = members
        .iter()
        .map(|(n, _, m)| (node(n), Index(*m)))
        .collect();
    Status {
        role: Role::Leader,
        term: Term(3),
        leader: Some(node("a")),
        commit_index: Index(10),
        last_index: Index(10),
        config,
        match_index: matched.into_iter().collect(),
    }
}

/// Peers with the time since their last heartbeat, in milliseconds.
fn peers(list: &[(&str, u64)]) -> Vec<Peer> {
    let peer = |(name, silence_ms): &(&str, u64)| Peer {
        node: node(name),
        last_heard: Time(NOW.0 - silence_ms * 1000),
        leaving: false,
    };
    list.iter().map(peer).collect()
}

fn leaving(mut peers: Vec<Peer>, name: &str) -> Vec<Peer> {
    for peer in peers.iter_mut().filter(|peer| peer.node == node(name)) {
        peer.leaving = true;
    }
    peers
}

fn next_for(
    members: &[(&str, MemberRole, u64)],
    peer_silences: &[(&str, u64)],
    voters: usize,
) -> Option<Change> {
    next_change(
        NOW,
        &status(members),
        &node("a"),
        &peers(peer_silences),
        voters,
    )
}

use MemberRole::{Learner, Voter};

const THREE: [(&str, MemberRole, u64); 3] = [("a", Voter, 10), ("b", Voter, 10), ("c", Voter, 10)];

/// Guards against changes to a group that has all its voters.
#[test]
fn complete_group_is_unchanged() {
    assert_eq!(next_for(&THREE, &[("b", 100), ("c", 100)], 3), None);
}

/// Guards against a new VM that is never added, or is promoted although there are enough voters.
#[test]
fn new_vm_becomes_only_a_learner() {
    let peer_silences = [("b", 100), ("c", 100), ("d#7", 100)];
    assert_eq!(
        next_for(&THREE, &peer_silences, 3),
        Some(Change::AddLearner(node("d#7")))
    );
    let mut four = THREE.to_vec();
    four.push(("d#7", Learner, 10));
    assert_eq!(next_for(&four, &peer_silences, 3), None);
    let seat = Voter;
    let promote = Change::Promote {
        node: node("d#7"),
        seat,
    };
    assert_eq!(
        next_for(&four, &peer_silences, 5),
        Some(promote),
        "five voters are configured"
    );
}

/// Guards against a replacement that is promoted before it has caught up, and against a voter that
/// is removed before its replacement votes.
#[test]
fn lost_voter_is_replaced_once_a_learner_has_caught_up() {
    let peer_silences = [("b", 5000), ("c", 100), ("d#7", 100)];
    let mut four = THREE.to_vec();
    four.push(("d#7", Learner, 9));
    assert_eq!(
        next_for(&four, &peer_silences, 3),
        None,
        "one entry is missing"
    );
    four[3].2 = 10;
    let promote = Change::Promote {
        node: node("d#7"),
        seat: Voter,
    };
    assert_eq!(next_for(&four, &peer_silences, 3), Some(promote));
    four[3].1 = Voter;
    assert_eq!(
        next_for(&four, &peer_silences, 3),
        Some(Change::Remove(node("b")))
    );
}

/// Guards against a voter that is replaced only after its shutdown has ended, against a VM that is
/// promoted while it shuts down, against a voter that is removed although no other VM can replace
/// it, and against a removed VM that can't redirect operators to the leader until it has ended.
#[test]
fn leaving_voter_is_replaced_before_it_ends() {
    let next = |members: &[(&str, MemberRole, u64)], name| {
        let all = peers(&[("a", 0), ("b", 100), ("c", 100), ("d#7", 100)]);
        next_change(NOW, &status(members), &node("a"), &leaving(all, name), 3)
    };
    let promote = Change::Promote {
        node: node("d#7"),
        seat: Voter,
    };
    let mut four = THREE.to_vec();
    four.push(("d#7", Learner, 9));
    assert_eq!(next(&four, "c"), None, "one entry is missing");
    four[3].2 = 10;
    assert_eq!(next(&four, "d#7"), None);
    for old in ["a", "b", "c"] {
        four[3].1 = Learner;
        assert_eq!(next(&four, old), Some(promote.clone()));
        four[3].1 = Voter;
        assert_eq!(next(&four, old), Some(Change::Remove(node(old))));
    }
    let three = [("a", Voter, 10), ("b", Voter, 10), ("d#7", Voter, 10)];
    assert_eq!(next(&three, "c"), Some(Change::AddLearner(node("c"))));
}

/// Guards against a VM with an empty disk that takes the identity of its old node, whose votes it
/// no longer knows.
#[test]
fn new_data_folder_replaces_the_old_node() {
    let peer_silences = [("b#9", 100), ("c", 100)];
    let added = next_for(&THREE, &peer_silences, 3);
    assert_eq!(added, Some(Change::AddLearner(node("b#9"))));
    let mut four = THREE.to_vec();
    four.push(("b#9", Learner, 10));
    assert!(matches!(
        next_for(&four, &peer_silences, 3),
        Some(Change::Promote { .. })
    ));
    four[3].1 = Voter;
    assert_eq!(
        next_for(&four, &peer_silences, 3),
        Some(Change::Remove(node("b")))
    );
}

/// Guards against a surplus voter that remains when a lost voter returns after its replacement was
/// promoted (found by seed 9 of the random faults).
#[test]
fn surplus_voter_is_removed() {
    let mut four = THREE.to_vec();
    four.push(("d#7", Voter, 10));
    let peer_silences = [("b", 100), ("c", 100), ("d#7", 100)];
    assert_eq!(
        next_for(&four, &peer_silences, 3),
        Some(Change::Remove(node("d#7")))
    );
}

/// Guards against the removal of a lost voter that has no replacement.
#[test]
fn lost_voter_without_a_replacement_is_kept() {
    assert_eq!(next_for(&THREE, &[("c", 100)], 3), None);
}

/// Guards against learners that remain after their VM is gone for good.
#[test]
fn silent_learner_is_removed() {
    let mut four = THREE.to_vec();
    four.push(("d#7", Learner, 10));
    let peer_silences = [("b", 100), ("c", 100), ("d#7", 11_000)];
    assert_eq!(
        next_for(&four, &peer_silences, 3),
        Some(Change::Remove(node("d#7")))
    );
}
