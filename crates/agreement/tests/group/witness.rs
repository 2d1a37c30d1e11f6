//! Groups of two voters and a witness.

use greengage_agreement::MemberRole::{Voter, Witness};
use greengage_agreement::{RefusalReason, Role};

use crate::support::{id, Group};

const TWO_VOTERS_AND_WITNESS: [(&str, greengage_agreement::MemberRole); 3] =
    [("a", Voter), ("b", Voter), ("w", Witness)];

/// Guards against the loss of an entry that only a crashed voter and the witness hold, and against
/// a witness that accepts proposals or keeps leading.
#[test]
fn witness_updates_a_voter_and_transfers_leadership() {
    let mut group = Group::new(&TWO_VOTERS_AND_WITNESS, 6);
    group.compact_entries = 50;
    let leader = group.elect();
    let (behind, witness) = match leader == id("a") {
        true => (id("b"), id("w")),
        false => (id("a"), id("w")),
    };
    group.isolate(&behind, true);
    for command in 1..=200 {
        group.propose(&leader, command);
    }
    group.run(100);
    group.crash(&leader);
    group.run(2000);
    group.isolate(&behind, false);
    let is_leader = |g: &Group, n| g.nodes[n].raft.status().role == Role::Leader;
    let elected = group.run_until(2000, |g| is_leader(g, &witness));
    assert!(elected.is_some(), "only the witness has all entries");
    let refused = group.propose(&witness, 999);
    assert_eq!(group.refused[&refused], RefusalReason::Transferring);
    let transferred = group.run_until(1000, |g| is_leader(g, &behind));
    assert!(transferred.is_some());
    group.commit(201, 500);
    assert_eq!(group.nodes[&behind].state, (1..=201).collect::<Vec<u64>>());
}

/// Guards against the election of a witness when the remaining voter could lead.
#[test]
fn witness_is_not_elected_over_a_voter_with_the_same_log() {
    for seed in 0..50 {
        let mut group = Group::new(&TWO_VOTERS_AND_WITNESS, seed);
        let leader = group.elect();
        group.commit(1, 500);
        group.run(200);
        group.crash(&leader);
        group.elect();
        let witness = id("w");
        assert!(group.leaders.values().all(|l| *l != witness), "seed {seed}");
    }
}
