//! The mesh thread, which accepts connections and runs the links to other VMs.

use std::cell::RefCell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use greengage_core::{SortedMap, VmName};
use socket2::{Domain, Socket, Type};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::timeout;

use crate::link;
use crate::receive::Receivers;

/// Several times the size of a configuration with some thousand queues.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Maximum number of messages queued for one link; further ones are dropped.
const LINK_QUEUE_MESSAGES: usize = 2048;
/// Maximum number of connections that wait in the kernel to be accepted.
const ACCEPT_BACKLOG: i32 = 256;
/// Delay after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How long sent bytes may stay unacknowledged; shorter than the time-outs of callers.
pub(crate) const ACK_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for the messages that are queued when the mesh is dropped: several round trips between
/// zones. It is part of the time that a process has for its exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// Limits on what other VMs may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of accepted connections.
    pub connections: usize,
    /// Maximum size in bytes of all messages that are being received; at least one is taken.
    pub buffered_bytes: usize,
    /// Maximum size of one message in bytes.
    pub message_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            connections: 2048,
            buffered_bytes: 256 << 20,
            message_bytes: MAX_MESSAGE_BYTES,
        }
    }
}

/// An error that prevents the mesh from starting.
#[derive(Debug)]
pub enum MeshError {
    /// Listening on the address failed.
    Listen(SocketAddr, io::Error),
    /// Creating the thread failed.
    Thread(io::Error),
}

impl fmt::Display for MeshError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MeshError::Listen(address, cause) => write!(
                f,
                "cannot listen for VMs on {address}: {cause}; choose a free port on this machine"
            ),
            MeshError::Thread(cause) => {
                write!(
                    f,
                    "cannot create the mesh thread: {cause}; raise the process limit"
                )
            }
        }
    }
}

impl std::error::Error for MeshError {}

/// A command to the mesh thread.
enum Command {
    Send(SocketAddr, Vec<u8>),
    Reconnect(SocketAddr),
}

/// A handle to the mesh thread. Dropping it sends the queued messages, for `FLUSH_TIMEOUT` at most,
/// ends the thread and closes all connections.
pub struct Mesh {
    /// `None` only while it is dropped.
    commands: Option<mpsc::UnboundedSender<Command>>,
    thread: Option<JoinHandle<()>>,
}

pub(crate) type DeliverFn = Arc<dyn Fn(VmName, Vec<u8>) + Send + Sync>;

impl Mesh {
    /// Starts the mesh thread, which listens on `address` and calls `deliver` with the sender and
    /// the bytes of each message.
    pub fn start(
        local_vm: VmName,
        address: SocketAddr,
        limits: Limits,
        deliver: impl Fn(VmName, Vec<u8>) + Send + Sync + 'static,
    ) -> Result<Mesh, MeshError> {
        let listener = listen(address).map_err(|cause| MeshError::Listen(address, cause))?;
        let (commands, receiver) = mpsc::unbounded_channel();
        let deliver: DeliverFn = Arc::new(deliver);
        let thread = thread::Builder::new()
            .name("mesh".to_string())
            .spawn(move || {
                run(
                    local_vm,
                    listener,
                    receiver,
                    Receivers::new(limits, deliver),
                )
            })
            .map_err(MeshError::Thread)?;
        Ok(Mesh {
            commands: Some(commands),
            thread: Some(thread),
        })
    }

    /// Sends a message without waiting; it is lost if the VM can't be reached or the queue is full.
    pub fn send(&self, address: SocketAddr, message: Vec<u8>) {
        self.command(Command::Send(address, message));
    }

    /// Closes the connection to an address; the next message opens a new one.
    ///
    /// Called when nothing is received from a VM, since a device between the VMs may acknowledge
    /// bytes without forwarding them, which `ACK_TIMEOUT` does not detect.
    pub fn reconnect(&self, address: SocketAddr) {
        self.command(Command::Reconnect(address));
    }

    fn command(&self, command: Command) {
        if let Some(commands) = &self.commands {
            // The send fails only after the thread has ended, which it has logged.
            let _ = commands.send(command);
        }
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        drop(self.commands.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been reported by then.
            let _ = thread.join();
        }
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
    receivers: Rc<Receivers>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, async {
            match TcpListener::from_std(listener) {
                Ok(listener) => {
                    tokio::task::spawn_local(accept_connections(listener, receivers));
                    dispatch_commands(local_vm, commands).await;
                }
                Err(error) => log::error!("cannot register the listener for VMs: {error}"),
            }
        }),
        Err(error) => log::error!("cannot create the runtime of the mesh: {error}"),
    }
}

/// Executes commands until the handle is dropped; each message goes to the link of its address.
/// Then waits until the links have sent what is queued.
async fn dispatch_commands(local_vm: VmName, mut commands: mpsc::UnboundedReceiver<Command>) {
    let links: Rc<RefCell<SortedMap<SocketAddr, mpsc::Sender<Vec<u8>>>>> = Rc::default();
    let mut tasks = JoinSet::new();
    while let Some(command) = commands.recv().await {
        while tasks.try_join_next().is_some() {}
        let mut open_links = links.borrow_mut();
        let (address, message) = match command {
            Command::Send(address, message) => (address, message),
            Command::Reconnect(address) => {
                // Dropping the sender closes the link's queue, which ends the link.
                if let Some(link) = open_links.remove(&address) {
                    let queued = link.max_capacity() - link.capacity();
                    log::info!(event = "link-replaced", address = address.to_string().as_str(),
                        queued = queued; "nothing was received from a VM");
                }
                continue;
            }
        };
        if open_links.get(&address).is_none_or(mpsc::Sender::is_closed) {
            let (sender, queue) = mpsc::channel(LINK_QUEUE_MESSAGES);
            tasks.spawn_local(link::run(local_vm.clone(), address, queue));
            open_links.insert(address, sender);
        }
        let sent = open_links.get(&address).map(|link| link.try_send(message));
        if let Some(Err(mpsc::error::TrySendError::Full(_))) = sent {
            log::debug!("queue of messages to {address} is full; dropped a message");
        }
    }
    drop(links);
    let flushed = async { while tasks.join_next().await.is_some() {} };
    if timeout(FLUSH_TIMEOUT, flushed).await.is_err() {
        log::debug!("queued messages were dropped at the end of the mesh");
    }
}

async fn accept_connections(listener: TcpListener, receivers: Rc<Receivers>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                receivers.add(stream);
                // Lets a connection that gave way close before another one is accepted.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
