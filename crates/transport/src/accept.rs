//! The receiving side: accepts connections, checks who sends, and delivers messages.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use greengage_core::VmName;
use quinn::{Connection, Endpoint, Incoming, RecvStream};
use rustls::pki_types::CertificateDer;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::counter::Counters;
use crate::frame::{read_header, Decoder};
use crate::link::{MALFORMED, REFUSED};
use crate::queue::Class;
use crate::tls;

/// Connections accepted at once, including those in a handshake.
const MOST_CONNECTIONS: usize = 2048;
/// Handshakes at once.
const MOST_HANDSHAKES: usize = 64;
/// Handshakes at once from which a peer must first show that it owns its address.
const RETRY_HANDSHAKES: usize = MOST_HANDSHAKES / 2;
/// Lines logged in a second about refused peers; the counter has them all.
const MOST_LINES: u32 = 10;
/// Bytes taken from a stream at once.
const CHUNK_BYTES: usize = 256 << 10;

pub(crate) type Deliver = Box<dyn FnMut(VmName, Vec<u8>)>;

/// What all connections of the receiving side share.
pub(crate) struct Receiver {
    deliver: RefCell<Deliver>,
    counters: Arc<Counters>,
    silent: Duration,
    handshakes: Cell<usize>,
    /// Start of the second in which lines are counted, and their number.
    lines: Cell<(Instant, u32)>,
}

impl Receiver {
    pub(crate) fn new(deliver: Deliver, counters: Arc<Counters>, silent: Duration) -> Receiver {
        Receiver {
            deliver: RefCell::new(deliver),
            counters,
            silent,
            handshakes: Cell::new(0),
            lines: Cell::new((Instant::now(), 0)),
        }
    }

    /// Accepts connections until `endpoint` is closed.
    pub(crate) async fn run(self: Rc<Receiver>, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            let handshakes = self.handshakes.get();
            if handshakes >= MOST_HANDSHAKES || endpoint.open_connections() >= MOST_CONNECTIONS {
                self.refuse(&incoming.remote_address(), "too many connections");
                incoming.refuse();
            } else if handshakes >= RETRY_HANDSHAKES && incoming.may_retry() {
                // Fails only where `may_retry` is false.
                let _ = incoming.retry();
            } else {
                self.handshakes.set(handshakes + 1);
                spawn_local(self.clone().accept(incoming));
            }
        }
    }

    /// Counts a refused peer and logs it.
    fn refuse(&self, peer: &dyn std::fmt::Display, cause: &str) {
        self.counters.refused();
        let (since, lines) = self.lines.get();
        let (since, lines) = if since.elapsed() >= Duration::from_secs(1) {
            (Instant::now(), 0)
        } else {
            (since, lines)
        };
        self.lines.set((since, lines + 1));
        if lines < MOST_LINES {
            log::warn!("refused a connection from {peer}: {cause}");
        }
    }

    async fn accept(self: Rc<Receiver>, incoming: Incoming) {
        let address = incoming.remote_address();
        let result = timeout(self.silent, incoming).await;
        self.handshakes.set(self.handshakes.get() - 1);
        let connection = match result {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => return self.refuse(&address, &error.to_string()),
            Err(_) => return self.refuse(&address, "the handshake took too long"),
        };
        let Some(certificate) = certificate(&connection) else {
            connection.close(REFUSED, b"no certificate");
            return self.refuse(&address, "no certificate");
        };
        let certificate = Rc::new(certificate);
        // The sender opens one stream per class, and an empty one for each probe.
        while let Ok(stream) = connection.accept_uni().await {
            spawn_local(
                self.clone()
                    .receive(connection.clone(), certificate.clone(), stream),
            );
        }
    }

    /// Delivers the messages of one stream.
    async fn receive(
        self: Rc<Receiver>,
        connection: Connection,
        certificate: Rc<CertificateDer<'static>>,
        mut stream: RecvStream,
    ) {
        let mut decoder = Decoder::default();
        let mut sender: Option<(Class, VmName)> = None;
        while let Ok(Some(chunk)) = stream.read_chunk(CHUNK_BYTES, true).await {
            let mut input = &chunk.bytes[..];
            loop {
                let message = match decoder.take(&mut input) {
                    Ok(Some(message)) => message,
                    Ok(None) => break,
                    Err(error) => return self.malformed(&connection, &error),
                };
                if let Some((class, vm)) = &sender {
                    self.counters.received(*class, message.len());
                    (self.deliver.borrow_mut())(vm.clone(), message);
                    continue;
                }
                match read_header(&message) {
                    Ok((class, vm)) if tls::names(&certificate, &vm) => sender = Some((class, vm)),
                    Ok((_, vm)) => {
                        connection.close(REFUSED, b"the certificate is for another VM");
                        let cause = format!("it says it is VM {vm}, its certificate does not");
                        return self.refuse(&connection.remote_address(), &cause);
                    }
                    Err(error) => return self.malformed(&connection, &error),
                }
            }
        }
    }

    fn malformed(&self, connection: &Connection, error: &dyn std::fmt::Display) {
        connection.close(MALFORMED, error.to_string().as_bytes());
        log::warn!(
            "closed the connection from {}: {error}",
            connection.remote_address()
        );
    }
}

fn certificate(connection: &Connection) -> Option<CertificateDer<'static>> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    chain.first().cloned()
}
