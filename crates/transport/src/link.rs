//! Sending side: one connection per peer, replaced when it ends or becomes idle.
//!
//! A link connects from its own endpoint, so that each connection has a new local port. Some
//! networks drop all packets of an established flow while a flow between other ports works.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use greengage_core::VmName;
use quinn::{ClientConfig, Connection, Endpoint, VarInt};
use tokio::time::{sleep, timeout};

use crate::accept::Deliver;
use crate::counter::Counters;
use crate::frame;
use crate::keys::dns_name;
use crate::queue::{Queue, CLASS_COUNT};
use crate::Received;

const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Higher than all classes, so that a full stream does not make a connection look idle.
const PROBE_PRIORITY: i32 = 3;

/// Size from which messages are written directly instead of being copied into a batch.
const LARGE_MESSAGE_BYTES: usize = 16 << 10;

/// Application error codes of QUIC connection closes.
pub(crate) const CLOSE_NORMAL: VarInt = VarInt::from_u32(0);
pub(crate) const CLOSE_REFUSED: VarInt = VarInt::from_u32(1);
pub(crate) const CLOSE_MALFORMED: VarInt = VarInt::from_u32(2);
const CLOSE_IDLE: VarInt = VarInt::from_u32(3);

/// Outgoing connection to one peer.
pub(crate) struct Link {
    pub(crate) vm: VmName,
    pub(crate) peer: VmName,
    pub(crate) address: SocketAddr,
    pub(crate) local_ip: IpAddr,
    pub(crate) client: ClientConfig,
    pub(crate) idle_timeout: Duration,
    pub(crate) counters: Arc<Counters>,
    pub(crate) deliver: Deliver,
}

impl Link {
    /// Sends messages from the queues until they are closed. Messages left at that time are sent
    /// only if the peer is connected.
    pub(crate) async fn run(self, mut queues: [Queue; CLASS_COUNT]) {
        let mut backoff = Duration::ZERO;
        let mut connected_before = false;
        let mut last_error = None;
        while !queues[0].is_closed() {
            let error = match self.dial(&mut queues).await {
                Ok(connection) => {
                    log::info!("connected to VM {} at {}", self.peer, self.address);
                    self.counters.record_connected(connected_before);
                    if connected_before {
                        (self.deliver.borrow_mut())(self.peer.clone(), Received::Reconnected);
                    }
                    connected_before = true;
                    let connected_at = Instant::now();
                    let error = self.run_connection(&connection, &mut queues).await;
                    // A peer that refuses this VM closes the connection right after the handshake,
                    // so only a connection that outlasts the idle timeout resets the backoff.
                    if connected_at.elapsed() > self.idle_timeout {
                        backoff = Duration::ZERO;
                        last_error = None;
                    }
                    error
                }
                Err(error) => error,
            };
            if queues[0].is_closed() {
                return;
            }
            if last_error.as_ref() != Some(&error) {
                log::warn!(
                    "connection to VM {} at {} failed: {error}",
                    self.peer,
                    self.address
                );
                last_error = Some(error);
            }
            self.wait_backoff(backoff, &mut queues).await;
            backoff = (backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        }
    }

    /// Waits for `duration`, then drops expired messages.
    async fn wait_backoff(&self, duration: Duration, queues: &mut [Queue; CLASS_COUNT]) {
        sleep(duration).await;
        queues.iter_mut().for_each(Queue::drop_expired);
    }

    /// Connects from a new local port.
    async fn dial(&self, queues: &mut [Queue; CLASS_COUNT]) -> Result<Connection, String> {
        queues.iter_mut().for_each(Queue::drop_expired);
        let unspecified = match self.address {
            SocketAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
            SocketAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
        };
        let local = if self.local_ip.is_ipv4() == self.address.is_ipv4() {
            self.local_ip
        } else {
            unspecified
        };
        let endpoint = Endpoint::client(SocketAddr::new(local, 0)).map_err(|e| e.to_string())?;
        let connecting = endpoint
            .connect_with(self.client.clone(), self.address, &dns_name(&self.peer))
            .map_err(|e| e.to_string())?;
        // Shorter than the idle timeout, so that a peer that starts meanwhile is dialed again soon:
        // the intervals between retransmissions of a handshake grow.
        match timeout(self.idle_timeout / 3, connecting).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("handshake timed out".to_owned()),
        }
    }

    /// Sends messages until the connection ends, and returns the reason.
    async fn run_connection(
        &self,
        connection: &Connection,
        queues: &mut [Queue; CLASS_COUNT],
    ) -> String {
        let [control, traffic, bulk] = queues;
        let error = tokio::select! {
            error = connection.closed() => error.to_string(),
            () = self.wait_until_idle(connection) => {
                connection.close(CLOSE_IDLE, b"silent");
                format!("probe not acknowledged within {:?}", self.idle_timeout)
            }
            // After a failed write the connection has ended and holds the reason.
            () = async {
                tokio::join!(
                    self.write_queue(connection, control),
                    self.write_queue(connection, traffic),
                    self.write_queue(connection, bulk),
                );
            } => match connection.close_reason() {
                Some(error) => error.to_string(),
                None => "closed".to_owned(),
            },
        };
        connection.close(CLOSE_NORMAL, b"closed");
        error
    }

    /// Writes the messages of one queue to a stream.
    async fn write_queue(&self, connection: &Connection, queue: &mut Queue) {
        let Ok(mut stream) = connection.open_uni().await else {
            return;
        };
        // Fails only for a closed stream.
        let _ = stream.set_priority(queue.class().priority());
        let header = frame::encode_header(queue.class(), &self.vm);
        if write_message(&mut stream, &header).await.is_err() {
            return;
        }
        let mut batch = Vec::new();
        while let Some(message) = queue.head().await {
            if message.len() >= LARGE_MESSAGE_BYTES {
                if write_message(&mut stream, message).await.is_err() {
                    return;
                }
                queue.remove_sent();
                continue;
            }
            batch.clear();
            queue.fill_batch(&mut batch);
            if stream.write_all(&batch).await.is_err() {
                return;
            }
        }
        // The queue is closed and empty. Waits for the acknowledgment, because closing the
        // connection discards unacknowledged data.
        let _ = stream.finish();
        let _ = stream.stopped().await;
    }

    /// Returns when the peer has not acknowledged a probe, which is an empty stream, within
    /// `idle_timeout`.
    ///
    /// quinn's idle timeout fires late if packets are lost only in this direction: retransmissions
    /// from the peer still arrive and restart it.
    async fn wait_until_idle(&self, connection: &Connection) {
        let probe = || async {
            let Ok(mut stream) = connection.open_uni().await else {
                return;
            };
            // Errors mean that the connection ended, which `run_connection` detects itself.
            let _ = stream.set_priority(PROBE_PRIORITY);
            let _ = stream.finish();
            let _ = stream.stopped().await;
        };
        while timeout(self.idle_timeout, probe()).await.is_ok() {
            sleep(self.idle_timeout / 3).await;
        }
    }
}

async fn write_message(
    stream: &mut quinn::SendStream,
    message: &[u8],
) -> Result<(), quinn::WriteError> {
    stream.write_all(&frame::length_prefix(message)).await?;
    stream.write_all(message).await
}
