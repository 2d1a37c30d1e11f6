//! Connections that are kept and used again.

use std::cell::RefCell;
use std::net::SocketAddr;
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
use tokio::task::AbortHandle;
use tokio::time::{timeout_at, Instant};

use crate::outbound::Outcome;

/// Largest answer in bytes: five hundred ends and as many runs fit several times.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Idle connections that are kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection; dropping it closes it, also in the middle of a call.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The idle connections by address.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<SortedMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Makes a call, on a new connection where no idle one is left.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&'static str, String)],
        body: Vec<u8>,
        timeout: Duration,
    ) -> Outcome {
        let deadline = Instant::now() + timeout;
        let body = Bytes::from(body);
        loop {
            let (mut connection, reused) = match self.take_idle(address) {
                Some(connection) => (connection, true),
                None => match timeout_at(
                    deadline.min(Instant::now() + CONNECT_TIMEOUT),
                    connect(address),
                )
                .await
                {
                    Ok(Ok(connection)) => (connection, false),
                    Ok(Err(cause)) => return Outcome::NotSent(cause),
                    Err(_) => return Outcome::NotSent("no connection in time".to_string()),
                },
            };
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
                // The target closed the idle connection; nothing was sent on it.
                Ok(Err(ExchangeError::NotSent)) if reused => {}
                Ok(Err(ExchangeError::NotSent)) => {
                    return Outcome::NotSent("the connection was closed".to_string());
                }
                Ok(Err(ExchangeError::Broken(cause))) => return Outcome::Unanswered(cause),
                Err(_) => return Outcome::Unanswered("no answer in time".to_string()),
            }
        }
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
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address, Vec::new);
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    // A call without an answer is given up by resetting its connection, so that its bytes aren't
    // delivered when a partition ends.
    let socket = SockRef::from(&stream);
    socket
        .set_linger(Some(Duration::ZERO))
        .map_err(|e| e.to_string())?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("a connection to {address} ended: {error}");
        }
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
    })
}

/// Why a call has no answer.
enum ExchangeError {
    /// Nothing was sent.
    NotSent,
    /// The connection broke.
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
    // The connection can be used again only once its task has seen the end of the answer.
    let _ = connection.sender.ready().await;
    Ok((status, body.to_bytes().to_vec()))
}
