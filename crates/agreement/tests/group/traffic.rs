//! The number of messages.

use greengage_agreement::Event;

use crate::support::{Group, THREE};

/// Guards against messages without bound to members that don't answer, and timers that spin
/// (`Group` checks those at each tick).
#[test]
fn dead_members_cost_a_bounded_number_of_messages() {
    let mut group = Group::new(&THREE, 11);
    let leader = group.elect();
    let dead = group.follower();
    group.crash(&dead);
    let to_dead = |g: &Group| g.sent_to.get(&dead).copied().unwrap_or(0);
    let before = to_dead(&group);
    for command in 0..5000 {
        group.propose(&leader, command);
    }
    group.run(1000);
    let sent = to_dead(&group) - before;
    assert!(
        sent <= 16 + 14,
        "a window of batches and 1 s of heartbeats, not {sent}"
    );

    let other = group.nodes.keys().find(|n| **n != leader && **n != dead);
    let other = other.cloned().expect("a third node");
    group.crash(&other);
    let before = to_dead(&group);
    group.run(60_000);
    let sent = to_dead(&group) - before;
    assert!(
        sent <= 60 * 20,
        "at most 20 requests for votes a second, not {sent} in 60 s"
    );
}

/// Guards against a snapshot that is sent again with each heartbeat while it is on its way.
#[test]
fn snapshot_in_flight_is_not_sent_again() {
    let mut group = Group::new(&THREE, 12);
    let leader = group.elect();
    let behind = group.follower();
    group.crash(&behind);
    for command in 0..3000 {
        group.propose(&leader, command);
    }
    group.run(500);
    let (index, state) = (
        group.nodes[&leader].raft.applied(),
        group.nodes[&leader].state.clone(),
    );
    group.step(&leader, Event::Compact { index, state });
    assert_eq!(group.nodes[&leader].raft.since_snapshot(), 0);
    group.restart(&behind);
    group.sync = 400_000;
    group.run(1000);
    assert_eq!(group.installs, 1);
    assert_eq!(group.nodes[&behind].state.len(), 3000);
}

/// Guards against one heartbeat round per read: reads that arrive during a round share the next.
#[test]
fn reads_share_rounds() {
    let mut group = Group::new(&THREE, 13);
    let leader = group.elect();
    let before = group.sent;
    for _ in 0..100 {
        group.read(&leader);
    }
    group.run(20);
    assert_eq!(group.ready.len(), 100);
    assert!(
        group.sent - before <= 16,
        "{} messages",
        group.sent - before
    );
}
