//! Byte messages between VMs over QUIC with mutual TLS.
//!
//! Messages may be lost, and each is delivered at most once. Messages of one class from one VM
//! are delivered in order, except while a connection is replaced, which is reported to both VMs.
//!
//! - `keys`: certificate authority of the deployment and key pairs of the VMs.
//! - `queue`: outgoing messages per peer and class.
//! - `link`: outgoing connection to one peer; only sends.
//! - `accept`: incoming connections; only receive.
//! - `frame`: message framing on a stream.
//! - `tls`: TLS and QUIC configuration.
//!
//! All connections run on one thread with a single-threaded async runtime; no async type is part
//! of the interface. Dropping the `Transport` closes the thread's channel, which ends the thread.

mod accept;
mod counter;
mod frame;
pub mod keys;
mod link;
mod queue;
mod tls;

use std::cell::RefCell;
use std::fmt;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use greengage_core::{SortedMap, VmName};
use quinn::{Endpoint, TokioRuntime};
use socket2::SockRef;
use tokio::runtime::Runtime;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinSet, LocalSet};
use tokio::time::timeout;

use accept::Receiver;
use counter::Counters;
pub use counter::{ClassCounts, Counts};
pub use frame::{FrameError, MAX_MESSAGE_BYTES};
use keys::{Keys, KeysError};
use link::{Link, CLOSE_NORMAL};
pub use queue::Class;
use queue::{new_queue, Queue, QueueSender, CLASS_COUNT};
use tls::Tls;

/// Default for [`Settings::idle_timeout`].
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Default for [`Settings::queue_bytes`].
pub const DEFAULT_QUEUE_BYTES: usize = 64 << 20;

/// Receive buffer of the socket that all peers send to. With the Linux default of 208 KiB, 1 to 3%
/// of the packets were lost during a large message.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// Limit of each of the two steps of a shutdown: sending queued messages, and closing the
/// connections.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Settings of one VM's transport.
#[derive(Clone)]
pub struct Settings {
    /// Name of this VM.
    pub vm: VmName,
    /// UDP address to listen on; with port 0 the system chooses a port.
    pub listen: SocketAddr,
    /// Listen addresses of the other VMs.
    pub peers: SortedMap<VmName, SocketAddr>,
    /// Key pair of this VM and the authority's certificate.
    pub keys: Keys,
    /// Idle timeout after which a connection is replaced. Probes are sent at a third of this
    /// interval, so the replacement starts after 1 to 1.33 times the timeout.
    pub idle_timeout: Duration,
    /// Capacity in bytes of the queue of each peer and class. An empty queue accepts a message of
    /// any size.
    pub queue_bytes: usize,
}

/// Error from starting the transport.
#[derive(Debug)]
pub enum TransportError {
    /// The listen address is already in use.
    AddressInUse(SocketAddr),
    /// The socket or the endpoint cannot be created.
    Listen {
        /// Configured listen address.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The keys are invalid or not issued for this VM.
    Keys(KeysError),
    /// The runtime or the thread cannot be started.
    Thread(io::Error),
}

impl fmt::Display for TransportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TransportError::AddressInUse(address) => write!(
                f,
                "UDP address {address} is in use: stop the process that uses it or set another \
                 peer address"
            ),
            TransportError::Listen { address, error } => write!(
                f,
                "cannot listen on UDP address {address}: {error}; set the peer address to one of \
                 this VM's own"
            ),
            TransportError::Keys(error) => error.fmt(f),
            TransportError::Thread(error) => write!(
                f,
                "cannot start the transport thread: {error}; raise the thread limit"
            ),
        }
    }
}

impl std::error::Error for TransportError {}

impl From<KeysError> for TransportError {
    fn from(error: KeysError) -> TransportError {
        TransportError::Keys(error)
    }
}

/// Sending ends of one peer's queues.
struct PeerQueues {
    address: SocketAddr,
    queues: [QueueSender; CLASS_COUNT],
}

type Peers = SortedMap<VmName, Arc<PeerQueues>>;

/// Peer for which the transport thread starts a link.
struct NewPeer {
    vm: VmName,
    address: SocketAddr,
    queues: [Queue; CLASS_COUNT],
}

/// Handle that sends messages to peers. Cloning increments two reference counts.
#[derive(Clone)]
pub struct Sender {
    peers: watch::Receiver<Peers>,
    counters: Arc<Counters>,
}

impl Sender {
    /// Queues `bytes` for `to` without blocking. Returns false if the peer is unknown, its queue is
    /// full, the message is longer than [`MAX_MESSAGE_BYTES`], or the transport was dropped.
    pub fn send(&self, to: &VmName, class: Class, bytes: Vec<u8>) -> bool {
        let accepted = bytes.len() <= MAX_MESSAGE_BYTES
            && self
                .peers
                .borrow()
                .get(to)
                .is_some_and(|peer| peer.queues[class as usize].send(bytes));
        if !accepted {
            self.counters.record_dropped(class);
        }
        accepted
    }

    /// Reads the counters.
    pub fn counts(&self) -> Counts {
        self.counters.snapshot()
    }
}

/// Transport of one VM. Dropping it sends the messages queued for connected peers, for at most
/// 200 ms, and ends the thread.
pub struct Transport {
    sender: Sender,
    peers: watch::Sender<Peers>,
    /// Closing the channel ends the thread; `None` only during the drop.
    new_peers: Option<UnboundedSender<NewPeer>>,
    thread: Option<JoinHandle<()>>,
    local_address: SocketAddr,
    idle_timeout: Duration,
    queue_bytes: usize,
}

/// What the transport delivers of another VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// The bytes of a message from it.
    Message(Vec<u8>),
    /// A connection to or from it was replaced; what was sent on the previous one may be lost.
    Reconnected,
}

/// Starts listening and connecting to the peers. `deliver` receives the name of a VM and what was
/// received of it; it is called on the transport thread and must not block.
pub fn start(
    settings: Settings,
    deliver: impl FnMut(VmName, Received) + Send + 'static,
) -> Result<Transport, TransportError> {
    let tls = Tls::new(&settings.vm, &settings.keys, settings.idle_timeout)?;
    let address = settings.listen;
    let listen_error = |error: io::Error| match error.kind() {
        io::ErrorKind::AddrInUse => TransportError::AddressInUse(address),
        _ => TransportError::Listen { address, error },
    };
    let socket = UdpSocket::bind(address).map_err(listen_error)?;
    // A system limit on the buffer size is not an error: a smaller buffer only loses more packets.
    let _ = SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let local_address = socket.local_addr().map_err(listen_error)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(TransportError::Thread)?;
    let endpoint = {
        let _context = runtime.enter();
        let server = Some(tls.server);
        Endpoint::new(tls.endpoint, server, socket, Arc::new(TokioRuntime)).map_err(listen_error)?
    };

    let counters = Arc::new(Counters::default());
    let (new_peers, new_peer_receiver) = unbounded_channel();
    let (peers, peers_receiver) = watch::channel(Peers::new());
    let transport_thread = TransportThread {
        vm: settings.vm,
        local_address,
        client: tls.client,
        idle_timeout: settings.idle_timeout,
        counters: counters.clone(),
    };
    let thread = thread::Builder::new()
        .name("transport".to_owned())
        .spawn(move || {
            let deliver = Rc::new(RefCell::new(deliver));
            transport_thread.run(runtime, endpoint, new_peer_receiver, deliver)
        })
        .map_err(TransportError::Thread)?;
    let transport = Transport {
        sender: Sender {
            peers: peers_receiver,
            counters,
        },
        peers,
        new_peers: Some(new_peers),
        thread: Some(thread),
        local_address,
        idle_timeout: settings.idle_timeout,
        queue_bytes: settings.queue_bytes,
    };
    transport.set_peers(&settings.peers);
    Ok(transport)
}

impl Transport {
    /// See [`Sender::send`].
    pub fn send(&self, to: &VmName, class: Class, bytes: Vec<u8>) -> bool {
        self.sender.send(to, class, bytes)
    }

    /// Returns a handle for use on other threads.
    pub fn sender(&self) -> Sender {
        self.sender.clone()
    }

    /// Bound listen address, with the port that the system chose for port 0.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_address
    }

    /// See [`Sender::counts`].
    pub fn counts(&self) -> Counts {
        self.sender.counts()
    }

    /// Replaces the set of peers. A peer with an unchanged address keeps its connection and queues.
    /// Messages queued for other previous peers are sent if the peer is connected, and lost if not.
    pub fn set_peers(&self, peers: &SortedMap<VmName, SocketAddr>) {
        let mut added_peers = Vec::new();
        self.peers.send_modify(|current| {
            *current = peers
                .iter()
                .map(|(vm, address)| match current.get(vm) {
                    Some(peer) if peer.address == *address => (vm.clone(), peer.clone()),
                    Some(_) | None => {
                        let (peer, new_peer) = self.new_peer(vm, *address);
                        added_peers.push(new_peer);
                        (vm.clone(), Arc::new(peer))
                    }
                })
                .collect();
        });
        for peer in added_peers {
            // The receiver is owned by the thread, which ends only after `self` is dropped.
            if let Some(new_peers) = &self.new_peers {
                let _ = new_peers.send(peer);
            }
        }
    }

    fn new_peer(&self, vm: &VmName, address: SocketAddr) -> (PeerQueues, NewPeer) {
        let [control, traffic, bulk] = Class::ALL.map(|class| {
            new_queue(
                class,
                self.queue_bytes,
                self.idle_timeout,
                self.sender.counters.clone(),
            )
        });
        let peer = PeerQueues {
            address,
            queues: [control.0, traffic.0, bulk.0],
        };
        let new_peer = NewPeer {
            vm: vm.clone(),
            address,
            queues: [control.1, traffic.1, bulk.1],
        };
        (peer, new_peer)
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        // Closes the queues; the links send the remaining messages and end.
        self.peers.send_modify(Peers::clear);
        self.new_peers = None;
        // If `deliver` owns the transport, this is the transport thread, which cannot join itself.
        if let Some(thread) = self.thread.take() {
            if thread.thread().id() != thread::current().id() && thread.join().is_err() {
                log::error!("the transport thread panicked");
            }
        }
    }
}

/// State of the transport thread, used to create links.
struct TransportThread {
    vm: VmName,
    local_address: SocketAddr,
    client: quinn::ClientConfig,
    idle_timeout: Duration,
    counters: Arc<Counters>,
}

impl TransportThread {
    /// Body of the transport thread.
    fn run(
        self,
        runtime: Runtime,
        endpoint: Endpoint,
        mut new_peer_receiver: UnboundedReceiver<NewPeer>,
        deliver: accept::Deliver,
    ) {
        let tasks = LocalSet::new();
        tasks.block_on(&runtime, async {
            let receiver = Receiver::new(deliver.clone(), self.counters.clone(), self.idle_timeout);
            spawn_local(Rc::new(receiver).run(endpoint.clone()));
            let mut links = JoinSet::new();
            while let Some(peer) = new_peer_receiver.recv().await {
                let link = self.new_link(peer.vm, peer.address, deliver.clone());
                links.spawn_local(link.run(peer.queues));
                while links.try_join_next().is_some() {}
            }
            // Best effort: messages lost here count as lost on the network, and a peer that does
            // not receive the close detects the idle connection.
            let _ = timeout(CLOSE_TIMEOUT, async {
                while links.join_next().await.is_some() {}
            })
            .await;
            endpoint.close(CLOSE_NORMAL, b"shutdown");
            let _ = timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await;
        });
    }

    fn new_link(&self, peer: VmName, address: SocketAddr, deliver: accept::Deliver) -> Link {
        Link {
            vm: self.vm.clone(),
            peer,
            address,
            local_ip: self.local_address.ip(),
            client: self.client.clone(),
            idle_timeout: self.idle_timeout,
            counters: self.counters.clone(),
            deliver,
        }
    }
}
