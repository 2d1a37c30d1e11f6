//! The thread that accepts and makes connections.

use std::cell::RefCell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use greengage_core::{SortedMap, VmName};
use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::link;

/// Longest message in bytes: a configuration of some thousand queues fits several times.
pub(crate) const MESSAGE_BYTES: usize = 16 << 20;
/// Messages that wait for one connection; further ones are dropped.
const WAITING: usize = 2048;
/// Connections that the system holds until they are accepted.
const BACKLOG: i32 = 256;
/// Pause after an accept that failed, as it does without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Bytes read at a time.
const READ_BYTES: usize = 16 << 10;
/// How long sent bytes may stay unacknowledged; shorter than what makes a caller give up.
pub(crate) const UNACKNOWLEDGED: Duration = Duration::from_millis(900);

/// Why the mesh can't be started.
#[derive(Debug)]
pub enum MeshError {
    /// The address can't be listened on.
    Address(SocketAddr, io::Error),
    /// A thread can't be created.
    Thread(io::Error),
}

impl fmt::Display for MeshError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MeshError::Address(address, cause) => write!(
                f,
                "can't listen for VMs on {address}: {cause}; choose a free port of this machine"
            ),
            MeshError::Thread(cause) => {
                write!(f, "can't create a thread: {cause}; raise the process limit")
            }
        }
    }
}

impl std::error::Error for MeshError {}

/// What the thread has to do.
enum Order {
    Send(SocketAddr, Vec<u8>),
    Reconnect(SocketAddr),
}

/// Sends messages to other VMs; dropping it ends the thread and its connections.
pub struct Mesh {
    outbox: mpsc::UnboundedSender<Order>,
}

type Deliver = Arc<dyn Fn(VmName, Vec<u8>) + Send + Sync>;

impl Mesh {
    /// Listens on `address` and hands each message with its sender to `deliver`.
    pub fn start(
        own: VmName,
        address: SocketAddr,
        deliver: impl Fn(VmName, Vec<u8>) + Send + Sync + 'static,
    ) -> Result<Mesh, MeshError> {
        let listener = listen(address).map_err(|cause| MeshError::Address(address, cause))?;
        let (outbox, orders) = mpsc::unbounded_channel();
        let deliver: Deliver = Arc::new(deliver);
        thread::Builder::new()
            .name("mesh".to_string())
            .spawn(move || run(own, listener, orders, deliver))
            .map_err(MeshError::Thread)?;
        Ok(Mesh { outbox })
    }

    /// Sends a message; it is lost when there is no connection.
    pub fn send(&self, to: SocketAddr, message: Vec<u8>) {
        // A closed channel means that the thread has ended, which it has logged.
        let _ = self.outbox.send(Order::Send(to, message));
    }

    /// Closes the connection to an address; the next message goes over a new one. To be called
    /// when a VM isn't heard, since what is between the VMs may acknowledge bytes and lose them.
    pub fn reconnect(&self, to: SocketAddr) {
        let _ = self.outbox.send(Order::Reconnect(to));
    }
}

fn listen(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

fn run(
    own: VmName,
    listener: std::net::TcpListener,
    orders: mpsc::UnboundedReceiver<Order>,
    deliver: Deliver,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, async {
            match TcpListener::from_std(listener) {
                Ok(listener) => {
                    tokio::task::spawn_local(accept(listener, deliver));
                    send_all(own, orders).await;
                }
                Err(error) => log::error!("the listener for VMs can't be used: {error}"),
            }
        }),
        Err(error) => log::error!("no runtime for connections between VMs: {error}"),
    }
}

/// Passes each message to the link of its address, until the outbox is closed.
async fn send_all(own: VmName, mut orders: mpsc::UnboundedReceiver<Order>) {
    let links: Rc<RefCell<SortedMap<SocketAddr, mpsc::Sender<Vec<u8>>>>> = Rc::default();
    while let Some(order) = orders.recv().await {
        let mut known = links.borrow_mut();
        let (address, message) = match order {
            Order::Send(address, message) => (address, message),
            Order::Reconnect(address) => {
                // The link ends with its queue.
                known.remove(&address);
                continue;
            }
        };
        if known.get(&address).is_none_or(mpsc::Sender::is_closed) {
            let (sender, queue) = mpsc::channel(WAITING);
            tokio::task::spawn_local(link::run(own.clone(), address, queue));
            known.insert(address, sender);
        }
        let sent = known.get(&address).map(|link| link.try_send(message));
        if let Some(Err(mpsc::error::TrySendError::Full(_))) = sent {
            log::debug!("the queue of messages to {address} is full; a message is dropped");
        }
    }
}

async fn accept(listener: TcpListener, deliver: Deliver) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(receive(stream, deliver.clone()));
            }
            Err(error) => {
                log::warn!("a connection of a VM can't be accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Reads messages until the connection ends.
async fn receive(mut stream: TcpStream, deliver: Deliver) {
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED));
    let mut bytes = Vec::with_capacity(READ_BYTES);
    let mut sender = None;
    loop {
        bytes.reserve(READ_BYTES);
        match stream.read_buf(&mut bytes).await {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) => return log::debug!("a connection of a VM broke: {error}"),
        }
        let mut start = 0;
        while let Some(length) = link::frame_length(&bytes[start..]) {
            if length > MESSAGE_BYTES {
                return log::warn!("a VM sent a frame of {length} bytes; its connection is closed");
            }
            let Some(frame) = bytes.get(start + link::HEAD..start + link::HEAD + length) else {
                break;
            };
            match &sender {
                Some(from) => deliver(VmName::clone(from), frame.to_vec()),
                None => match std::str::from_utf8(frame)
                    .ok()
                    .and_then(|t| VmName::new(t).ok())
                {
                    Some(name) => sender = Some(name),
                    None => return log::warn!("a connection starts without a VM name"),
                },
            }
            start += link::HEAD + length;
        }
        bytes.drain(..start);
    }
}
