//! Messages between VMs over loopback sockets.

use std::time::Duration;

use greengage_transport::keys::make_authority;
use greengage_transport::Class;

use crate::common::{flows, node, pair, settings, vm};

/// Guards against messages that are lost, changed or attributed to another VM on a good network.
#[test]
fn messages_of_each_class_arrive_unchanged_with_their_sender() {
    let (a, b) = pair();
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

/// Guards against a peer that stays unreachable after a restart on its old address.
#[test]
fn a_restarted_peer_is_reachable_within_about_a_second() {
    let authority = make_authority().unwrap();
    let mut of_b = settings(&authority, "b", &[]);
    let b = node(of_b.clone());
    of_b.listen = b.transport.local_addr();
    let a = node(settings(&authority, "a", &[("b", of_b.listen)]));
    flows(&a, &b, "b", Duration::from_secs(2));
    drop(b);
    // Long enough for the backoff to reach its maximum.
    std::thread::sleep(Duration::from_secs(2));
    let b = node(of_b);
    flows(&a, &b, "b", Duration::from_millis(1600));
    assert_eq!(a.transport.counts().reconnects, 1);
}
