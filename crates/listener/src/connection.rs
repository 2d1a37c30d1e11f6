//! The thread that accepts connections and serves HTTP on all of them.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Sender, TrySendError};
use greengage_budget::Shortage;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request as HttpRequest, Response as HttpResponse, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::LocalSet;

use crate::stream::{read_closed, refuse_connection, Exchange, Phase, TimedStream};
use crate::table::{record_refusal, Reason, Table};
use crate::{Answer, Handler, Headers, Request, Responder, Shared, ACCEPT_BACKLOG, NEXT_NUMBER};

/// Delay after a failed accept, which would fail again at once while no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Interval of a check that follows a late one, for instance after the process was paused.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Times that other tasks run before the next connection is accepted.
const MAX_YIELDS: usize = 64;

/// Message of a request for which there is no room.
const NO_ROOM: &str = "too many bodies are being received: send the request again with the same id";

/// Sources of events besides connections: the listening socket and the runtime's own wake-ups, with
/// room for a connection that is closed at once.
const OTHER_SOURCES: usize = 8;

/// Bytes of a rejected body that are read and dropped so that the caller receives the response.
const MAX_DISCARD_BYTES: usize = 64 << 20;
/// How long the rest of a rejected body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// `Retry-After` of a 503 response that names no time, as are refusals by this crate, in
/// milliseconds.
const DEFAULT_RETRY_MS: u64 = 1000;

/// Channels of a listener that are closed as it shuts down.
pub(crate) struct OpenGuards {
    /// Closed once the listening socket is closed.
    pub(crate) socket: Sender<()>,
    /// Closed once the listening socket and all connections are closed.
    pub(crate) connections: Sender<()>,
}

/// Runs until the sender of `closing` is dropped.
pub(crate) fn run(
    socket: std::net::TcpListener,
    shared: Arc<Shared>,
    closing: watch::Receiver<bool>,
    guards: OpenGuards,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        // `report_checks` relies on one look at the sockets for all that are ready.
        .max_io_events_per_tick(shared.limits.max_connections + OTHER_SOURCES)
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return log::error!("can't create the runtime of the HTTP listener: {error}"),
    };
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, async {
        match TcpListener::from_std(socket) {
            Ok(listener) => accept(listener, shared, closing, guards).await,
            Err(error) => log::error!("can't register the socket of the HTTP listener: {error}"),
        }
    });
}

async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    mut closing: watch::Receiver<bool>,
    guards: OpenGuards,
) {
    tokio::task::spawn_local(report_checks(shared.clone()));
    let table = Table::new(&shared);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    admit(stream, &shared, &table, &closing, &guards);
                    wait_for_place(&shared).await;
                }
                Err(error) => {
                    log::warn!("can't accept an HTTP connection: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            changed = closing.changed() => match changed {
                Ok(()) => break,
                Err(_) => return,
            },
        }
    }
    if let Ok(socket) = listener.into_std() {
        accept_waiting(&socket, &shared, &table, &closing, &guards);
    }
    drop(guards.socket);
    drop(guards.connections);
    // Connections are served until the listener is dropped.
    while closing.changed().await.is_ok() {}
}

/// Tells the service until when all disconnects have been reported. Between two calls the reactor has
/// looked at all sockets, and the connections that it found ready have run before this task.
async fn report_checks(shared: Arc<Shared>) {
    let Handler::Direct(service) = &shared.handler else {
        return;
    };
    let Some(interval) = service.check_interval() else {
        return;
    };
    let mut last = Instant::now();
    loop {
        service.connections_checked();
        let now = Instant::now();
        let is_late = now.duration_since(last) > interval * 2;
        last = now;
        tokio::time::sleep(if is_late {
            MIN_CHECK_INTERVAL
        } else {
            interval
        })
        .await;
    }
}

/// Accepts the connections that a listening socket would reset as it is closed. Tokio's own accept
/// reports them only once its reactor has run.
fn accept_waiting(
    socket: &std::net::TcpListener,
    shared: &Arc<Shared>,
    table: &Rc<Table>,
    closing: &watch::Receiver<bool>,
    guards: &OpenGuards,
) {
    for _ in 0..ACCEPT_BACKLOG {
        let Ok((stream, _)) = socket.accept() else {
            return;
        };
        let stream = stream.set_nonblocking(true).map(|()| stream);
        match stream.and_then(TcpStream::from_std) {
            Ok(stream) => admit(stream, shared, table, closing, guards),
            Err(error) => log::warn!("can't register an HTTP connection: {error}"),
        }
    }
}

/// Lets the connections that gave way close before another one is accepted.
async fn wait_for_place(shared: &Shared) {
    let open = || shared.open_connections.load(Ordering::Relaxed);
    for _ in 0..MAX_YIELDS {
        if open() <= shared.limits.max_connections {
            return;
        }
        tokio::task::yield_now().await;
    }
}

fn admit(
    stream: TcpStream,
    shared: &Arc<Shared>,
    table: &Rc<Table>,
    closing: &watch::Receiver<bool>,
    guards: &OpenGuards,
) {
    let Some(exchange) = table.open(Instant::now(), shared) else {
        // With `RefuseNew` the connection is closed at once.
        if shared.limits.shortage == Shortage::CloseStalled {
            refuse_connection(&stream, &shared.refusal);
        }
        return;
    };
    shared.open_connections.fetch_add(1, Ordering::Relaxed);
    let connection_count = ConnectionCount {
        shared: shared.clone(),
        _guard: guards.connections.clone(),
    };
    tokio::task::spawn_local(serve(stream, exchange, connection_count, closing.clone()));
}

/// Decrements the number of open connections when dropped.
struct ConnectionCount {
    shared: Arc<Shared>,
    _guard: Sender<()>,
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.shared.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(
    stream: TcpStream,
    exchange: Rc<Exchange>,
    connection_count: ConnectionCount,
    mut closing: watch::Receiver<bool>,
) {
    let shared = connection_count.shared.clone();
    // Declared before the connection, so that it logs after the socket is closed.
    let mut end = ConnectionEnd {
        exchange: exchange.clone(),
        cause: String::from("aborted"),
    };
    let tcp = Rc::new(stream);
    let stream = TimedStream::new(tcp.clone(), exchange.clone(), &shared);
    let (state, current) = (shared.clone(), exchange.clone());
    let service =
        service_fn(move |request| handle(request, state.clone(), current.clone(), tcp.clone()));
    let connection = http1::Builder::new()
        // The stream limits the time to receive a head.
        .header_read_timeout(None)
        .max_buf_size(shared.limits.max_head_bytes.max(8192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    if !*closing.borrow_and_update() {
        tokio::select! {
            ended = connection.as_mut() => return end.set_cause(ended),
            () = exchange.wait_shed() => return end.shed(),
            _ = closing.changed() => {}
        }
    }
    exchange.close();
    tokio::select! {
        ended = connection.as_mut() => end.set_cause(ended),
        () = exchange.wait_shed() => end.shed(),
    }
}

/// Logs the end of a connection when dropped.
struct ConnectionEnd {
    exchange: Rc<Exchange>,
    cause: String,
}

impl ConnectionEnd {
    fn set_cause(&mut self, ended: Result<(), hyper::Error>) {
        self.cause = match ended {
            Ok(()) => String::from("closed"),
            Err(error) => error.to_string(),
        };
    }

    /// Makes the stream refuse a request that it hasn't received in full.
    fn shed(&mut self) {
        self.exchange.close();
        self.cause = String::from("closed to make room");
    }
}

impl Drop for ConnectionEnd {
    fn drop(&mut self) {
        self.exchange.end();
        self.exchange.log_end(&self.cause);
    }
}

/// Why a connection is closed without an answer.
#[derive(Debug)]
struct RequestDropped;

impl std::fmt::Display for RequestDropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the request was dropped without an answer")
    }
}

impl std::error::Error for RequestDropped {}

async fn handle(
    request: HttpRequest<Incoming>,
    shared: Arc<Shared>,
    exchange: Rc<Exchange>,
    tcp: Rc<TcpStream>,
) -> Result<HttpResponse<Full<Bytes>>, RequestDropped> {
    exchange.set_phase(Phase::Body);
    if exchange.is_pipelined() {
        // Requests sent ahead don't delay those of other connections.
        tokio::task::yield_now().await;
    }
    let (head, mut body) = request.into_parts();
    let read = tokio::time::timeout(
        shared.limits.body_timeout,
        read_body(&mut body, &shared, &exchange),
    );
    let body = match read.await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(BodyError::Disconnected)) => return Err(RequestDropped),
        Ok(Err(BodyError::Rejected(status, message))) => {
            exchange.hold_body(0, &shared);
            // A caller that is still sending would get a reset instead of the response.
            let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard(&mut body)).await;
            return Ok(closing_response((shared.reject)(status, &message)));
        }
        Err(_) => {
            record_refusal(&shared, Reason::BodyTimeout);
            let message = "the body was not received in time: send the request again";
            return Ok(closing_response((shared.reject)(408, message)));
        }
    };
    if exchange.is_shed() {
        return Ok(closing_response((shared.reject)(503, NO_ROOM)));
    }
    let request = Request {
        method: head.method.as_str().to_string(),
        path: head.uri.path().to_string(),
        query: head.uri.query().unwrap_or_default().to_string(),
        headers: Headers(Box::new(head.headers)),
        body,
    };
    exchange.start_request(Instant::now(), &shared);
    let (responder, answer) = oneshot::channel();
    let responder = Responder(responder);
    let mut guard = None;
    match &shared.handler {
        Handler::Pool(queue) => match queue.try_send((request, responder)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                let message = "the VM is overloaded: send the request again with the same id";
                return Ok(response((shared.reject)(503, message)));
            }
        },
        Handler::Direct(service) => {
            let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
            service.call(number, request, responder);
            guard = Some(DisconnectGuard {
                shared: shared.clone(),
                number,
                answered: false,
            });
        }
    }
    let outcome = tokio::select! {
        biased;
        outcome = answer => outcome,
        () = read_closed(&tcp) => return Err(RequestDropped),
    };
    if let Some(guard) = &mut guard {
        guard.answered = true;
    }
    let mut answer = outcome.map_err(|_| RequestDropped)?;
    answer.close |= exchange.is_closing();
    exchange.start_answer(Instant::now(), answer.body.len(), &shared);
    Ok(response(answer))
}

/// Notifies the service that the caller has disconnected, if dropped before the response.
struct DisconnectGuard {
    shared: Arc<Shared>,
    number: u64,
    answered: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let (Handler::Direct(service), false) = (&self.shared.handler, self.answered) {
            service.disconnected(self.number);
        }
    }
}

/// Why a body was not received in full.
enum BodyError {
    /// The connection ended or broke the protocol.
    Disconnected,
    /// The body exceeds a limit; holds the status and the message of the response.
    Rejected(u16, String),
}

async fn read_body(
    body: &mut Incoming,
    shared: &Shared,
    exchange: &Exchange,
) -> Result<Vec<u8>, BodyError> {
    let limit = shared.limits.max_body_bytes;
    let too_large = || {
        record_refusal(shared, Reason::Body);
        BodyError::Rejected(413, format!("the body exceeds {limit} bytes: shorten it"))
    };
    let size = body.size_hint();
    if size.lower() > limit as u64 {
        return Err(too_large());
    }
    let max_bytes = size.upper().map_or(limit, |upper| upper as usize);
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Disconnected)?.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > limit {
            return Err(too_large());
        }
        if length > bytes.capacity() {
            let capacity = (2 * bytes.capacity()).min(max_bytes).max(length);
            if !exchange.hold_body(capacity, shared) {
                return Err(BodyError::Rejected(503, NO_ROOM.to_string()));
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}

/// Reads and drops the rest of a body, up to `MAX_DISCARD_BYTES`.
async fn discard(body: &mut Incoming) {
    let mut remaining = MAX_DISCARD_BYTES;
    if body.size_hint().lower() > remaining as u64 {
        return;
    }
    while let Some(Ok(frame)) = body.frame().await {
        let read = frame.data_ref().map_or(0, Bytes::len);
        match remaining.checked_sub(read) {
            Some(left) => remaining = left,
            None => return,
        }
    }
}

/// A response that closes the connection, because the rest of the request may be unread.
fn closing_response(mut answer: Answer) -> HttpResponse<Full<Bytes>> {
    answer.close = true;
    response(answer)
}

/// The bytes of a response that refuses a request which wasn't received in full.
pub(crate) fn refusal(reject: fn(u16, &str) -> Answer) -> Bytes {
    let message = "the connection is being closed: send the request again on another one";
    let answer = reject(503, message);
    let retry_s = answer.retry_ms.unwrap_or(DEFAULT_RETRY_MS).div_ceil(1000);
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-type: {}\r\n\
         retry-after: {retry_s}\r\ncontent-length: {}\r\n\r\n",
        answer.content_type,
        answer.body.len()
    );
    [head.into_bytes(), answer.body].concat().into()
}

fn response(answer: Answer) -> HttpResponse<Full<Bytes>> {
    let mut builder = HttpResponse::builder()
        .status(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header(CONTENT_TYPE, answer.content_type);
    let default_retry = (answer.status == 503).then_some(DEFAULT_RETRY_MS);
    if let Some(ms) = answer.retry_ms.or(default_retry) {
        builder = builder.header(RETRY_AFTER, ms.div_ceil(1000));
    }
    if let Some(location) = answer.location {
        builder = builder.header(LOCATION, location);
    }
    if answer.close {
        builder = builder.header(CONNECTION, "close");
    }
    let body = Full::new(Bytes::from(answer.body));
    builder.body(body).expect("status and headers are valid")
}
