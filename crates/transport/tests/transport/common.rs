//! Transports on loopback addresses, for tests and measurements.

use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use greengage_core::VmName;
use greengage_transport::keys::{create_authority, issue, Authority, Keys};
use greengage_transport::{
    start, Class, Received, Settings, Transport, DEFAULT_IDLE_TIMEOUT, DEFAULT_QUEUE_BYTES,
};

/// Limit for events that must happen.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(10);

/// Message that `send_until_received` sends. Some may arrive after it returns.
pub(crate) const HEARTBEAT: &[u8] = b"beat";

pub(crate) fn vm(name: &str) -> VmName {
    VmName::new(name).unwrap()
}

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Transport under test and the messages delivered to it.
pub(crate) struct Node {
    pub(crate) transport: Transport,
    pub(crate) inbox: Receiver<(VmName, Vec<u8>)>,
    /// The VMs of which a replaced connection was reported.
    pub(crate) reconnected: Receiver<VmName>,
}

pub(crate) fn settings(
    authority: &Authority,
    name: &str,
    peers: &[(&str, SocketAddr)],
) -> Settings {
    Settings {
        vm: vm(name),
        listen: any_port(),
        peers: peers.iter().map(|(name, at)| (vm(name), *at)).collect(),
        keys: Keys::new(authority, issue(authority, &vm(name)).unwrap()),
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
        queue_bytes: DEFAULT_QUEUE_BYTES,
    }
}

pub(crate) fn start_node(settings: Settings) -> Node {
    let (deliveries, inbox) = channel();
    let (reconnections, reconnected) = channel();
    let deliver = move |vm, received| {
        let _ = match received {
            Received::Message(bytes) => deliveries.send((vm, bytes)).is_ok(),
            Received::Reconnected => reconnections.send(vm).is_ok(),
        };
    };
    Node {
        transport: start(settings, deliver).unwrap(),
        inbox,
        reconnected,
    }
}

/// Starts two VMs that are peers of each other.
pub(crate) fn connected_pair() -> (Node, Node) {
    let authority = create_authority().unwrap();
    let a = start_node(settings(&authority, "a", &[]));
    let b = start_node(settings(
        &authority,
        "b",
        &[("a", a.transport.local_addr())],
    ));
    let peers = [(vm("b"), b.transport.local_addr())];
    a.transport.set_peers(&peers.into_iter().collect());
    (a, b)
}

impl Node {
    pub(crate) fn receive(&self) -> (VmName, Vec<u8>) {
        self.inbox.recv_timeout(TIMEOUT).expect("a message arrives")
    }
}

/// Sends a `Control` message to `name` every 20 ms until `to` receives one, and returns the elapsed
/// time. Panics after `limit`.
pub(crate) fn send_until_received(from: &Node, to: &Node, name: &str, limit: Duration) -> Duration {
    let start = Instant::now();
    while to.inbox.try_recv().is_ok() {}
    while start.elapsed() < limit {
        from.transport
            .send(&vm(name), Class::Control, HEARTBEAT.to_vec());
        if to.inbox.recv_timeout(Duration::from_millis(20)).is_ok() {
            return start.elapsed();
        }
    }
    panic!("no message from {name}'s peer arrived within {limit:?}");
}

/// Waits until `condition` holds, at most [`TIMEOUT`]. A transport may count an event after the
/// peer has observed it.
pub(crate) fn wait_until(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "the condition does not hold");
        std::thread::sleep(Duration::from_millis(5));
    }
}
