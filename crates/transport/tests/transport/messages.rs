//! Message delivery, queue limits and peer changes.

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use greengage_transport::keys::create_authority;
use greengage_transport::{start, Class, TransportError, MAX_MESSAGE_BYTES};

use crate::common::{
    any_port, connected_pair, send_until_received, settings, start_node, vm, wait_until, Node,
    HEARTBEAT, TIMEOUT,
};

/// Guards against messages that are lost, altered or attributed to another VM on a working network.
#[test]
fn messages_of_each_class_arrive_unchanged_with_their_sender() {
    let (a, b) = connected_pair();
    for class in Class::ALL {
        let message = vec![class as u8; 200];
        assert!(b.transport.send(&vm("a"), class, message.clone()));
        assert_eq!(a.receive(), (vm("b"), message.clone()));
        assert!(a.transport.send(&vm("b"), class, message.clone()));
        assert_eq!(b.receive(), (vm("a"), message));
    }
    let counts = a.transport.counts();
    assert_eq!(counts.class(Class::Bulk).received, 1);
    assert_eq!(counts.class(Class::Bulk).received_bytes, 200);
    assert_eq!(counts.class(Class::Bulk).sent, 1);
    assert_eq!((counts.connects, counts.reconnects), (1, 0));
}

/// Guards against a peer that remains unreachable after a restart on the same address.
#[test]
fn a_restarted_peer_is_reachable_within_about_a_second() {
    let authority = create_authority().unwrap();
    let mut settings_b = settings(&authority, "b", &[]);
    let b = start_node(settings_b.clone());
    settings_b.listen = b.transport.local_addr();
    let a = start_node(settings(&authority, "a", &[("b", settings_b.listen)]));
    send_until_received(&a, &b, "b", Duration::from_secs(2));
    drop(b);
    // Long enough for the backoff to reach its maximum.
    std::thread::sleep(Duration::from_secs(2));
    let b = start_node(settings_b);
    send_until_received(&a, &b, "b", Duration::from_millis(1600));
    assert_eq!(a.transport.counts().reconnects, 1);
}

/// Guards against a snapshot that delays heartbeats until an election starts.
#[test]
fn a_large_message_does_not_delay_heartbeats() {
    let (a, b) = connected_pair();
    send_until_received(&a, &b, "b", TIMEOUT);
    let start = Instant::now();
    assert!(a
        .transport
        .send(&vm("b"), Class::Bulk, vec![7; MAX_MESSAGE_BYTES / 2]));
    let mut heartbeats = 0u32;
    let mut slowest = Duration::ZERO;
    loop {
        let sent = Instant::now();
        a.transport
            .send(&vm("b"), Class::Control, heartbeats.to_be_bytes().to_vec());
        let mut message = b.receive().1;
        while message == HEARTBEAT {
            // Sent before the measurement.
            message = b.receive().1;
        }
        if message.len() == MAX_MESSAGE_BYTES / 2 {
            assert!(message.iter().all(|byte| *byte == 7));
            break;
        }
        assert_eq!(message, heartbeats.to_be_bytes());
        slowest = slowest.max(sent.elapsed());
        heartbeats += 1;
        std::thread::sleep(Duration::from_millis(5));
    }
    let bulk = start.elapsed();
    println!("{heartbeats} heartbeats during a message that took {bulk:?}, slowest {slowest:?}");
    assert!(
        heartbeats >= 3 && slowest < Duration::from_millis(150),
        "{slowest:?}"
    );
}

/// Guards against unbounded memory use for an unreachable peer, and against a queue that remains
/// full after its messages are dropped.
#[test]
fn a_full_queue_rejects_messages_of_its_peer_and_class_only() {
    let authority = create_authority().unwrap();
    let unreachable = UdpSocket::bind(any_port()).unwrap().local_addr().unwrap();
    let b = start_node(settings(&authority, "b", &[]));
    let mut settings_a = settings(
        &authority,
        "a",
        &[("b", b.transport.local_addr()), ("c", unreachable)],
    );
    settings_a.queue_bytes = 10_000;
    let a = start_node(settings_a);
    let send = |to, class, bytes| a.transport.send(&vm(to), class, vec![0; bytes]);
    let accepted = |class, bytes| (0..1000).filter(|_| send("c", class, bytes)).count();
    assert_eq!(accepted(Class::Traffic, 1000), 9);
    assert_eq!(
        accepted(Class::Control, 0),
        156,
        "empty messages count as well"
    );
    assert!(send("c", Class::Bulk, 50_000), "one message always fits");
    assert!(!send("c", Class::Bulk, 0));
    assert!(send("b", Class::Traffic, 1000));
    assert!(!send("nobody", Class::Control, 1));
    assert!(!send("b", Class::Bulk, MAX_MESSAGE_BYTES + 1));
    let counts = a.transport.counts();
    assert_eq!(counts.class(Class::Traffic).dropped, 991);
    // Succeeds once the first message of the queue has expired.
    wait_until(|| send("c", Class::Control, 1000));
}

/// Guards against a peer set that is fixed at the start, and against lost messages to a peer that
/// is unchanged in the new set.
#[test]
fn peers_change_at_run_time() {
    let authority = create_authority().unwrap();
    let a = start_node(settings(&authority, "a", &[]));
    let b = start_node(settings(&authority, "b", &[]));
    let c = start_node(settings(&authority, "c", &[]));
    let sender = a.transport.sender();
    let set = |peers: &[(&str, &Node)]| {
        let peers = peers.iter().map(|(n, p)| (vm(n), p.transport.local_addr()));
        a.transport.set_peers(&peers.collect());
    };
    assert!(!sender.send(&vm("b"), Class::Traffic, vec![1]));
    set(&[("b", &b)]);
    assert!(sender.send(&vm("b"), Class::Traffic, vec![2]));
    set(&[("b", &b), ("c", &c)]);
    assert_eq!(b.receive().1, [2]);
    assert!(sender.send(&vm("c"), Class::Traffic, vec![3]));
    assert_eq!(c.receive().1, [3]);
    set(&[("c", &c)]);
    assert!(!sender.send(&vm("b"), Class::Traffic, vec![4]));
    assert_eq!(a.transport.counts().connects, 2);
    // The peer restarts at another address.
    drop(c);
    let c = start_node(settings(&authority, "c", &[]));
    set(&[("c", &c)]);
    send_until_received(&a, &c, "c", Duration::from_secs(1));
}

/// Guards against a shutdown that loses the last messages, such as a leadership transfer.
#[test]
fn messages_queued_before_the_drop_arrive() {
    let (a, b) = connected_pair();
    send_until_received(&a, &b, "b", TIMEOUT);
    for i in 0..200 {
        assert!(a.transport.send(&vm("b"), Class::Control, vec![i; 1000]));
    }
    drop(a);
    let messages = std::iter::repeat_with(|| b.receive().1).filter(|m| m != HEARTBEAT);
    for (i, message) in messages.take(200).enumerate() {
        assert_eq!(message, vec![i as u8; 1000]);
    }
}

/// Guards against an error that does not name the address in use, and against a dropped transport
/// that leaks its port or its thread.
#[test]
fn an_address_is_in_use_until_the_transport_is_dropped() {
    let authority = create_authority().unwrap();
    let mut settings = settings(&authority, "a", &[]);
    let a = start_node(settings.clone());
    settings.listen = a.transport.local_addr();
    let error = start(settings.clone(), |_, _| {}).err().unwrap();
    assert!(matches!(error, TransportError::AddressInUse(at) if at == settings.listen));
    assert!(
        error.to_string().contains(&settings.listen.to_string()),
        "{error}"
    );
    let sender = a.transport.sender();
    let Node {
        transport, inbox, ..
    } = a;
    drop(transport);
    // The end of the thread drops `deliver` and with it the channel.
    assert!(inbox.recv().is_err());
    assert!(!sender.send(&vm("a"), Class::Control, vec![]));
    drop(start(settings, |_, _| {}).unwrap());
}
