//! Leadership transfer.

use greengage_agreement::{Change, ChangeError, Event, RefusalReason};

use crate::support::{id, Group, THREE_VOTERS};

/// Guards against a transfer that takes an election timeout or loses accepted proposals.
#[test]
fn transfer_takes_a_few_round_trips() {
    let mut group = Group::new(&THREE_VOTERS, 8);
    let old = group.elect();
    let transferee = group.follower();
    let last = group.propose(&old, 1);
    group.step(&old, Event::Transfer(Some(transferee.clone())));
    let refused = group.propose(&old, 2);
    assert_eq!(group.refused[&refused], RefusalReason::Transferring);
    let transferred = group.run_until(50, |g| g.leader() == Some(transferee.clone()));
    assert!(transferred.is_some());
    group.run(100);
    assert!(group.committed(last));
    assert_eq!(group.leaders.len(), 2);
}

/// Guards against a leader that refuses proposals forever because the transferee has crashed.
#[test]
fn transfer_to_a_crashed_node_times_out() {
    let mut group = Group::new(&THREE_VOTERS, 9);
    let leader = group.elect();
    let transferee = group.follower();
    group.crash(&transferee);
    group.step(&leader, Event::Transfer(Some(transferee)));
    group.run(301);
    group.commit(1, 100);
    assert_eq!(group.leader(), Some(leader));
}

/// Guards against a removed leader that keeps leading, and against the removal of the last voter.
#[test]
fn removed_leader_steps_down_once_removal_commits() {
    let mut group = Group::new(&THREE_VOTERS, 10);
    let mut removed = Vec::new();
    for _ in 0..2 {
        let leader = group.elect();
        let ticket = group.change(&leader, Change::Remove(leader.clone()));
        group
            .run_until(100, |g| g.committed(ticket))
            .expect("a commit");
        assert_ne!(group.leader(), Some(leader.clone()));
        removed.push(leader);
    }
    let last = group.elect();
    assert!(!removed.contains(&last));
    let ticket = group.change(&last, Change::Remove(last.clone()));
    assert_eq!(
        group.refused[&ticket],
        RefusalReason::Change(ChangeError::LastVoter)
    );
    let ticket = group.change(&last, Change::Remove(id("z")));
    let reason = RefusalReason::Change(ChangeError::Unknown(id("z")));
    assert_eq!(group.refused[&ticket], reason);
    group.commit(1, 100);
    for node in &removed {
        group.crash(node);
        group.restart(node);
    }
    group.run(5000);
    assert_eq!(group.leader(), Some(last));
    assert_eq!(group.leaders.len(), 3);
}
