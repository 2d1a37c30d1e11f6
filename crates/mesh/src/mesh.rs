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
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Messages that wait for one connection; further ones are dropped.
const LINK_QUEUE_MESSAGES: usize = 2048;
/// Connections that the system holds until they are accepted.
const ACCEPT_BACKLOG: i32 = 256;
/// Pause after an accept that failed, as it does without free descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Bytes read at a time.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// How long sent bytes may stay unacknowledged; shorter than what makes a caller give up.
pub(crate) const ACK_TIMEOUT: Duration = Duration::from_millis(900);

/// Why the mesh can't be started.
#[derive(Debug)]
pub enum MeshError {
    /// The address can't be listened on.
    Listen(SocketAddr, io::Error),
    /// A thread can't be created.
    Thread(io::Error),
}

impl fmt::Display for MeshError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MeshError::Listen(address, cause) => write!(
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
enum Command {
    Send(SocketAddr, Vec<u8>),
    Reconnect(SocketAddr),
}

/// Sends messages to other VMs; dropping it ends the thread and its connections.
pub struct Mesh {
    commands: mpsc::UnboundedSender<Command>,
}

type DeliverFn = Arc<dyn Fn(VmName, Vec<u8>) + Send + Sync>;

impl Mesh {
    /// Listens on `address` and hands each message with its sender to `deliver`.
    pub fn start(
        local_vm: VmName,
        address: SocketAddr,
        deliver: impl Fn(VmName, Vec<u8>) + Send + Sync + 'static,
    ) -> Result<Mesh, MeshError> {
        let listener = listen(address).map_err(|cause| MeshError::Listen(address, cause))?;
        let (commands, receiver) = mpsc::unbounded_channel();
        let deliver: DeliverFn = Arc::new(deliver);
        thread::Builder::new()
            .name("mesh".to_string())
            .spawn(move || run(local_vm, listener, receiver, deliver))
            .map_err(MeshError::Thread)?;
        Ok(Mesh { commands })
    }

    /// Sends a message; it is lost when there is no connection.
    pub fn send(&self, address: SocketAddr, message: Vec<u8>) {
        // A closed channel means that the thread has ended, which it has logged.
        let _ = self.commands.send(Command::Send(address, message));
    }

    /// Closes the connection to an address; the next message goes over a new one. To be called
    /// when a VM isn't heard, since what is between the VMs may acknowledge bytes and lose them.
    pub fn reconnect(&self, address: SocketAddr) {
        let _ = self.commands.send(Command::Reconnect(address));
    }
}

fn listen(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

fn run(
    local_vm: VmName,
    listener: std::net::TcpListener,
    commands: mpsc::UnboundedReceiver<Command>,
    deliver: DeliverFn,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, async {
            match TcpListener::from_std(listener) {
                Ok(listener) => {
                    tokio::task::spawn_local(accept_connections(listener, deliver));
                    dispatch_commands(local_vm, commands).await;
                }
                Err(error) => log::error!("the listener for VMs can't be used: {error}"),
            }
        }),
        Err(error) => log::error!("no runtime for connections between VMs: {error}"),
    }
}

/// Passes each message to the link of its address, until the outbox is closed.
async fn dispatch_commands(local_vm: VmName, mut commands: mpsc::UnboundedReceiver<Command>) {
    let links: Rc<RefCell<SortedMap<SocketAddr, mpsc::Sender<Vec<u8>>>>> = Rc::default();
    while let Some(command) = commands.recv().await {
        let mut open_links = links.borrow_mut();
        let (address, message) = match command {
            Command::Send(address, message) => (address, message),
            Command::Reconnect(address) => {
                // The link ends with its queue.
                open_links.remove(&address);
                continue;
            }
        };
        if open_links.get(&address).is_none_or(mpsc::Sender::is_closed) {
            let (sender, queue) = mpsc::channel(LINK_QUEUE_MESSAGES);
            tokio::task::spawn_local(link::run(local_vm.clone(), address, queue));
            open_links.insert(address, sender);
        }
        let sent = open_links.get(&address).map(|link| link.try_send(message));
        if let Some(Err(mpsc::error::TrySendError::Full(_))) = sent {
            log::debug!("the queue of messages to {address} is full; a message is dropped");
        }
    }
}

async fn accept_connections(listener: TcpListener, deliver: DeliverFn) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(read_messages(stream, deliver.clone()));
            }
            Err(error) => {
                log::warn!("a connection of a VM can't be accepted: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads messages until the connection ends.
async fn read_messages(mut stream: TcpStream, deliver: DeliverFn) {
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(ACK_TIMEOUT));
    let mut bytes = Vec::with_capacity(READ_CHUNK_BYTES);
    let mut sender = None;
    loop {
        bytes.reserve(READ_CHUNK_BYTES);
        match stream.read_buf(&mut bytes).await {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) => return log::debug!("a connection of a VM broke: {error}"),
        }
        let mut start = 0;
        while let Some(length) = link::frame_length(&bytes[start..]) {
            if length > MAX_MESSAGE_BYTES {
                return log::warn!("a VM sent a frame of {length} bytes; its connection is closed");
            }
            let Some(frame) = bytes
                .get(start + link::FRAME_HEADER_BYTES..start + link::FRAME_HEADER_BYTES + length)
            else {
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
            start += link::FRAME_HEADER_BYTES + length;
        }
        bytes.drain(..start);
    }
}
