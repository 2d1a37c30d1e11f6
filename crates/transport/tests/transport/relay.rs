//! A UDP relay whose established flows can go silent while new ones work.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::common::any_port;

/// How often the relay's threads check whether they must end.
const POLL: Duration = Duration::from_millis(20);
const PACKET_BYTES: usize = 65_536;

/// Which direction of the established flows goes silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Silence {
    ToServer,
    ToClient,
    Both,
}

struct Flow {
    /// The socket that the server sees.
    outer: UdpSocket,
    to_server: AtomicBool,
    to_client: AtomicBool,
}

struct Shared {
    inner: UdpSocket,
    server: Mutex<SocketAddr>,
    flows: Mutex<BTreeMap<SocketAddr, Arc<Flow>>>,
    /// Flows since the start.
    count: AtomicU64,
    end: AtomicBool,
}

/// Forwards packets between clients and a server.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    pub(crate) fn new(server: SocketAddr) -> Relay {
        let inner = UdpSocket::bind(any_port()).unwrap();
        inner.set_read_timeout(Some(POLL)).unwrap();
        let shared = Arc::new(Shared {
            inner,
            server: Mutex::new(server),
            flows: Mutex::default(),
            count: AtomicU64::new(0),
            end: AtomicBool::new(false),
        });
        let own = shared.clone();
        Relay {
            shared,
            thread: Some(thread::spawn(move || own.forward())),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.shared.inner.local_addr().unwrap()
    }

    /// Makes the flows of now silent for good.
    pub(crate) fn silence(&self, silence: Silence) {
        for flow in self.shared.flows.lock().unwrap().values() {
            if silence != Silence::ToClient {
                flow.to_server.store(false, Ordering::Relaxed);
            }
            if silence != Silence::ToServer {
                flow.to_client.store(false, Ordering::Relaxed);
            }
        }
    }

    /// Sends the packets of all flows to another server from now on.
    pub(crate) fn redirect(&self, server: SocketAddr) {
        *self.shared.server.lock().unwrap() = server;
    }

    pub(crate) fn flows(&self) -> u64 {
        self.shared.count.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.end.store(true, Ordering::Relaxed);
        self.thread.take().unwrap().join().unwrap();
    }
}

impl Shared {
    fn forward(self: Arc<Shared>) {
        let mut buffer = vec![0; PACKET_BYTES];
        let mut back = Vec::new();
        while !self.end.load(Ordering::Relaxed) {
            let Ok((bytes, client)) = self.inner.recv_from(&mut buffer) else {
                continue;
            };
            let mut flows = self.flows.lock().unwrap();
            let flow = flows.entry(client).or_insert_with(|| {
                self.count.fetch_add(1, Ordering::Relaxed);
                let flow = Arc::new(Flow {
                    outer: UdpSocket::bind(any_port()).unwrap(),
                    to_server: AtomicBool::new(true),
                    to_client: AtomicBool::new(true),
                });
                let (shared, own) = (self.clone(), flow.clone());
                back.push(thread::spawn(move || shared.back(&own, client)));
                flow
            });
            if flow.to_server.load(Ordering::Relaxed) {
                let server = *self.server.lock().unwrap();
                let _ = flow.outer.send_to(&buffer[..bytes], server);
            }
        }
        for thread in back {
            thread.join().unwrap();
        }
    }

    fn back(&self, flow: &Flow, client: SocketAddr) {
        let mut buffer = vec![0; PACKET_BYTES];
        flow.outer.set_read_timeout(Some(POLL)).unwrap();
        while !self.end.load(Ordering::Relaxed) {
            if let Ok((bytes, _)) = flow.outer.recv_from(&mut buffer) {
                if flow.to_client.load(Ordering::Relaxed) {
                    let _ = self.inner.send_to(&buffer[..bytes], client);
                }
            }
        }
    }
}
