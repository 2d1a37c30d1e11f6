//! Shares, and which connections lose when they are used up.

use std::time::{Duration, Instant};

use greengage_budget::{Admission, Connections, Held, Pool, Shares, Shortage};

/// Guards against shares that add up to more than the VM has.
#[test]
fn shares_leave_room_for_the_program() {
    for (memory, descriptors) in [
        (120_000_000, 3_075),
        (160_000_000, 4_100),
        (640 << 20, 4_324),
    ] {
        let shares = Shares::new(Some(memory), Some(descriptors));
        let bytes = shares.connections * (20 << 10)
            + shares.incoming
            + shares.answers
            + shares.requests
            + shares.messages
            + shares.reports;
        assert!(bytes as u64 <= memory * 5 / 8, "{shares:?}");
        let sockets = shares.connections
            + 2 * shares.side_connections
            + shares.peer_connections
            + shares.target_connections;
        assert!(sockets <= (descriptors - 200) * 7 / 8, "{shares:?}");
        assert!(shares.body >= 4 << 20, "{shares:?}");
    }
}

/// Guards against a deployment without limits in its settings that is served worse than before.
#[test]
fn unknown_memory_keeps_the_earlier_limits() {
    let shares = Shares::new(None, None);
    assert_eq!((shares.connections, shares.body), (8192, 8 << 20));
    assert!(shares.incoming >= 256 << 20);
    assert_eq!(shares.message, 16 << 20);
}

/// Guards against an answer that is cut while its caller reads it, since all other connections wait for
/// theirs, and against a caller that keeps its place by not reading.
#[test]
fn answers_that_are_being_read_keep_their_place() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut connections = Connections::new(2, [1 << 20; 2], Shortage::CloseStalled);
    for ms in 1..=2 {
        assert_eq!(connections.open(at(ms)), Admission::Opened(ms, None));
    }
    connections.progress(at(3), 1, true);
    connections.answering(at(4), 2);
    assert_eq!(connections.open(at(5)), Admission::Full);
    connections.answering(at(90), 2);
    assert_eq!(connections.open(at(180)), Admission::Full);
    assert_eq!(connections.open(at(200)), Admission::Opened(3, Some(2)));
    connections.answering(at(201), 3);
    connections.progress(at(202), 3, false);
    assert_eq!(connections.open(at(203)), Admission::Opened(4, Some(3)));
}

/// Guards against a crowd that stops half-way and keeps newcomers out.
#[test]
fn the_connection_without_progress_for_longest_gives_way() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut connections = Connections::new(3, [1 << 20; 2], Shortage::CloseStalled);
    for ms in 1..=3 {
        assert_eq!(connections.open(at(ms)), Admission::Opened(ms, None));
    }
    connections.progress(at(4), 1, true);
    // A byte now and then isn't progress, a KiB is.
    connections.received(at(5), 2, 100);
    connections.received(at(6), 3, 1024);
    assert_eq!(connections.open(at(7)), Admission::Opened(4, Some(2)));
    assert_eq!(connections.open(at(8)), Admission::Opened(5, Some(3)));
    connections.progress(at(9), 4, true);
    connections.progress(at(9), 5, true);
    assert_eq!(connections.open(at(10)), Admission::Full);
}

/// Guards against the loss of a request that is being run, or of one that advances, to a stalled one.
#[test]
fn bytes_are_taken_from_stalled_requests_only() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut connections = Connections::new(9, [100; 2], Shortage::CloseStalled);
    let mut closed = Vec::new();
    for ms in 1..=4 {
        connections.open(at(ms));
        assert!(connections.hold(ms, Held::Incoming, 25, &mut closed));
    }
    connections.progress(at(5), 1, true);
    connections.received(at(6), 3, 2000);
    assert!(connections.hold(3, Held::Incoming, 50, &mut closed));
    assert!(!connections.hold(4, Held::Incoming, 30, &mut closed));
    assert_eq!(closed, [2]);
    // An answer is held although no other reader gives way.
    assert!(connections.hold(3, Held::Answer, 500, &mut closed));
    assert!(connections.hold(1, Held::Answer, 10, &mut closed));
    assert_eq!(closed, [2, 3]);
}

/// Guards against connections that are closed where the newcomer is to be refused.
#[test]
fn newcomers_are_refused_where_the_listener_says_so() {
    let now = Instant::now();
    let mut connections = Connections::new(1, [10; 2], Shortage::RefuseNew);
    assert_eq!(connections.open(now), Admission::Opened(1, None));
    assert_eq!(connections.open(now), Admission::Full);
    let mut closed = Vec::new();
    assert!(!connections.hold(1, Held::Incoming, 11, &mut closed));
    assert!(connections.hold(1, Held::Incoming, 0, &mut closed));
    assert!(closed.is_empty());
}

/// Guards against charges that are never given back.
#[test]
fn a_dropped_charge_returns_its_bytes() {
    let pool = Pool::new(10);
    let charge = pool.take(8);
    assert!(charge.is_some() && pool.take(3).is_none());
    drop(charge);
    assert!(pool.take(10).is_some() && pool.take(11).is_none());
}

/// Guards against a use that is refused for ever because its charge exceeds the limit.
#[test]
fn a_charge_above_the_limit_is_granted_alone() {
    let pool = Pool::new(10);
    let small = pool.take(1);
    assert!(small.is_some() && pool.take_or_alone(25).is_none());
    drop(small);
    let large = pool.take_or_alone(25);
    assert!(large.is_some() && pool.take_or_alone(1).is_none());
    drop(large);
    assert!(pool.take_or_alone(10).is_some());
}
