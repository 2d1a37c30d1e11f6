//! The HTTP server of stand-in targets. It can send an answer twice and reset a connection at any
//! point.
//!
//! Server libraries hide their connections, which fault injection needs to control. So this module
//! manages the connections and takes only the syntax of methods, headers and responses from
//! `tiny_http`. Production code doesn't use this server.
//!
//! A thread of a bounded pool reads one request and passes it to the handler together with a
//! [`Responder`], which owns the connection. If the handler answers at once, the same thread writes
//! the answer and reads the next request. If the handler keeps the responder, the thread returns to
//! the pool; once the answer is given, a thread of the pool writes it and reads the next request.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use tiny_http::{HTTPVersion, Header, Response, StatusCode};

use crate::receive::{read_request, RejectReason};
use greengage_http::pool::ThreadPool;
use greengage_http::HttpError;
use greengage_listener::{Answer, Request};

/// Limits of a server.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    /// Largest body.
    pub(crate) body_bytes: usize,
    /// Most bytes of all requests together that are still arriving.
    pub(crate) arriving_bytes: usize,
    /// Largest request line with headers.
    pub(crate) head_bytes: usize,
    /// Most connections, including those whose request awaits its answer.
    pub(crate) connections: usize,
    /// Most threads in the pool. New connections are rejected while three quarters of them are
    /// busy, so that threads are left to write the answers to held requests.
    pub(crate) threads: usize,
    /// How long a connection may stay idle between requests.
    pub(crate) idle_timeout: Duration,
    /// How long a request may take to arrive, from the accept or its first byte on.
    pub(crate) read_timeout: Duration,
    /// How long writing an answer may take, beyond its transfer time at 4 KiB per ms.
    pub(crate) write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body_bytes: 8 << 20,
            // 64 bodies of the largest size.
            arriving_bytes: 512 << 20,
            head_bytes: 16 << 10,
            connections: 8192,
            threads: 1024,
            idle_timeout: Duration::from_secs(10),
            read_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(5),
        }
    }
}

/// Encodes a response; `is_head` leaves out the body.
fn encode_response(answer: Answer, version: HTTPVersion, is_head: bool, close: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(answer.body.len() + 256);
    let length = answer.body.len();
    let mut headers = vec![header("Content-Type", answer.content_type)];
    if let Some(ms) = answer.retry_ms {
        headers.push(header("Retry-After", &ms.div_ceil(1000).to_string()));
    }
    let body = io::Cursor::new(answer.body);
    // By default `tiny_http` sends large bodies chunked; the length is known here.
    Response::new(StatusCode(answer.status), headers, body, Some(length), None)
        .with_chunked_threshold(usize::MAX)
        .raw_print(&mut out, version, &[], is_head, None)
        .expect("writing to memory can't fail");
    if close {
        // `tiny_http` drops a `Connection` header that it is given, so the bytes are inserted.
        let headers_start = out.windows(2).position(|w| w == b"\r\n").unwrap_or(0) + 2;
        out.splice(headers_start..headers_start, *b"Connection: close\r\n");
    }
    out
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("header names and values are ASCII")
}

/// The responder and the answer to write at once, or `None` if the handler keeps the responder.
pub(crate) type HandlerResult = Option<(Responder, Answer)>;

type Handler = dyn Fn(Request, Responder) -> HandlerResult + Send + Sync;

struct Shared {
    limits: Limits,
    pool: ThreadPool,
    stopping: AtomicBool,
    open_connections: AtomicUsize,
    arriving_bytes: AtomicUsize,
    next_connection: AtomicU64,
    // By connection number; used to interrupt blocked reads and writes when the server stops. A
    // B-tree because entries are removed in any order and there may be thousands.
    streams: Mutex<BTreeMap<u64, Arc<TcpStream>>>,
    handler: Box<Handler>,
}

impl Shared {
    fn streams(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<TcpStream>>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running server; dropping it stops it.
pub(crate) struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept_thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Listens on `address` and passes each request to `handler`; thread names start with `name`.
    pub(crate) fn start(
        name: &str,
        address: SocketAddr,
        limits: Limits,
        handler: impl Fn(Request, Responder) -> HandlerResult + Send + Sync + 'static,
    ) -> Result<Server, HttpError> {
        let address_error = |cause| HttpError::Address { address, cause };
        let listener = listen(address).map_err(address_error)?;
        let address = listener.local_addr().map_err(address_error)?;
        let shared = Arc::new(Shared {
            pool: ThreadPool::new(name, limits.threads),
            limits,
            stopping: AtomicBool::new(false),
            open_connections: AtomicUsize::new(0),
            arriving_bytes: AtomicUsize::new(0),
            next_connection: AtomicU64::new(0),
            streams: Mutex::new(BTreeMap::new()),
            handler: Box::new(handler),
        });
        let accept_shared = shared.clone();
        let accept_thread = thread::Builder::new()
            .name(format!("{name}-accept"))
            .spawn(move || accept_connections(&accept_shared, &listener))
            .map_err(HttpError::Thread)?;
        Ok(Server {
            address,
            shared,
            accept_thread: Some(accept_thread),
        })
    }

    /// The listening address, with the port that the system chose if port 0 was given.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number that the next connection will get.
    pub(crate) fn next_connection(&self) -> u64 {
        self.shared.next_connection.load(Ordering::Relaxed)
    }

    /// Stops listening; each open connection closes after its next answer.
    pub(crate) fn stop_accepting(&mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        if let Some(accept_thread) = self.accept_thread.take() {
            // A connection wakes the thread, which is blocked in `accept`.
            let woken = TcpStream::connect_timeout(&wake_address(self.address), STOP_TIMEOUT);
            if woken.is_ok() {
                let _ = accept_thread.join();
            }
        }
    }

    /// Closes all connections without an answer and waits up to `STOP_TIMEOUT` for the threads.
    pub(crate) fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        self.stop_accepting();
        self.shared.pool.close();
        for stream in self.shared.streams().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        if !self.shared.pool.join_timeout(STOP_TIMEOUT) {
            log::warn!(
                "some threads of the server at {} did not end in time",
                self.address
            );
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// How long a stop waits for the threads to end.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Lowest rate at which a peer must read a large answer.
const WRITE_BYTES_PER_MS: usize = 4 << 10;

/// How long input is read and discarded after a request was rejected.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Accept backlog; Linux caps it at `net.core.somaxconn`, by default 4,096.
const BACKLOG: i32 = 4096;

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn wake_address(address: SocketAddr) -> SocketAddr {
    let mut address = address;
    if address.ip().is_unspecified() {
        match address {
            SocketAddr::V4(_) => address.set_ip(std::net::Ipv4Addr::LOCALHOST.into()),
            SocketAddr::V6(_) => address.set_ip(std::net::Ipv6Addr::LOCALHOST.into()),
        }
    }
    address
}

fn accept_connections(shared: &Arc<Shared>, listener: &TcpListener) {
    while !shared.stopping.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((stream, _)) if !shared.stopping.load(Ordering::Relaxed) => admit(shared, stream),
            Ok(_) => return,
            Err(e) => {
                // Out of file descriptors, or the peer closed the connection before the accept.
                log::warn!("accept failed: {e}");
                thread::sleep(Duration::from_millis(20));
            }
        }
    }
}

fn admit(shared: &Arc<Shared>, stream: TcpStream) {
    let limits = &shared.limits;
    let prepared = stream
        .set_nodelay(true)
        .and_then(|()| stream.set_write_timeout(Some(limits.write_timeout)));
    if prepared.is_err() {
        return;
    }
    let overloaded = shared.open_connections.load(Ordering::Relaxed) >= limits.connections
        || shared.pool.active_jobs() >= (limits.threads * 3 / 4).max(1);
    if overloaded {
        let answer = Answer {
            retry_ms: Some(1000),
            ..Answer::json(
                503,
                r#"{"error":"busy","message":"not run: too many connections; submit again","not_run":true,"retry_ms":1000}"#,
            )
        };
        let _ = (&stream).write_all(&encode_response(answer, HTTPVersion(1, 1), false, true));
        let _ = stream.shutdown(Shutdown::Write);
        return;
    }
    let connection = Connection::new(shared, stream);
    let deadline = Instant::now() + limits.read_timeout;
    shared.pool.run(move || serve(connection, Some(deadline)));
}

/// One connection; dropping it closes it.
pub(crate) struct Connection {
    shared: Arc<Shared>,
    number: u64,
    stream: Arc<TcpStream>,
    // Bytes read but not yet consumed by a request.
    pub(crate) buffered: Vec<u8>,
    // Bytes of the current request that are counted in `Shared::arriving_bytes`.
    arrived_bytes: usize,
}

impl Connection {
    fn new(shared: &Arc<Shared>, stream: TcpStream) -> Connection {
        let number = shared.next_connection.fetch_add(1, Ordering::Relaxed);
        let stream = Arc::new(stream);
        shared.open_connections.fetch_add(1, Ordering::Relaxed);
        shared.streams().insert(number, stream.clone());
        Connection {
            shared: shared.clone(),
            number,
            stream,
            buffered: Vec::new(),
            arrived_bytes: 0,
        }
    }

    fn count_bytes(&mut self, bytes: usize) -> io::Result<()> {
        self.arrived_bytes += bytes;
        let before = self
            .shared
            .arriving_bytes
            .fetch_add(bytes, Ordering::Relaxed);
        match before + bytes > self.shared.limits.arriving_bytes {
            true => Err(io::ErrorKind::OutOfMemory.into()),
            false => Ok(()),
        }
    }

    fn release_bytes(&mut self) {
        let bytes = std::mem::take(&mut self.arrived_bytes);
        self.shared
            .arriving_bytes
            .fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Reads more bytes into the buffer. Fails with `TimedOut` at `deadline`, `UnexpectedEof` at
    /// the end of the stream and `OutOfMemory` beyond `Limits::arriving_bytes`.
    pub(crate) fn fill(&mut self, deadline: Instant) -> io::Result<()> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(remaining))?;
        let mut chunk = [0; 16 << 10];
        match (&*self.stream).read(&mut chunk) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => {
                self.buffered.extend_from_slice(&chunk[..n]);
                self.count_bytes(n)
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Err(io::ErrorKind::TimedOut.into()),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(e) => Err(e),
        }
    }

    pub(crate) fn limits(&self) -> &Limits {
        &self.shared.limits
    }

    /// Writes all bytes within `Limits::write_timeout` plus the transfer time at the lowest rate.
    pub(crate) fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let transfer_time = Duration::from_millis((bytes.len() / WRITE_BYTES_PER_MS) as u64);
        let deadline = Instant::now() + self.shared.limits.write_timeout + transfer_time;
        let mut unsent = bytes;
        while !unsent.is_empty() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_write_timeout(Some(remaining))?;
            match (&*self.stream).write(unsent) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => unsent = &unsent[n..],
                Err(e) if e.kind() == io::ErrorKind::Interrupted => (),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Reads and discards what the peer still sends. Closing a socket with unread input resets the
    /// connection, and the peer would lose the answer.
    fn drain(&mut self) {
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        let max_dropped = 2 * self.shared.limits.body_bytes;
        let mut dropped = 0;
        let _ = self.stream.shutdown(Shutdown::Write);
        self.release_bytes();
        while dropped < max_dropped && self.fill(deadline).is_ok() {
            dropped += self.buffered.len();
            self.buffered.clear();
            self.release_bytes();
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.release_bytes();
        self.shared.streams().remove(&self.number);
        self.shared.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers one request; dropping it without an answer closes the connection.
pub(crate) struct Responder {
    connection: Connection,
    version: HTTPVersion,
    is_head: bool,
    close: bool,
}

impl Responder {
    /// Answers from a thread of the pool, so that the calling thread never blocks on the peer.
    pub(crate) fn send(self, answer: Answer) {
        let pool = self.connection.shared.pool.clone();
        pool.run(move || {
            if let Some(connection) = self.write(answer) {
                serve(connection, None);
            }
        });
    }

    /// Answers, and sends the same answer again `gap` later, as a faulty peer may do.
    pub(crate) fn send_twice(self, answer: Answer, gap: Duration) {
        let pool = self.connection.shared.pool.clone();
        pool.run(move || {
            let again = encode_response(answer.clone(), self.version.clone(), self.is_head, false);
            let Some(connection) = self.write(answer) else {
                return;
            };
            thread::sleep(gap);
            if connection.write(&again).is_ok() {
                serve(connection, None);
            }
        });
    }

    /// The number of the connection; numbers increase in the order of accepts.
    pub(crate) fn connection(&self) -> u64 {
        self.connection.number
    }

    /// Writes the answer; returns the connection, or `None` if it closes.
    fn write(self, answer: Answer) -> Option<Connection> {
        let shared = &self.connection.shared;
        // An idle connection occupies a thread, so none is kept while half of them are busy.
        let close = self.close
            || shared.stopping.load(Ordering::Relaxed)
            || shared.pool.active_jobs() > shared.pool.max_threads() / 2;
        let bytes = encode_response(answer, self.version, self.is_head, close);
        match self.connection.write(&bytes) {
            Ok(()) if !close => Some(self.connection),
            Ok(()) => {
                let _ = self.connection.stream.shutdown(Shutdown::Write);
                None
            }
            Err(_) => None,
        }
    }

    /// Resets the connection, to imitate a crashed process.
    pub(crate) fn reset(self) {
        let _ = socket2::SockRef::from(&*self.connection.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Handles requests until the connection closes or the handler keeps the responder.
fn serve(mut connection: Connection, mut deadline: Option<Instant>) {
    loop {
        let (request, responder) = match receive(connection, deadline.take()) {
            Ok(received) => received,
            Err(Rejected { connection, reason }) => {
                reject(connection, reason);
                return;
            }
        };
        let shared = responder.connection.shared.clone();
        let Some((responder, answer)) = (shared.handler)(request, responder) else {
            return;
        };
        match responder.write(answer) {
            Some(next) => connection = next,
            None => return,
        }
    }
}

struct Rejected {
    connection: Connection,
    reason: RejectReason,
}

fn reject(mut connection: Connection, reason: RejectReason) {
    let (status, kind, message) = match reason {
        RejectReason::Disconnected => return,
        RejectReason::TimedOut => (
            408,
            "slow",
            format!(
                "not run: the request did not arrive within {} ms; send it again",
                connection.shared.limits.read_timeout.as_millis()
            ),
        ),
        RejectReason::Malformed(what) => (400, "malformed", format!("not run: {what}")),
        RejectReason::UnsupportedVersion => (
            505,
            "version",
            "not run: use HTTP/1.0 or HTTP/1.1".to_string(),
        ),
        RejectReason::HeadTooLong(limit) => (
            431,
            "headers",
            format!("not run: request line and headers exceed {limit} bytes; shorten them"),
        ),
        RejectReason::BodyTooLong(limit) => (
            413,
            "body",
            format!("not run: the body exceeds {limit} bytes; send fewer or smaller tasks"),
        ),
        RejectReason::TooManyBytes => (
            503,
            "busy",
            "not run: too many large requests; submit again".to_string(),
        ),
    };
    let retry_ms = (status == 503).then_some(1000);
    let mut body = serde_json::json!({"error": kind, "message": message, "not_run": true});
    if let Some(ms) = retry_ms {
        body["retry_ms"] = ms.into();
    }
    let answer = Answer {
        retry_ms,
        ..Answer::json(status, body.to_string())
    };
    if connection
        .write(&encode_response(answer, HTTPVersion(1, 1), false, true))
        .is_ok()
    {
        connection.drain();
    }
}

fn receive(
    mut connection: Connection,
    deadline: Option<Instant>,
) -> Result<(Request, Responder), Rejected> {
    let read = read_request(&mut connection, deadline);
    connection.release_bytes();
    match read {
        Ok((request, version, close)) => {
            let responder = Responder {
                connection,
                version,
                is_head: request.method == "HEAD",
                close,
            };
            Ok((request, responder))
        }
        Err(reason) => Err(Rejected { connection, reason }),
    }
}
