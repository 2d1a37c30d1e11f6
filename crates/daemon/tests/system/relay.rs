//! Relays that drop or stall traffic: UDP between VMs, and TCP to a target.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Interval at which a blocked thread checks whether the relay has been dropped.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What a relay does with traffic in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkMode {
    Pass,
    Drop,
    /// Blocks traffic until another mode is set.
    Stall,
}

struct Link {
    /// Indexed by direction: 0 from the connecting side, 1 back to it.
    modes: [LinkMode; 2],
    /// Traffic of flows with a lower number is dropped permanently.
    first_open: usize,
    /// Number of the next flow.
    next_flow: usize,
    ended: bool,
}

struct SharedLink {
    link: Mutex<Link>,
    changed: Condvar,
}

impl SharedLink {
    fn new() -> Arc<SharedLink> {
        let link = Link {
            modes: [LinkMode::Pass; 2],
            first_open: 0,
            next_flow: 0,
            ended: false,
        };
        Arc::new(SharedLink {
            link: Mutex::new(link),
            changed: Condvar::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Link> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, update: impl FnOnce(&mut Link)) {
        update(&mut self.lock());
        self.changed.notify_all();
    }

    fn add_flow(&self) -> usize {
        let mut link = self.lock();
        link.next_flow += 1;
        link.next_flow - 1
    }

    /// Blocks while the direction stalls; returns whether to forward the data.
    fn wait_open(&self, flow: usize, direction: usize) -> bool {
        let link = self.lock();
        let stalled = |link: &mut Link| !link.ended && link.modes[direction] == LinkMode::Stall;
        let link = self.changed.wait_while(link, stalled);
        let link = link.unwrap_or_else(PoisonError::into_inner);
        !link.ended && link.modes[direction] == LinkMode::Pass && flow >= link.first_open
    }

    fn ended(&self) -> bool {
        self.lock().ended
    }
}

/// Sets the modes of a relay; dropping it ends the relay's threads.
struct LinkControl(Arc<SharedLink>);

impl LinkControl {
    fn set_modes(&self, forward: LinkMode, backward: LinkMode) {
        self.0.update(|link| link.modes = [forward, backward]);
    }

    fn drop_flows(&self) {
        self.0.update(|link| link.first_open = link.next_flow);
    }
}

impl Drop for LinkControl {
    fn drop(&mut self) {
        self.0.update(|link| link.ended = true);
    }
}

fn is_transient(kind: ErrorKind) -> bool {
    // An ICMP "port unreachable" for an earlier datagram is reported as a refused or reset
    // connection.
    matches!(
        kind,
        ErrorKind::WouldBlock
            | ErrorKind::TimedOut
            | ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::Interrupted
    )
}

/// Relay of datagrams to one VM; a flow is the traffic of one client port.
pub(crate) struct UdpRelay {
    address: SocketAddr,
    control: LinkControl,
}

impl UdpRelay {
    pub(crate) fn start(to: SocketAddr) -> UdpRelay {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port");
        socket
            .set_read_timeout(Some(POLL_INTERVAL))
            .expect("a timeout");
        let address = socket.local_addr().expect("an address");
        let shared = SharedLink::new();
        let control = LinkControl(shared.clone());
        thread::spawn(move || {
            let mut flows: BTreeMap<SocketAddr, (usize, UdpSocket)> = BTreeMap::new();
            let mut buffer = vec![0; 65_536];
            while !shared.ended() {
                let (length, from) = match socket.recv_from(&mut buffer) {
                    Ok(received) => received,
                    Err(e) if is_transient(e.kind()) => continue,
                    Err(_) => return,
                };
                let (flow, upstream) = flows.entry(from).or_insert_with(|| {
                    let upstream = UdpSocket::bind("127.0.0.1:0").expect("a loopback port");
                    upstream.connect(to).expect("a loopback address");
                    upstream
                        .set_read_timeout(Some(POLL_INTERVAL))
                        .expect("a timeout");
                    let flow = shared.add_flow();
                    let downstream = socket.try_clone().expect("a second handle");
                    let replies = upstream.try_clone().expect("a second handle");
                    let shared = shared.clone();
                    thread::spawn(move || {
                        forward_replies(&shared, flow, &replies, &downstream, from)
                    });
                    (flow, upstream)
                });
                if shared.wait_open(*flow, 0) {
                    let _ = upstream.send(&buffer[..length]);
                }
            }
        });
        UdpRelay { address, control }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the modes for datagrams to the VM and back from it.
    pub(crate) fn set_modes(&self, forward: LinkMode, backward: LinkMode) {
        self.control.set_modes(forward, backward);
    }

    /// Drops all further traffic of the existing flows.
    pub(crate) fn drop_flows(&self) {
        self.control.drop_flows();
    }
}

fn forward_replies(
    shared: &SharedLink,
    flow: usize,
    from: &UdpSocket,
    to: &UdpSocket,
    client: SocketAddr,
) {
    let mut buffer = vec![0; 65_536];
    while !shared.ended() {
        match from.recv(&mut buffer) {
            Ok(length) if shared.wait_open(flow, 1) => {
                let _ = to.send_to(&buffer[..length], client);
            }
            Ok(_) => {}
            Err(e) if is_transient(e.kind()) => {}
            Err(_) => return,
        }
    }
}

/// Relay of connections to one target.
pub(crate) struct TcpRelay {
    address: SocketAddr,
    control: LinkControl,
}

impl TcpRelay {
    pub(crate) fn start(to: SocketAddr) -> TcpRelay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        let shared = SharedLink::new();
        let control = LinkControl(shared.clone());
        thread::spawn(move || {
            for client in listener.incoming() {
                if shared.ended() {
                    return;
                }
                let Ok(client) = client else { continue };
                let Ok(server) = TcpStream::connect(to) else {
                    continue;
                };
                let flow = shared.add_flow();
                for (direction, from, to) in [(0, &client, &server), (1, &server, &client)] {
                    let from = from.try_clone().expect("a second handle");
                    let to = to.try_clone().expect("a second handle");
                    let shared = shared.clone();
                    thread::spawn(move || forward_stream(&shared, flow, direction, from, to));
                }
            }
        });
        TcpRelay { address, control }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all further traffic of the existing connections, which stay open.
    pub(crate) fn drop_flows(&self) {
        self.control.drop_flows();
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.control.0.update(|link| link.ended = true);
        // Wakes the accepting thread.
        let _ = TcpStream::connect(self.address);
    }
}

fn forward_stream(
    shared: &SharedLink,
    flow: usize,
    direction: usize,
    mut from: TcpStream,
    mut to: TcpStream,
) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut buffer = [0; 16_384];
    while !shared.ended() {
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) if shared.wait_open(flow, direction) => {
                if to.write_all(&buffer[..length]).is_err() {
                    break;
                }
            }
            Ok(_) => {}
            Err(e) if is_transient(e.kind()) && e.kind() != ErrorKind::ConnectionReset => {}
            Err(_) => break,
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
