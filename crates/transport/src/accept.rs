//! Receiving side: accepts connections, authenticates the sender and delivers messages.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use greengage_core::{SortedMap, VmName};
use quinn::{Connection, Endpoint, Incoming, RecvStream};
use rustls::pki_types::CertificateDer;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::counter::Counters;
use crate::frame::{decode_header, FrameDecoder};
use crate::link::{CLOSE_MALFORMED, CLOSE_REFUSED};
use crate::queue::Class;
use crate::tls;
use crate::Received;

/// Maximum number of open connections, including those in a handshake.
const MAX_CONNECTIONS: usize = 2048;
/// Maximum number of concurrent handshakes.
const MAX_HANDSHAKES: usize = 64;
/// Concurrent handshakes from which a peer must validate its address with a QUIC retry.
const RETRY_THRESHOLD: usize = MAX_HANDSHAKES / 2;
/// Limit on log lines about refused peers. The counter includes all of them.
const MAX_LOG_LINES_PER_SECOND: u32 = 10;
/// Maximum number of bytes per read from a stream.
const MAX_CHUNK_BYTES: usize = 256 << 10;

pub(crate) type Deliver = Rc<RefCell<dyn FnMut(VmName, Received)>>;

/// State shared by all incoming connections.
pub(crate) struct Receiver {
    deliver: Deliver,
    /// The VMs of which a connection was accepted.
    senders: RefCell<SortedMap<VmName, ()>>,
    counters: Arc<Counters>,
    idle_timeout: Duration,
    handshakes: Cell<usize>,
    /// Start of the current one-second log window, and the refusals in it.
    log_window: Cell<(Instant, u32)>,
}

impl Receiver {
    pub(crate) fn new(
        deliver: Deliver,
        counters: Arc<Counters>,
        idle_timeout: Duration,
    ) -> Receiver {
        Receiver {
            deliver,
            senders: RefCell::default(),
            counters,
            idle_timeout,
            handshakes: Cell::new(0),
            log_window: Cell::new((Instant::now(), 0)),
        }
    }

    /// Accepts connections until `endpoint` is closed.
    pub(crate) async fn run(self: Rc<Receiver>, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            let handshakes = self.handshakes.get();
            if handshakes >= MAX_HANDSHAKES || endpoint.open_connections() >= MAX_CONNECTIONS {
                self.reject_peer(&incoming.remote_address(), "too many connections");
                incoming.refuse();
            } else if handshakes >= RETRY_THRESHOLD && incoming.may_retry() {
                // Fails only if `may_retry` is false.
                let _ = incoming.retry();
            } else {
                self.handshakes.set(handshakes + 1);
                spawn_local(self.clone().accept_connection(incoming));
            }
        }
    }

    /// Counts a refused peer and logs it.
    fn reject_peer(&self, peer: &dyn std::fmt::Display, cause: &str) {
        self.counters.record_refused();
        let (window_start, lines) = self.log_window.get();
        let (window_start, lines) = if window_start.elapsed() >= Duration::from_secs(1) {
            (Instant::now(), 0)
        } else {
            (window_start, lines)
        };
        self.log_window.set((window_start, lines + 1));
        if lines < MAX_LOG_LINES_PER_SECOND {
            log::warn!("refused a connection from {peer}: {cause}");
        }
    }

    async fn accept_connection(self: Rc<Receiver>, incoming: Incoming) {
        let address = incoming.remote_address();
        let result = timeout(self.idle_timeout, incoming).await;
        self.handshakes.set(self.handshakes.get() - 1);
        let connection = match result {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => return self.reject_peer(&address, &error.to_string()),
            Err(_) => return self.reject_peer(&address, "handshake timed out"),
        };
        let Some(certificate) = peer_certificate(&connection) else {
            connection.close(CLOSE_REFUSED, b"no certificate");
            return self.reject_peer(&address, "no certificate");
        };
        let certificate = Rc::new(certificate);
        let announced = Rc::new(Cell::new(false));
        // The sender opens one stream per class, and an empty stream for each probe.
        while let Ok(stream) = connection.accept_uni().await {
            spawn_local(self.clone().receive_stream(
                connection.clone(),
                certificate.clone(),
                announced.clone(),
                stream,
            ));
        }
    }

    /// Reports a connection that replaces an earlier one of the same VM.
    fn record_connection(&self, vm: &VmName) {
        let earlier = self.senders.borrow_mut().insert(vm.clone(), ());
        if earlier.is_some() {
            (self.deliver.borrow_mut())(vm.clone(), Received::Reconnected);
        }
    }

    /// Delivers the messages of one stream.
    async fn receive_stream(
        self: Rc<Receiver>,
        connection: Connection,
        certificate: Rc<CertificateDer<'static>>,
        announced: Rc<Cell<bool>>,
        mut stream: RecvStream,
    ) {
        let mut decoder = FrameDecoder::default();
        let mut sender: Option<(Class, VmName)> = None;
        while let Ok(Some(chunk)) = stream.read_chunk(MAX_CHUNK_BYTES, true).await {
            let mut input = &chunk.bytes[..];
            loop {
                let message = match decoder.next_message(&mut input) {
                    Ok(Some(message)) => message,
                    Ok(None) => break,
                    Err(error) => return self.close_malformed(&connection, &error),
                };
                if let Some((class, vm)) = &sender {
                    self.counters.record_received(*class, message.len());
                    (self.deliver.borrow_mut())(vm.clone(), Received::Message(message));
                    continue;
                }
                match decode_header(&message) {
                    Ok((class, vm)) if tls::is_issued_for(&certificate, &vm) => {
                        if !announced.replace(true) {
                            self.record_connection(&vm);
                        }
                        sender = Some((class, vm))
                    }
                    Ok((_, vm)) => {
                        connection.close(CLOSE_REFUSED, b"the certificate is for another VM");
                        let cause = format!("its certificate is not issued for VM {vm}");
                        return self.reject_peer(&connection.remote_address(), &cause);
                    }
                    Err(error) => return self.close_malformed(&connection, &error),
                }
            }
        }
    }

    fn close_malformed(&self, connection: &Connection, error: &dyn std::fmt::Display) {
        connection.close(CLOSE_MALFORMED, error.to_string().as_bytes());
        log::warn!(
            "closed the connection from {}: {error}",
            connection.remote_address()
        );
    }
}

fn peer_certificate(connection: &Connection) -> Option<CertificateDer<'static>> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    chain.first().cloned()
}
