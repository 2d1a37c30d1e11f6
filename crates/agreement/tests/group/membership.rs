//! Adding learners, promoting and removing members.

use greengage_agreement::{Change, ChangeError, MemberRole, RefusalReason};

use crate::support::{id, Disk, Group, THREE_VOTERS};

/// Guards against a promotion before the learner has caught up, a second change before the first
/// one is committed, and a removed voter that triggers elections when it restarts.
#[test]
fn replaces_a_voter() {
    let mut group = Group::new(&THREE_VOTERS, 5);
    let leader = group.elect();
    for command in 0..1000 {
        group.propose(&leader, command);
    }
    let lost = group.follower();
    group.crash(&lost);
    let learner = id("d#7");
    group.start(&learner, Disk::default());
    let add = group.change(&leader, Change::AddLearner(learner.clone()));
    let promote = Change::Promote {
        node: learner.clone(),
        seat: MemberRole::Voter,
    };
    let early = group.change(&leader, promote.clone());
    assert_eq!(
        group.refused[&early],
        RefusalReason::Change(ChangeError::Pending)
    );
    assert!(group.run_until(100, |g| g.committed(add)).is_some());
    let early = group.change(&leader, promote.clone());
    assert!(matches!(
        &group.refused[&early],
        RefusalReason::Change(ChangeError::Behind { node, .. }) if *node == learner
    ));
    group.run(500);
    let promoted = group.change(&leader, promote);
    group.run(100);
    assert!(group.committed(promoted));
    let removed = group.change(&leader, Change::Remove(lost.clone()));
    group.run(100);
    assert!(group.committed(removed));

    group.restart(&lost);
    group.run(5_000);
    assert_eq!(group.leader(), Some(leader));
    assert_eq!(group.leaders.len(), 1);
    assert_eq!(group.nodes[&learner].state, (0..1000).collect::<Vec<u64>>());
}
