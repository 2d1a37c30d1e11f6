//! Replacement of connections whose packets are dropped while new connections work.

use std::time::{Duration, Instant};

use greengage_transport::keys::create_authority;
use greengage_transport::Class;

use crate::common::{send_until_received, settings, start_node, vm, Node};
use crate::relay::{Direction, Relay};

const TIMEOUT: Duration = Duration::from_secs(3);

/// Starts VMs `a` and `b`, where `a` connects to `b` through the relay.
fn connected_over_relay() -> (Node, Node, Relay) {
    let authority = create_authority().unwrap();
    let b = start_node(settings(&authority, "b", &[]));
    let relay = Relay::new(b.transport.local_addr());
    let a = start_node(settings(&authority, "a", &[("b", relay.address())]));
    send_until_received(&a, &b, "b", TIMEOUT);
    (a, b, relay)
}

fn expect_reconnect(direction: Direction) {
    let (a, b, relay) = connected_over_relay();
    assert_eq!(relay.flow_count(), 1);
    // Traffic in both directions, so that either side may have data to retransmit.
    a.transport.send(&vm("b"), Class::Bulk, vec![0; 100_000]);
    send_until_received(&a, &b, "b", TIMEOUT);
    relay.block(direction);
    // Lets messages that have already passed the relay arrive.
    std::thread::sleep(Duration::from_millis(100));
    let elapsed = send_until_received(&a, &b, "b", TIMEOUT);
    println!("{direction:?}: reconnected after {elapsed:?} and 100 ms");
    assert_eq!(
        relay.flow_count(),
        2,
        "the new connection has a new local port"
    );
    assert_eq!(a.transport.counts().reconnects, 1);
}

/// Guards against a connection without traffic that is never replaced.
#[test]
fn a_flow_silent_in_both_directions_is_replaced() {
    expect_reconnect(Direction::Both);
}

/// Guards against a sender that does not time out because it still receives packets.
#[test]
fn a_flow_silent_towards_the_server_is_replaced() {
    expect_reconnect(Direction::ToServer);
}

/// Guards against a sender that does not detect missing acknowledgments.
#[test]
fn a_flow_silent_towards_the_client_is_replaced() {
    let (a, b, relay) = connected_over_relay();
    relay.block(Direction::ToClient);
    // Messages still arrive, so only the counters show the replacement.
    let start = Instant::now();
    while a.transport.counts().reconnects == 0 {
        assert!(start.elapsed() < TIMEOUT, "not replaced within {TIMEOUT:?}");
        send_until_received(&a, &b, "b", TIMEOUT);
    }
    send_until_received(&a, &b, "b", TIMEOUT);
    assert_eq!(relay.flow_count(), 2);
}

/// Guards against a VM that doesn't learn that messages to it, or its own, may be lost.
#[test]
fn a_replaced_connection_is_reported_to_both_vms() {
    let (a, b, relay) = connected_over_relay();
    relay.block(Direction::Both);
    assert_eq!(a.reconnected.recv_timeout(TIMEOUT), Ok(vm("b")));
    assert_eq!(b.reconnected.recv_timeout(TIMEOUT), Ok(vm("a")));
    send_until_received(&a, &b, "b", TIMEOUT);
    assert!(a.reconnected.try_recv().is_err() && b.reconnected.try_recv().is_err());
}

/// Guards against stale heartbeats being delivered after an outage, and requests being lost in it.
#[test]
fn late_control_messages_are_dropped_and_traffic_is_kept() {
    let authority = create_authority().unwrap();
    let mut settings_b = settings(&authority, "b", &[]);
    let b = start_node(settings_b.clone());
    settings_b.listen = b.transport.local_addr();
    drop(b);
    let a = start_node(settings(&authority, "a", &[("b", settings_b.listen)]));
    assert!(a.transport.send(&vm("b"), Class::Control, b"old".to_vec()));
    assert!(a
        .transport
        .send(&vm("b"), Class::Traffic, b"request".to_vec()));
    std::thread::sleep(Duration::from_millis(1700));
    let b = start_node(settings_b);
    assert_eq!(b.receive(), (vm("a"), b"request".to_vec()));
    assert!(a.transport.send(&vm("b"), Class::Control, b"new".to_vec()));
    assert_eq!(b.receive(), (vm("a"), b"new".to_vec()));
    assert_eq!(a.transport.counts().class(Class::Control).dropped, 1);
    assert_eq!(a.transport.counts().class(Class::Traffic).dropped, 0);
}

/// Guards against the restart of a killed peer being detected only after the idle timeout: the new
/// process answers with a stateless reset that peers of the old process accept.
#[test]
fn a_peer_that_lost_its_connections_is_dialed_again_at_once() {
    let authority = create_authority().unwrap();
    let settings_b = settings(&authority, "b", &[]);
    let old = start_node(settings_b.clone());
    let relay = Relay::new(old.transport.local_addr());
    let a = start_node(settings(&authority, "a", &[("b", relay.address())]));
    send_until_received(&a, &old, "b", TIMEOUT);
    let new = start_node(settings_b);
    relay.redirect(new.transport.local_addr());
    let elapsed = send_until_received(&a, &new, "b", TIMEOUT);
    assert!(elapsed < Duration::from_millis(800), "after {elapsed:?}");
}
