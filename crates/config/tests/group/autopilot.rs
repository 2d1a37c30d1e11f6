//! Membership changes: status and peers in, the next change out.

use std::collections::BTreeMap;

use greengage_agreement::{Change, Config, Role, Seat, Status};
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

/// A leader `a` that sees `members` with their last stored index; the commit index is 10.
fn status(members: &[(&str, Seat, u64)]) -> Status {
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
        commit: Index(10),
        last: Index(10),
        config,
        matched: matched.into_iter().collect(),
    }
}

/// Peers with the milliseconds since they were heard.
fn peers(list: &[(&str, u64)]) -> Vec<Peer> {
    let peer = |(name, silence_ms): &(&str, u64)| Peer {
        node: node(name),
        last_heard: Time(NOW.0 - silence_ms * 1000),
    };
    list.iter().map(peer).collect()
}

fn next_for(members: &[(&str, Seat, u64)], heard: &[(&str, u64)], voters: usize) -> Option<Change> {
    next_change(NOW, &status(members), &node("a"), &peers(heard), voters)
}

use Seat::{Learner, Voter};

const THREE: [(&str, Seat, u64); 3] = [("a", Voter, 10), ("b", Voter, 10), ("c", Voter, 10)];

/// Guards against changes of a group that is complete.
#[test]
fn complete_group_is_unchanged() {
    assert_eq!(next_for(&THREE, &[("b", 100), ("c", 100)], 3), None);
}

/// Guards against a new VM that is never taken in, or gets a vote that isn't wanted.
#[test]
fn new_vm_becomes_only_a_learner() {
    let heard = [("b", 100), ("c", 100), ("d#7", 100)];
    assert_eq!(
        next_for(&THREE, &heard, 3),
        Some(Change::AddLearner(node("d#7")))
    );
    let mut four = THREE.to_vec();
    four.push(("d#7", Learner, 10));
    assert_eq!(next_for(&four, &heard, 3), None);
    let seat = Voter;
    let promote = Change::Promote {
        node: node("d#7"),
        seat,
    };
    assert_eq!(
        next_for(&four, &heard, 5),
        Some(promote),
        "five voters are wanted"
    );
}

/// Guards against a voter that is replaced before its replacement has caught up, or is removed
/// before the replacement votes.
#[test]
fn lost_voter_is_replaced_once_a_learner_has_caught_up() {
    let heard = [("b", 5000), ("c", 100), ("d#7", 100)];
    let mut four = THREE.to_vec();
    four.push(("d#7", Learner, 9));
    assert_eq!(next_for(&four, &heard, 3), None, "one entry is missing");
    four[3].2 = 10;
    let promote = Change::Promote {
        node: node("d#7"),
        seat: Voter,
    };
    assert_eq!(next_for(&four, &heard, 3), Some(promote));
    four[3].1 = Voter;
    assert_eq!(next_for(&four, &heard, 3), Some(Change::Remove(node("b"))));
}

/// Guards against a VM with an empty disk that votes as its predecessor, which has votes to keep.
#[test]
fn new_data_folder_replaces_the_old_node() {
    let heard = [("b#9", 100), ("c", 100)];
    let added = next_for(&THREE, &heard, 3);
    assert_eq!(added, Some(Change::AddLearner(node("b#9"))));
    let mut four = THREE.to_vec();
    four.push(("b#9", Learner, 10));
    assert!(matches!(
        next_for(&four, &heard, 3),
        Some(Change::Promote { .. })
    ));
    four[3].1 = Voter;
    assert_eq!(next_for(&four, &heard, 3), Some(Change::Remove(node("b"))));
}

/// Guards against a group that keeps a voter too many when a lost one is back after its
/// replacement got the vote (seed 9 of the random run).
#[test]
fn surplus_voter_is_removed() {
    let mut four = THREE.to_vec();
    four.push(("d#7", Voter, 10));
    let heard = [("b", 100), ("c", 100), ("d#7", 100)];
    assert_eq!(
        next_for(&four, &heard, 3),
        Some(Change::Remove(node("d#7")))
    );
}

/// Guards against a group that shrinks when a VM is away and nothing can replace it.
#[test]
fn lost_voter_without_a_replacement_is_kept() {
    assert_eq!(next_for(&THREE, &[("c", 100)], 3), None);
}

/// Guards against learners of VMs that are gone for good.
#[test]
fn silent_learner_is_removed() {
    let mut four = THREE.to_vec();
    four.push(("d#7", Learner, 10));
    let heard = [("b", 100), ("c", 100), ("d#7", 11_000)];
    assert_eq!(
        next_for(&four, &heard, 3),
        Some(Change::Remove(node("d#7")))
    );
}
