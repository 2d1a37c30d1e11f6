//! An HTTP/1.1 listener whose requests are answered later, from any thread.
//!
//! `hyper` speaks HTTP, on one thread with a single-threaded runtime, so that a caller that waits
//! for its answer, or stops in the middle of a request, holds no thread. No async type leaves this
//! crate. A request that has arrived in full goes to a small pool of handler threads together with
//! a [`Responder`]; whoever holds the responder answers.
//!
//! Every connection is bounded: their number, the size of head and body, the time in which a head
//! and a body must arrive, and the time that sent bytes may stay unacknowledged. A connection
//! beyond the bound is closed at once.
//!
//! rouille and tiny_http, on which it is built, don't fit. Both give a thread to each connection
//! without a bound and set no read time limit: in trials eight bodies that stopped arriving kept a
//! pool of eight threads from serving `/healthz`. A request that declares a body of 900 TB aborts
//! the process on the allocation when it is dropped (tiny_http 0.12).

mod connection;
mod stream;

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, Sender};
use percent_encoding::percent_decode_str;
use socket2::{Domain, Socket, Type};
use tokio::sync::{oneshot, watch, Semaphore};

/// Bounds of a listener.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Most bytes of all bodies that are arriving; further ones are answered with 503.
    pub max_buffered_bytes: usize,
    /// Largest head in bytes, at least 8,192.
    pub max_head_bytes: usize,
    /// Most connections, waiting callers included.
    pub max_connections: usize,
    /// Threads that handle requests.
    pub handler_threads: usize,
    /// Requests that wait for a handler; further ones are answered with 503.
    pub max_queued: usize,
    /// How long a head may take to arrive, from the accept or the previous answer on.
    pub head_timeout: Duration,
    /// How long a body may take to arrive.
    pub body_timeout: Duration,
    /// How long sent bytes may stay unacknowledged.
    pub unacked_timeout: Duration,
    /// How long an answer may take to be written.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_body_bytes: 8 << 20,
            max_buffered_bytes: 256 << 20,
            max_head_bytes: 16 << 10,
            max_connections: 8192,
            handler_threads: 4,
            max_queued: 4096,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(5),
            unacked_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// Why a listener can't be started.
#[derive(Debug)]
pub enum ListenError {
    /// The address can't be listened on.
    Address {
        /// The address.
        address: SocketAddr,
        /// The cause.
        cause: io::Error,
    },
    /// A thread can't be created.
    Thread(io::Error),
}

impl fmt::Display for ListenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListenError::Address { address, cause } => write!(
                f,
                "can't listen on {address}: {cause}; choose an address of this machine whose port \
                 is free"
            ),
            ListenError::Thread(cause) => {
                write!(f, "can't create a thread: {cause}; raise the process limit")
            }
        }
    }
}

impl std::error::Error for ListenError {}

/// A request that has arrived in full.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path as sent, without the query.
    pub path: String,
    /// The query as sent, empty without one.
    pub query: String,
    /// The headers.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// The decoded segments of the path, or `None` when one is not valid.
    pub fn segments(&self) -> Option<Vec<String>> {
        let path = self.path.trim_start_matches('/');
        path.split('/').map(decode).collect()
    }

    /// The decoded parameters of the query, or `None` when one is not valid.
    pub fn params(&self) -> Option<Vec<(String, String)>> {
        let pairs = self.query.split('&').filter(|pair| !pair.is_empty());
        pairs
            .map(|pair| {
                let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
                Some((decode(name)?, decode(value)?))
            })
            .collect()
    }
}

fn decode(text: &str) -> Option<String> {
    let decoded = percent_decode_str(text).decode_utf8().ok()?;
    Some(decoded.into_owned())
}

/// The headers of a request.
#[derive(Clone, Debug, Default)]
pub struct Headers(Box<hyper::HeaderMap>);

impl Headers {
    /// The value of a header, unless it is missing or not text.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name)?.to_str().ok()
    }
}

/// A response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The media type of the body.
    pub media: &'static str,
    /// For `Retry-After`, in milliseconds; rounded up to whole seconds.
    pub retry_ms: Option<u64>,
    /// For `Location`.
    pub location: Option<String>,
    /// Whether the connection is closed after the answer.
    pub last: bool,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// A JSON document.
    pub fn json(status: u16, body: impl Into<Vec<u8>>) -> Answer {
        Answer {
            status,
            media: "application/json",
            retry_ms: None,
            location: None,
            last: false,
            body: body.into(),
        }
    }
}

/// Answers one request. Dropped without an answer, it closes the connection.
#[derive(Debug)]
pub struct Responder(oneshot::Sender<Answer>);

impl Responder {
    /// Answers; a caller that is gone gets nothing.
    pub fn send(self, answer: Answer) {
        let _ = self.0.send(answer);
    }
}

/// A request with its responder, on its way to a handler.
type QueuedRequest = (Request, Responder);

/// Takes requests on the listener's own thread, so it must not block.
pub trait Service: Send + Sync {
    /// Takes a request; `number` is its number at this listener.
    fn call(&self, number: u64, request: Request, responder: Responder);
    /// The caller of a request that has no answer yet is gone.
    fn gone(&self, number: u64);
}

/// Who takes the requests of a listener.
enum Handler {
    /// A pool of threads.
    Pool(Sender<QueuedRequest>),
    /// The listener's own thread.
    Direct(Box<dyn Service>),
}

/// A running listener; it ends when dropped, without an answer to requests that are still held.
pub struct Listener {
    address: SocketAddr,
    open_connections: Arc<AtomicUsize>,
    /// `true` asks to stop accepting; closing it ends the thread.
    closing: Option<watch::Sender<bool>>,
    /// Closed once the address is free.
    socket_closed: Receiver<()>,
    thread: Option<JoinHandle<()>>,
}

/// Listens on `address` and passes each request to `handler`; threads are called `name`.
/// `refuse` makes the answer to a request that can't be taken, from a status and a message.
pub fn start(
    name: &str,
    address: SocketAddr,
    limits: Limits,
    refuse: fn(u16, &str) -> Answer,
    handler: impl Fn(Request, Responder) + Send + Sync + 'static,
) -> Result<Listener, ListenError> {
    let (queue, requests) = bounded(limits.max_queued);
    let handler_threads = limits.handler_threads.max(1);
    let listener = start_listener(name, address, limits, refuse, Handler::Pool(queue))?;
    let handler = Arc::new(handler);
    for _ in 0..handler_threads {
        let handler = handler.clone();
        let requests: Receiver<QueuedRequest> = requests.clone();
        thread::Builder::new()
            .name(format!("{name}-handler"))
            .spawn(move || {
                for (request, responder) in requests {
                    handler(request, responder);
                }
            })
            .map_err(ListenError::Thread)?;
    }
    Ok(listener)
}

/// Listens on `address` and passes each request to `service` on the listener's own thread, which
/// spares a hand-over for services that only pass requests on.
pub fn start_direct(
    name: &str,
    address: SocketAddr,
    limits: Limits,
    refuse: fn(u16, &str) -> Answer,
    service: Box<dyn Service>,
) -> Result<Listener, ListenError> {
    start_listener(name, address, limits, refuse, Handler::Direct(service))
}

fn start_listener(
    name: &str,
    address: SocketAddr,
    limits: Limits,
    refuse: fn(u16, &str) -> Answer,
    handler: Handler,
) -> Result<Listener, ListenError> {
    let address_error = |cause| ListenError::Address { address, cause };
    let socket = bind(address, &limits).map_err(address_error)?;
    let address = socket.local_addr().map_err(address_error)?;
    let open_connections = Arc::new(AtomicUsize::new(0));
    let (closing, closing_receiver) = watch::channel(false);
    let (socket_open, socket_closed) = bounded(0);
    let shared = Arc::new(Shared {
        body_permits: Semaphore::new(limits.max_buffered_bytes / BODY_PERMIT_BYTES),
        limits,
        refuse,
        handler,
        next_number: AtomicU64::new(0),
        open_connections: open_connections.clone(),
    });
    let thread = thread::Builder::new()
        .name(name.to_string())
        .spawn(move || connection::run(socket, shared, closing_receiver, socket_open))
        .map_err(ListenError::Thread)?;
    Ok(Listener {
        address,
        open_connections,
        closing: Some(closing),
        socket_closed,
        thread: Some(thread),
    })
}

impl Listener {
    /// The address that it listens on, with the port that was chosen for port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Stops listening; open connections are closed after their next answer.
    pub fn close(&mut self) {
        if let Some(closing) = &self.closing {
            closing.send_replace(true);
            let _ = self.socket_closed.recv_timeout(CLOSE_TIMEOUT);
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.closing = None;
        if let Some(thread) = self.thread.take() {
            if thread.join().is_err() {
                log::error!("the thread of the listener at {} panicked", self.address);
            }
        }
    }
}

/// What all connections of a listener share.
struct Shared {
    limits: Limits,
    refuse: fn(u16, &str) -> Answer,
    handler: Handler,
    /// The number of the last request.
    next_number: AtomicU64,
    open_connections: Arc<AtomicUsize>,
    /// What is left of `Limits::arriving_bytes`, in units of `ARRIVING_UNIT`.
    body_permits: Semaphore,
}

/// How long the thread may take to stop listening.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of arriving bodies are counted in units of this, since permits are limited to 32 bits.
const BODY_PERMIT_BYTES: usize = 1 << 10;

/// Connections that the system holds until they are accepted.
const ACCEPT_BACKLOG: i32 = 1024;

fn bind(address: SocketAddr, limits: &Limits) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // Accepted sockets inherit these on Linux.
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(limits.unacked_timeout))?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
