//! An HTTP/1.1 listener whose requests can be answered later, from any thread.
//!
//! One thread runs `hyper` on a single-threaded runtime for all connections, so a caller that waits
//! for its response, or stalls in the middle of a request, holds no thread. The interface of this
//! crate has no async types. A request that was received in full is queued for a small pool of
//! handler threads, or passed to a [`Service`], together with a [`Responder`] that may be kept and
//! used on any thread.
//!
//! [`Limits`] bounds the number of connections, the size of heads and bodies, the time to receive
//! them, the time to write a response and the time that sent bytes may stay unacknowledged. When
//! places or bytes are short, a connection is refused or a stalled one is closed ([`Shortage`]).
//!
//! A listener that shuts down accepts the connections that wait for it, answers each request that
//! has arrived and refuses those that it doesn't receive in full. A caller can't know that its idle
//! connection is about to be closed, so this connection gets a refusal too: it answers a request
//! that is on its way, and a caller without a request drops it with the connection.
//!
//! rouille and tiny_http, on which rouille is built, are not suitable. Both use a thread for each
//! connection without a limit and set no read timeout: eight stalled bodies kept a pool of eight
//! threads from serving `/healthz`. In tiny_http 0.12, dropping a request that declares a body of
//! 900 TB aborts the process, because it allocates a buffer of that size.

mod connection;
mod stream;
mod table;

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use hyper::body::Bytes;
use percent_encoding::percent_decode_str;
use socket2::{Domain, Socket, Type};
use tokio::sync::{oneshot, watch};

pub use greengage_budget::Shortage;

use connection::OpenGuards;

/// Limits and timeouts of a listener.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum size of a request body in bytes; larger ones are answered with 413.
    pub max_body_bytes: usize,
    /// Maximum size in bytes of all heads and bodies that are being received, counted as they arrive.
    pub max_buffered_bytes: usize,
    /// Maximum size in bytes of all answers that haven't been read; those of stalled readers give way.
    pub max_answer_bytes: usize,
    /// Bytes of each body that aren't counted.
    pub uncounted_bytes: usize,
    /// What happens when places or bytes are short.
    pub shortage: Shortage,
    /// Maximum size of a request head in bytes; values below 8,192 count as 8,192.
    pub max_head_bytes: usize,
    /// Maximum number of open connections, including those that wait for a response.
    pub max_connections: usize,
    /// Number of handler threads, at least 1.
    pub handler_threads: usize,
    /// Maximum number of requests that wait for a handler; further ones are answered with 503.
    pub max_queued: usize,
    /// Time to receive a head, counted from the accept or, on a reused connection, from its first
    /// byte.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle after a response.
    pub idle_timeout: Duration,
    /// Time to receive a body; a slower one is answered with 408.
    pub body_timeout: Duration,
    /// How long sent bytes may stay unacknowledged before the kernel closes the connection.
    pub unacked_timeout: Duration,
    /// Time to write a response; a slower reader loses its connection.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_body_bytes: 8 << 20,
            max_buffered_bytes: 256 << 20,
            max_answer_bytes: 256 << 20,
            uncounted_bytes: 0,
            shortage: Shortage::RefuseNew,
            max_head_bytes: 16 << 10,
            max_connections: 8192,
            handler_threads: 4,
            max_queued: 4096,
            head_timeout: Duration::from_secs(10),
            // Callers may reuse connections for 15 s, the idle time that operators configure.
            idle_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(5),
            unacked_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// Why a listener can't be started.
#[derive(Debug)]
pub enum ListenError {
    /// The socket can't be bound to the address.
    Address {
        /// The address that was given.
        address: SocketAddr,
        /// The error of the operating system.
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

/// A request that was received in full.
#[derive(Debug)]
pub struct Request {
    /// The method, such as `GET`.
    pub method: String,
    /// The path as sent, still percent-encoded, without the query.
    pub path: String,
    /// The query as sent, still percent-encoded; empty if there is none.
    pub query: String,
    /// The headers, by case-insensitive name.
    pub headers: Headers,
    /// The whole body; empty if there is none.
    pub body: Vec<u8>,
}

impl Request {
    /// The segments of the path, percent-decoded; `None` if one is not valid UTF-8.
    pub fn segments(&self) -> Option<Vec<String>> {
        let path = self.path.trim_start_matches('/');
        path.split('/').map(decode).collect()
    }

    /// The parameters of the query, percent-decoded; `None` if one is not valid UTF-8.
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
    /// The value of a header; `None` if it is absent or not visible ASCII.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name)?.to_str().ok()
    }
}

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status code; an invalid one is sent as 500.
    pub status: u16,
    /// The value of `Content-Type`.
    pub content_type: &'static str,
    /// `Retry-After` in milliseconds, sent in whole seconds, rounded up; `None` omits the header, or
    /// sends one second with status 503.
    pub retry_ms: Option<u64>,
    /// The value of `Location`; `None` omits the header.
    pub location: Option<String>,
    /// Whether to close the connection after the response.
    pub close: bool,
    /// The body, sent as it is.
    pub body: Vec<u8>,
}

impl Answer {
    /// A response with a JSON body.
    pub fn json(status: u16, body: impl Into<Vec<u8>>) -> Answer {
        Answer {
            status,
            content_type: "application/json",
            retry_ms: None,
            location: None,
            close: false,
            body: body.into(),
        }
    }
}

/// Answers one request. Dropping it without an answer closes the connection.
#[derive(Debug)]
pub struct Responder(oneshot::Sender<Answer>);

impl Responder {
    /// Sends the response; does nothing if the caller has disconnected.
    pub fn send(self, answer: Answer) {
        let _ = self.0.send(answer);
    }
}

/// A request and its responder, queued for a handler thread.
type QueuedRequest = (Request, Responder);

/// Handles requests on the listener's own thread, so its methods must not block.
pub trait Service: Send + Sync {
    /// Handles a request; `number` identifies it within this process.
    fn call(&self, number: u64, request: Request, responder: Responder);
    /// The caller of request `number` disconnected before the response.
    fn disconnected(&self, number: u64);
    /// How often [`Service::connections_checked`] is called; `None` if never.
    fn check_interval(&self) -> Option<Duration> {
        None
    }
    /// All disconnects that the kernel knew of at the previous call have been reported.
    fn connections_checked(&self) {}
}

/// Where a listener passes its requests.
enum Handler {
    /// To a pool of handler threads.
    Pool(Sender<QueuedRequest>),
    /// To a service, on the listener's own thread.
    Direct(Box<dyn Service>),
}

/// A running listener. Dropping it closes all connections, also those of pending requests.
pub struct Listener {
    address: SocketAddr,
    open_connections: Arc<AtomicUsize>,
    /// Sending `true` stops accepting; dropping it ends the thread.
    closing: Option<watch::Sender<bool>>,
    /// Disconnected once the listening socket is closed and its address is free.
    socket_closed: Receiver<()>,
    /// Disconnected once all connections are closed as well.
    connections_closed: Receiver<()>,
    thread: Option<JoinHandle<()>>,
}

/// Listens on `address` and passes each request to `handler` on a pool of threads; `name` prefixes
/// the thread names. `reject` builds the response to a request that was not received or not queued,
/// from a status and a message.
pub fn start(
    name: &str,
    address: SocketAddr,
    limits: Limits,
    reject: fn(u16, &str) -> Answer,
    handler: impl Fn(Request, Responder) + Send + Sync + 'static,
) -> Result<Listener, ListenError> {
    let (queue, requests) = bounded(limits.max_queued);
    let handler_threads = limits.handler_threads.max(1);
    let listener = start_listener(name, address, limits, reject, Handler::Pool(queue))?;
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

/// Listens on `address` and passes each request to `service` on the listener's own thread. This
/// saves a thread switch for services that only forward requests.
pub fn start_direct(
    name: &str,
    address: SocketAddr,
    limits: Limits,
    reject: fn(u16, &str) -> Answer,
    service: Box<dyn Service>,
) -> Result<Listener, ListenError> {
    start_listener(name, address, limits, reject, Handler::Direct(service))
}

fn start_listener(
    name: &str,
    address: SocketAddr,
    limits: Limits,
    reject: fn(u16, &str) -> Answer,
    handler: Handler,
) -> Result<Listener, ListenError> {
    let address_error = |cause| ListenError::Address { address, cause };
    let socket = bind(address, &limits).map_err(address_error)?;
    let address = socket.local_addr().map_err(address_error)?;
    let open_connections = Arc::new(AtomicUsize::new(0));
    let (closing, closing_receiver) = watch::channel(false);
    let (socket_guard, socket_closed) = bounded(0);
    let (connections_guard, connections_closed) = bounded(0);
    let guards = OpenGuards {
        socket: socket_guard,
        connections: connections_guard,
    };
    let shared = Arc::new(Shared {
        name: name.to_string(),
        limits,
        reject,
        refusal: connection::refusal(reject),
        handler,
        open_connections: open_connections.clone(),
        started: Instant::now(),
        logged: AtomicU64::new(0),
    });
    let thread = thread::Builder::new()
        .name(name.to_string())
        .spawn(move || connection::run(socket, shared, closing_receiver, guards))
        .map_err(ListenError::Thread)?;
    Ok(Listener {
        address,
        open_connections,
        closing: Some(closing),
        socket_closed,
        connections_closed,
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

    /// Stops listening and closes idle connections; others are closed after their next response.
    pub fn close(&mut self) {
        if let Some(closing) = &self.closing {
            let connections = self.connections();
            if !closing.send_replace(true) && connections > 0 {
                log::info!(event = "listener-closed", address = self.address.to_string().as_str(),
                    connections = connections; "the listener accepts no more connections");
            }
            let _ = self.socket_closed.recv_timeout(CLOSE_TIMEOUT);
        }
    }

    /// Stops listening and waits, for at most `timeout`, until all connections have sent their
    /// current response and are closed. Those that are still open afterwards are aborted when the
    /// listener is dropped.
    pub fn shut_down(&mut self, timeout: Duration) {
        self.close();
        if self.connections_closed.recv_timeout(timeout) == Err(RecvTimeoutError::Timeout) {
            log::info!(event = "connections-aborted", address = self.address.to_string().as_str(),
                connections = self.connections(), timeout_ms = timeout.as_millis() as u64;
                "connections were still open when the listener shut down");
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.closing = None;
        if let Some(thread) = self.thread.take() {
            if thread.join().is_err() {
                log::error!(
                    "the thread of the HTTP listener at {} panicked",
                    self.address
                );
            }
        }
    }
}

/// The number of the next request to a service. All listeners share it, since a process may keep
/// their requests in one table.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// State that all connections of a listener share.
struct Shared {
    /// Name of the listener in metrics and log lines.
    name: String,
    limits: Limits,
    reject: fn(u16, &str) -> Answer,
    /// Response to a request that was not received in full as its connection is closed.
    refusal: Bytes,
    handler: Handler,
    open_connections: Arc<AtomicUsize>,
    started: Instant,
    /// Second after `started` in which a refusal was last logged; 0 if none was.
    logged: AtomicU64,
}

/// How long `close` waits for the thread to close the listening socket.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;

fn bind(address: SocketAddr, limits: &Limits) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // On Linux, accepted sockets inherit these options.
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(limits.unacked_timeout))?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
