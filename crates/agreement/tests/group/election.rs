//! Pre-vote and check-quorum.

use greengage_agreement::{Refused, Role};

use crate::support::{Group, THREE};

/// Guards against a leader without a majority that goes on leading and answering reads, and
/// against a returning voter that deposes the leader of the others.
#[test]
fn cut_leader_steps_down_and_returns_quietly() {
    let mut group = Group::new(&THREE, 4);
    let old = group.elect();
    group.isolate(&old, true);
    let read = group.read(&old);
    group.run(301);
    assert_eq!(group.nodes[&old].raft.status().role, Role::Follower);
    assert_eq!(
        group.refused[&read],
        Refused::NotLeader { leader: None },
        "a read without a majority is refused"
    );
    let new = group.elect();
    group.run(10_000);
    group.isolate(&old, false);
    group.run(2_000);
    assert_eq!(group.leader(), Some(new));
    assert_eq!(group.leaders.len(), 2);
}
