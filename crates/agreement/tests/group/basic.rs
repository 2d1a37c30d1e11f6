//! Elections, replication and restarts on a reliable network.

use greengage_agreement::MemberRole::Voter;
use greengage_core::Index;

use crate::support::{id, Group, THREE_VOTERS};

/// Guards against a group that elects no leader, or loses or reorders commands.
#[test]
fn elects_replicates_and_applies_in_order() {
    let mut group = Group::new(&THREE_VOTERS, 1);
    let leader = group.elect();
    for command in 1..=100 {
        group.propose(&leader, command);
    }
    group.run(500);
    for node in group.nodes.values() {
        assert_eq!(node.state, (1..=100).collect::<Vec<u64>>());
    }
    assert_eq!(group.leaders.len(), 1);
}

/// Guards against the loss of entries, terms or votes on restart.
#[test]
fn restarts_from_durable_state() {
    let mut group = Group::new(&THREE_VOTERS, 2);
    group.elect();
    group.commit(1, 2000);
    for name in ["a", "b", "c"] {
        group.crash(&id(name));
    }
    for name in ["a", "b", "c"] {
        group.restart(&id(name));
    }
    group.elect();
    group.commit(2, 2000);
    group.run(500);
    for node in group.nodes.values() {
        assert_eq!(node.state, [1, 2]);
        assert_eq!(node.raft.applied_index(), Index(4));
    }
}

/// Guards against a single voter that waits for replies of other members.
#[test]
fn single_voter_leads_and_commits() {
    let mut group = Group::new(&[("a", Voter)], 3);
    let leader = group.elect();
    group.commit(7, 100);
    let read = group.read(&leader);
    assert!(group.ready_reads.contains_key(&read));
    assert_eq!(group.nodes[&id("a")].state, [7]);
}
