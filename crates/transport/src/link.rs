//! The sending side: one connection to each peer, replaced when it ends or goes silent.
//!
//! A link dials from an endpoint of its own, so that each connection has a new local port. Some
//! networks drop the packets of an established flow for good while a flow between other ports
//! works.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use greengage_core::VmName;
use quinn::{ClientConfig, Connection, Endpoint, VarInt};
use tokio::time::{sleep, timeout};

use crate::counter::Counters;
use crate::frame;
use crate::keys::dns_name;
use crate::queue::{Queue, CLASSES};

const BACKOFF_LEAST: Duration = Duration::from_millis(50);
const BACKOFF_MOST: Duration = Duration::from_secs(1);

/// Above all classes, so that a full stream doesn't make a connection look silent.
const PROBE_PRIORITY: i32 = 3;

/// Messages from this size on are written one by one, without a copy.
const LARGE_BYTES: usize = 16 << 10;

/// Application error codes of a closed connection.
pub(crate) const CLOSED: VarInt = VarInt::from_u32(0);
pub(crate) const REFUSED: VarInt = VarInt::from_u32(1);
pub(crate) const MALFORMED: VarInt = VarInt::from_u32(2);
const SILENT: VarInt = VarInt::from_u32(3);

/// What a link needs to reach its peer.
pub(crate) struct Link {
    pub(crate) vm: VmName,
    pub(crate) peer: VmName,
    pub(crate) address: SocketAddr,
    pub(crate) local: IpAddr,
    pub(crate) client: ClientConfig,
    pub(crate) silent: Duration,
    pub(crate) counters: Arc<Counters>,
}

impl Link {
    /// Sends what the queues hold until they are closed; what they hold then is still sent if
    /// the peer is connected.
    pub(crate) async fn run(self, mut queues: [Queue; CLASSES]) {
        let mut backoff = Duration::ZERO;
        let mut connected_before = false;
        let mut reported = None;
        while !queues[0].is_closed() {
            let error = match self.dial(&mut queues).await {
                Ok(connection) => {
                    log::info!("connected to VM {} at {}", self.peer, self.address);
                    self.counters.connected(connected_before);
                    connected_before = true;
                    let since = Instant::now();
                    let error = self.serve(&connection, &mut queues).await;
                    // A peer that refuses this VM closes the connection soon after the
                    // handshake; only a connection that lasted resets the backoff.
                    if since.elapsed() > self.silent {
                        backoff = Duration::ZERO;
                        reported = None;
                    }
                    error
                }
                Err(error) => error,
            };
            if queues[0].is_closed() {
                return;
            }
            if reported.as_ref() != Some(&error) {
                log::warn!(
                    "connection to VM {} at {} failed: {error}",
                    self.peer,
                    self.address
                );
                reported = Some(error);
            }
            self.wait(backoff, &mut queues).await;
            backoff = (backoff * 2).clamp(BACKOFF_LEAST, BACKOFF_MOST);
        }
    }

    /// Waits for `span` while old messages are dropped.
    async fn wait(&self, span: Duration, queues: &mut [Queue; CLASSES]) {
        sleep(span).await;
        queues.iter_mut().for_each(Queue::drop_old);
    }

    /// Connects from a new local port.
    async fn dial(&self, queues: &mut [Queue; CLASSES]) -> Result<Connection, String> {
        queues.iter_mut().for_each(Queue::drop_old);
        let any = match self.address {
            SocketAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
            SocketAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
        };
        let local = if self.local.is_ipv4() == self.address.is_ipv4() {
            self.local
        } else {
            any
        };
        let endpoint = Endpoint::client(SocketAddr::new(local, 0)).map_err(|e| e.to_string())?;
        let connecting = endpoint
            .connect_with(self.client.clone(), self.address, &dns_name(&self.peer))
            .map_err(|e| e.to_string())?;
        // Short, so that a peer that starts meanwhile is dialed again soon: the handshake's own
        // retransmissions grow further apart.
        match timeout(self.silent / 3, connecting).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("no answer".to_owned()),
        }
    }

    /// Sends messages until the connection ends, and says why it ended.
    async fn serve(&self, connection: &Connection, queues: &mut [Queue; CLASSES]) -> String {
        let [control, traffic, bulk] = queues;
        let error = tokio::select! {
            error = connection.closed() => error.to_string(),
            () = self.silence(connection) => {
                connection.close(SILENT, b"silent");
                format!("silent for {:?}", self.silent)
            }
            // A failed write is followed by the end of the connection, which has the cause.
            () = async {
                tokio::join!(
                    self.write(connection, control),
                    self.write(connection, traffic),
                    self.write(connection, bulk),
                );
            } => match connection.close_reason() {
                Some(error) => error.to_string(),
                None => "closed".to_owned(),
            },
        };
        connection.close(CLOSED, b"closed");
        error
    }

    /// Writes the messages of one queue to a stream.
    async fn write(&self, connection: &Connection, queue: &mut Queue) {
        let Ok(mut stream) = connection.open_uni().await else {
            return;
        };
        // The priority can only be refused for a stream that is closed.
        let _ = stream.set_priority(queue.class().priority());
        let header = frame::header(queue.class(), &self.vm);
        if send(&mut stream, &header).await.is_err() {
            return;
        }
        let mut batch = Vec::new();
        while let Some(message) = queue.head().await {
            if message.len() >= LARGE_BYTES {
                if send(&mut stream, message).await.is_err() {
                    return;
                }
                queue.sent();
                continue;
            }
            batch.clear();
            queue.gather(&mut batch);
            if stream.write_all(&batch).await.is_err() {
                return;
            }
        }
        // The queue is closed and empty. Closing the connection would discard what the peer has
        // not acknowledged yet.
        let _ = stream.finish();
        let _ = stream.stopped().await;
    }

    /// Returns when the peer has not acknowledged a probe within `silent`. A probe is an empty
    /// stream.
    ///
    /// quinn's idle timeout alone is late when only this direction is silent: what the peer
    /// retransmits still arrives and postpones it.
    async fn silence(&self, connection: &Connection) {
        let probe = || async {
            let Ok(mut stream) = connection.open_uni().await else {
                return;
            };
            // Errors mean that the connection ended, which `serve` notices as well.
            let _ = stream.set_priority(PROBE_PRIORITY);
            let _ = stream.finish();
            let _ = stream.stopped().await;
        };
        while timeout(self.silent, probe()).await.is_ok() {
            sleep(self.silent / 3).await;
        }
    }
}

async fn send(stream: &mut quinn::SendStream, message: &[u8]) -> Result<(), quinn::WriteError> {
    stream.write_all(&frame::length(message)).await?;
    stream.write_all(message).await
}
