//! Pre-vote and check-quorum.

use greengage_agreement::{RefusalReason, Role};

use crate::support::{id, Group, THREE_VOTERS};

/// Guards against a leader that keeps leading and serving reads without a majority, and against a
/// rejoining voter that deposes the new leader.
#[test]
fn isolated_leader_steps_down_and_rejoins_as_follower() {
    let mut group = Group::new(&THREE_VOTERS, 4);
    let old = group.elect();
    group.isolate(&old, true);
    let read = group.read(&old);
    group.run(301);
    assert_eq!(group.nodes[&old].raft.status().role, Role::Follower);
    assert_eq!(
        group.refused[&read],
        RefusalReason::NotLeader { leader: None },
        "a read without a majority is refused"
    );
    let new = group.elect();
    group.run(10_000);
    group.isolate(&old, false);
    group.run(2_000);
    assert_eq!(group.leader(), Some(new));
    assert_eq!(group.leaders.len(), 2);
}

/// Guards against a rejoining voter that deposes the leader. Prints the leader changes with and
/// without pre-vote; without it there must be some, or the scenario tests nothing.
#[test]
fn rejoining_voter_does_not_depose_the_leader() {
    let changes = |pre_vote: bool| {
        let mut changes = 0;
        let mut terms = 0;
        for seed in 0..20 {
            let mut group = Group::new(&THREE_VOTERS, seed);
            group.timing.pre_vote = pre_vote;
            for node in ["a", "b", "c"] {
                group.restart(&id(node));
            }
            let leader = group.elect();
            let isolated = group.follower();
            let initial_term = group.nodes[&leader].raft.status().term;
            group.isolate(&isolated, true);
            group.run(10_000);
            assert_eq!(group.leader(), Some(leader.clone()));
            let leaders = group.leaders.len();
            group.isolate(&isolated, false);
            group.run(5_000);
            changes += group.leaders.len() - leaders;
            terms += group.nodes[&leader].raft.status().term.0 - initial_term.0;
        }
        println!("pre-vote {pre_vote}: {changes} leader changes, {terms} terms in 20 returns");
        changes
    };
    assert_eq!(changes(true), 0);
    assert!(
        changes(false) > 0,
        "without pre-vote, a rejoining voter must depose the leader"
    );
}

/// Guards against slow or repeatedly split elections after a leader crash; prints the times.
#[test]
fn leader_loss_to_commit_stays_within_limit() {
    let mut times: Vec<u64> = (0..50)
        .map(|seed| {
            let mut group = Group::new(&THREE_VOTERS, seed);
            let leader = group.elect();
            group.run(500 + seed * 7);
            group.crash(&leader);
            group.commit(1, 2000)
        })
        .collect();
    times.sort_unstable();
    println!(
        "leader loss to commit: median {} ms, worst {} ms",
        times[25], times[49]
    );
}
