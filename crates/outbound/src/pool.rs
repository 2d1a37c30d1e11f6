//! The pool of idle connections, and calls over its connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use greengage_core::SortedMap;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::Request;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{timeout_at, Instant};

use crate::outbound::{Call, Class, Outcome};

/// Several times the size of an answer with 500 ended and 500 running tasks.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Maximum number of idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Least time for a call that has waited for its connection: a round trip between zones and the
/// target's work. With less, its answer would be missed although the target has executed it.
const MIN_CALL_TIME: Duration = Duration::from_millis(10);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Why a call that got no connection in time wasn't sent.
const NO_CONNECTION: &str = "too many calls are open";

/// A connection to a target. Dropping it closes the connection, even during a call.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Its place among the open connections.
    _permit: OwnedSemaphorePermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections by address, and places for further ones.
pub(crate) struct Pool {
    idle: RefCell<SortedMap<SocketAddr, Vec<Connection>>>,
    places: Arc<Semaphore>,
    /// Starts that may be under way at once.
    starts: Semaphore,
}

impl Pool {
    /// A pool with at most `connections` open connections.
    pub(crate) fn new(connections: usize) -> Pool {
        Pool {
            idle: RefCell::default(),
            places: Arc::new(Semaphore::new(connections)),
            starts: Semaphore::new(connections - connections / 4),
        }
    }

    /// Makes a call, and returns its context with the outcome.
    pub(crate) async fn call<T>(&self, call: Call<T>) -> (T, Outcome) {
        let deadline = Instant::now() + call.timeout;
        let starts = match call.class {
            Class::Start => Some(timeout_at(deadline, self.starts.acquire()).await),
            Class::Upkeep => None,
        };
        let outcome = match &starts {
            Some(Err(_)) => Outcome::NotSent(NO_CONNECTION.to_string()),
            Some(Ok(_)) | None => {
                let body = Bytes::from(call.body);
                let least = MIN_CALL_TIME.min(call.timeout / 2);
                self.exchange(
                    call.address,
                    &call.path,
                    &call.headers,
                    body,
                    (deadline, least),
                )
                .await
            }
        };
        (call.context, outcome)
    }

    /// Makes a call over an idle connection, or over a new one if there is none. Sends nothing with
    /// less than `least` until the deadline.
    async fn exchange(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&'static str, String)],
        body: Bytes,
        (deadline, least): (Instant, Duration),
    ) -> Outcome {
        loop {
            let (mut connection, reused) = match self.take_idle(address) {
                Some(connection) => (connection, true),
                None => {
                    let Ok(permit) = timeout_at(deadline, self.place()).await else {
                        return Outcome::NotSent(NO_CONNECTION.to_string());
                    };
                    let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
                    match timeout_at(limit, connect(address, permit)).await {
                        Ok(Ok(connection)) => (connection, false),
                        Ok(Err(cause)) => return Outcome::NotSent(cause),
                        Err(_) => {
                            return Outcome::NotSent("timed out while connecting".to_string())
                        }
                    }
                }
            };
            if Instant::now() + least > deadline {
                return Outcome::NotSent(NO_CONNECTION.to_string());
            }
            let mut request = Request::post(path)
                .header(HOST, address.to_string())
                .header(CONTENT_TYPE, "application/json");
            for (name, value) in headers {
                request = request.header(*name, value);
            }
            let request = match request.body(Full::new(body.clone())) {
                Ok(request) => request,
                Err(error) => return Outcome::NotSent(error.to_string()),
            };
            let answer = timeout_at(deadline, exchange(&mut connection, request)).await;
            match answer {
                Ok(Ok((status, body))) => {
                    self.keep_idle(address, connection);
                    return Outcome::Answered { status, body };
                }
                // The target had closed the idle connection and nothing was sent; try the next one.
                Ok(Err(ExchangeError::NotSent)) if reused => {}
                Ok(Err(ExchangeError::NotSent)) => {
                    return Outcome::NotSent("connection closed before the request".to_string());
                }
                Ok(Err(ExchangeError::Broken(cause))) => return Outcome::Unanswered(cause),
                Err(_) => {
                    return Outcome::Unanswered("timed out waiting for the answer".to_string())
                }
            }
        }
    }

    /// Waits for a place for a new connection. An idle one gives way if there is none.
    async fn place(&self) -> OwnedSemaphorePermit {
        if self.places.available_permits() == 0 {
            let mut idle = self.idle.borrow_mut();
            drop(idle.values_mut().find_map(Vec::pop));
        }
        let permit = self.places.clone().acquire_owned().await;
        permit.expect("the semaphore is never closed")
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn keep_idle(&self, address: SocketAddr, connection: Connection) {
        if self.places.available_permits() == 0 {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_or_insert_with(address, Vec::new);
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }
}

async fn connect(address: SocketAddr, permit: OwnedSemaphorePermit) -> Result<Connection, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    // With a linger time of 0, closing the connection resets it. Otherwise the bytes of a call that
    // has timed out would still be delivered when a network partition heals.
    let socket = SockRef::from(&stream);
    socket
        .set_linger(Some(Duration::ZERO))
        .map_err(|e| e.to_string())?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} failed: {error}");
        }
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        _permit: permit,
    })
}

/// Why an exchange produced no answer.
enum ExchangeError {
    /// The connection was closed before anything was sent.
    NotSent,
    /// The connection failed, or the answer was invalid or too large.
    Broken(String),
}

async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<(u16, Vec<u8>), ExchangeError> {
    let response = connection.sender.send_request(request).await;
    let response = response.map_err(|error| match error.is_canceled() {
        true => ExchangeError::NotSent,
        false => ExchangeError::Broken(error.to_string()),
    })?;
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await;
    let body = body.map_err(|error| ExchangeError::Broken(error.to_string()))?;
    // The connection can be reused only after its task has processed the end of the answer.
    let _ = connection.sender.ready().await;
    Ok((status, body.to_bytes().to_vec()))
}
