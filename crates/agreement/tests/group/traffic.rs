//! Limits on the number of messages.

use greengage_agreement::Event;

use crate::support::{Group, LARGE_COMMAND, THREE_VOTERS};

/// Four commands of 4 MiB; more would fill the memory of a leader with several members.
const MAX_UNACKNOWLEDGED_BYTES: usize = 16 << 20;

/// Guards against unbounded messages to unresponsive members, and against timers that are due again
/// at once (`Group` checks this at each tick).
#[test]
fn messages_to_crashed_members_are_bounded() {
    let mut group = Group::new(&THREE_VOTERS, 11);
    let leader = group.elect();
    let crashed = group.follower();
    group.crash(&crashed);
    let sent_to_crashed = |g: &Group| g.sent_to.get(&crashed).copied().unwrap_or(0);
    let before = sent_to_crashed(&group);
    for command in 0..5000 {
        group.propose(&leader, command);
    }
    group.run(1000);
    let sent = sent_to_crashed(&group) - before;
    assert!(
        sent <= 16 + 14,
        "expected at most 16 batches and 1 s of heartbeats, got {sent} messages"
    );

    let third = group.nodes.keys().find(|n| **n != leader && **n != crashed);
    let third = third.cloned().expect("a third node");
    group.crash(&third);
    let before = sent_to_crashed(&group);
    group.run(60_000);
    let sent = sent_to_crashed(&group) - before;
    assert!(
        sent <= 60 * 20,
        "expected at most 20 vote requests per second, got {sent} in 60 s"
    );
}

/// Guards against a member whose connection has stalled and that is sent one large command after
/// another while the other members go on.
#[test]
fn unacknowledged_bytes_are_bounded() {
    let mut group = Group::with_commands(&THREE_VOTERS, 14, true);
    group.compact_entries = 2;
    let leader = group.elect();
    let silent = group.follower();
    group.crash(&silent);
    let before = group.bytes_sent_to(&silent);
    for _ in 0..20 {
        group.propose(&leader, LARGE_COMMAND);
        group.run(10);
    }
    assert!(group.max_applied.0 >= 20);
    let sent = group.bytes_sent_to(&silent) - before;
    assert!(
        sent <= MAX_UNACKNOWLEDGED_BYTES,
        "{sent} bytes of commands were sent without an acknowledgement"
    );
}

/// Guards against large commands that wait for an acknowledgement and then exceed one message.
#[test]
fn large_commands_are_sent_one_by_one() {
    let mut group = Group::with_commands(&THREE_VOTERS, 15, true);
    let leader = group.elect();
    for _ in 0..8 {
        group.propose(&leader, LARGE_COMMAND);
    }
    group.run(500);
    assert!(group.max_applied.0 >= 8);
    assert_eq!(group.largest_batch, 4 << 20);
}

/// Guards against a snapshot that is resent with each heartbeat while it is in flight.
#[test]
fn in_flight_snapshot_is_not_resent() {
    let mut group = Group::new(&THREE_VOTERS, 12);
    let leader = group.elect();
    let behind = group.follower();
    group.crash(&behind);
    for command in 0..3000 {
        group.propose(&leader, command);
    }
    group.run(500);
    let (index, state) = (
        group.nodes[&leader].raft.applied_index(),
        group.nodes[&leader].state.clone(),
    );
    group.step(&leader, Event::Compact { index, state });
    assert_eq!(group.nodes[&leader].raft.entries_since_snapshot(), 0);
    group.restart(&behind);
    group.max_sync_us = 400_000;
    group.run(1000);
    assert_eq!(group.snapshots_sent, 1);
    assert_eq!(group.nodes[&behind].state.len(), 3000);
}

/// Guards against one heartbeat round per read; reads that arrive during a round share the next.
#[test]
fn concurrent_reads_share_heartbeat_rounds() {
    let mut group = Group::new(&THREE_VOTERS, 13);
    let leader = group.elect();
    let before = group.messages_sent;
    for _ in 0..100 {
        group.read(&leader);
    }
    group.run(20);
    assert_eq!(group.ready_reads.len(), 100);
    assert!(
        group.messages_sent - before <= 16,
        "{} messages",
        group.messages_sent - before
    );
}
