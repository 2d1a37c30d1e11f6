//! Messages of bytes between VMs, over QUIC with mutual TLS.
//!
//! Messages may be lost, and each arrives at most once. The messages of one class from one VM
//! arrive in order, except around the replacement of a connection.
//!
//! - `keys`: the deployment's authority and the key pairs of the VMs.
//! - `queue`: messages that wait for a peer.
//! - `link`: the connection to one peer, which only sends.
//! - `accept`: the connections from peers, which only receive.
//! - `frame`: the division of a stream into messages.
//! - `tls`: settings of TLS and QUIC.
//!
//! All connections share one thread with a single-threaded runtime; no async type leaves this
//! crate. The thread ends when the `Transport` is dropped, because that closes its channel.

mod accept;
mod counter;
mod frame;
pub mod keys;
mod link;
mod queue;
mod tls;

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

/// Default for [`Settings::silent`].
pub const SILENT: Duration = Duration::from_millis(1500);
/// Default for [`Settings::queue`].
pub const QUEUE_BYTES: usize = 64 << 20;

/// Socket buffer for bursts of all peers. Linux gives 208 KiB by default, with which 1 to 3% of
/// the packets were lost beside a large message.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// Longest time that a dropped transport takes to send what is queued, and then to tell its peers
/// that it ends.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Settings of one VM's transport.
#[derive(Clone)]
pub struct Settings {
    /// This VM.
    pub vm: VmName,
    /// Where peers connect to.
    pub listen: SocketAddr,
    /// Where the other VMs listen.
    pub peers: SortedMap<VmName, SocketAddr>,
    /// This VM's keys.
    pub keys: Keys,
    /// How long a connection may be silent before it is replaced. Probes are a third of this
    /// apart, so the replacement starts after 1 to 1.33 times this span.
    pub silent: Duration,
    /// Most bytes that wait, per peer and class; at least one message always fits.
    pub queue: usize,
}

/// Why the transport can't start.
#[derive(Debug)]
pub enum TransportError {
    /// Another process listens on the address.
    AddressInUse(SocketAddr),
    /// The address can't be listened on.
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// The keys can't be used.
    Keys(KeysError),
    /// The thread can't be started.
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
                "cannot start the transport thread: {error}; raise the limit of threads"
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

/// The queues of one peer, from the caller's side.
struct PeerQueues {
    address: SocketAddr,
    queues: [QueueSender; CLASS_COUNT],
}

type Peers = SortedMap<VmName, Arc<PeerQueues>>;

/// Tells the transport thread about a new peer.
struct NewPeer {
    vm: VmName,
    address: SocketAddr,
    queues: [Queue; CLASS_COUNT],
}

/// Sends messages to peers; a clone costs two reference counts.
#[derive(Clone)]
pub struct Sender {
    peers: watch::Receiver<Peers>,
    counters: Arc<Counters>,
}

impl Sender {
    /// Queues `bytes` for `to` without blocking; false when the peer is unknown, its queue is
    /// full, the message is longer than [`MAX_MESSAGE_BYTES`] or the transport was dropped.
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

    /// What has been counted since the start.
    pub fn counts(&self) -> Counts {
        self.counters.snapshot()
    }
}

/// One VM's connections to the others. Dropping it sends what is queued for connected peers, for
/// at most 200 ms, and ends the thread.
pub struct Transport {
    sender: Sender,
    peers: watch::Sender<Peers>,
    /// Closing it ends the thread.
    new_peers: Option<UnboundedSender<NewPeer>>,
    thread: Option<JoinHandle<()>>,
    local_address: SocketAddr,
    idle_timeout: Duration,
    queue_bytes: usize,
}

/// Starts to listen and to connect to the peers. `deliver` is called on the transport thread and
/// must not block.
pub fn start(
    settings: Settings,
    deliver: impl FnMut(VmName, Vec<u8>) + Send + 'static,
) -> Result<Transport, TransportError> {
    let tls = Tls::new(&settings.vm, &settings.keys, settings.silent)?;
    let address = settings.listen;
    let listen_error = |error: io::Error| match error.kind() {
        io::ErrorKind::AddrInUse => TransportError::AddressInUse(address),
        _ => TransportError::Listen { address, error },
    };
    let socket = UdpSocket::bind(address).map_err(listen_error)?;
    // A smaller buffer only loses more packets, so a limit of the system is no error.
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
    let (new_peers, inbox) = unbounded_channel();
    let (peers, peers_receiver) = watch::channel(Peers::new());
    let transport_thread = TransportThread {
        vm: settings.vm,
        local_address,
        client: tls.client,
        idle_timeout: settings.silent,
        counters: counters.clone(),
    };
    let thread = thread::Builder::new()
        .name("transport".to_owned())
        .spawn(move || transport_thread.run(runtime, endpoint, inbox, Box::new(deliver)))
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
        idle_timeout: settings.silent,
        queue_bytes: settings.queue,
    };
    transport.set_peers(&settings.peers);
    Ok(transport)
}

impl Transport {
    /// See [`Sender::send`].
    pub fn send(&self, to: &VmName, class: Class, bytes: Vec<u8>) -> bool {
        self.sender.send(to, class, bytes)
    }

    /// A handle for other threads.
    pub fn sender(&self) -> Sender {
        self.sender.clone()
    }

    /// The address that peers connect to, with the port that was chosen for port 0.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_address
    }

    /// What has been counted since the start.
    pub fn counts(&self) -> Counts {
        self.sender.counts()
    }

    /// Replaces the peers. A peer whose address stays the same keeps its connection and queue.
    /// Messages to other peers that are queued are sent if the peer is connected, and lost if not.
    pub fn set_peers(&self, peers: &SortedMap<VmName, SocketAddr>) {
        let mut added = Vec::new();
        self.peers.send_modify(|current| {
            *current = peers
                .iter()
                .map(|(vm, address)| match current.get(vm) {
                    Some(peer) if peer.address == *address => (vm.clone(), peer.clone()),
                    Some(_) | None => {
                        let (peer, new_peer) = self.new_peer(vm, *address);
                        added.push(new_peer);
                        (vm.clone(), Arc::new(peer))
                    }
                })
                .collect();
        });
        for peer in added {
            // The receiver lives as long as the thread, which ends after this is dropped.
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
        // Closes the queues; their links send what is left and end.
        self.peers.send_modify(Peers::clear);
        self.new_peers = None;
        // `deliver` may own the transport; then this is the transport thread.
        if let Some(thread) = self.thread.take() {
            if thread.thread().id() != thread::current().id() && thread.join().is_err() {
                log::error!("the transport thread panicked");
            }
        }
    }
}

/// What the transport thread needs to make links.
struct TransportThread {
    vm: VmName,
    local_address: SocketAddr,
    client: quinn::ClientConfig,
    idle_timeout: Duration,
    counters: Arc<Counters>,
}

impl TransportThread {
    /// The transport thread.
    fn run(
        self,
        runtime: Runtime,
        endpoint: Endpoint,
        mut inbox: UnboundedReceiver<NewPeer>,
        deliver: accept::Deliver,
    ) {
        let tasks = LocalSet::new();
        tasks.block_on(&runtime, async {
            let receiver = Receiver::new(deliver, self.counters.clone(), self.idle_timeout);
            spawn_local(Rc::new(receiver).run(endpoint.clone()));
            let mut links = JoinSet::new();
            while let Some(peer) = inbox.recv().await {
                links.spawn_local(self.new_link(peer.vm, peer.address).run(peer.queues));
                while links.try_join_next().is_some() {}
            }
            // Best effort: what is lost here is lost as on a bad network, and a peer that isn't
            // told notices the silence.
            let _ = timeout(CLOSE_TIMEOUT, async {
                while links.join_next().await.is_some() {}
            })
            .await;
            endpoint.close(CLOSE_NORMAL, b"shutdown");
            let _ = timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await;
        });
    }

    fn new_link(&self, peer: VmName, address: SocketAddr) -> Link {
        Link {
            vm: self.vm.clone(),
            peer,
            address,
            local_ip: self.local_address.ip(),
            client: self.client.clone(),
            idle_timeout: self.idle_timeout,
            counters: self.counters.clone(),
        }
    }
}
