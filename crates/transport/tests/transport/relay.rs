//! UDP relay that can block its established flows while new flows work.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::common::any_port;

/// Interval at which the relay's threads check whether to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_PACKET_BYTES: usize = 65_536;

/// Direction in which packets are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    ToServer,
    ToClient,
    Both,
}

struct Flow {
    /// Socket that faces the server; one per client address.
    server_socket: UdpSocket,
    to_server_open: AtomicBool,
    to_client_open: AtomicBool,
}

struct Shared {
    client_socket: UdpSocket,
    server: Mutex<SocketAddr>,
    flows: Mutex<BTreeMap<SocketAddr, Arc<Flow>>>,
    /// Number of flows created since the start.
    flow_count: AtomicU64,
    stopped: AtomicBool,
}

/// Relay between clients and a server.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    pub(crate) fn new(server: SocketAddr) -> Relay {
        let client_socket = UdpSocket::bind(any_port()).unwrap();
        client_socket.set_read_timeout(Some(POLL_INTERVAL)).unwrap();
        let shared = Arc::new(Shared {
            client_socket,
            server: Mutex::new(server),
            flows: Mutex::default(),
            flow_count: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        });
        let own_shared = shared.clone();
        Relay {
            shared,
            thread: Some(thread::spawn(move || own_shared.forward_to_server())),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.shared.client_socket.local_addr().unwrap()
    }

    /// Permanently blocks the existing flows in a direction.
    pub(crate) fn block(&self, direction: Direction) {
        for flow in self.shared.flows.lock().unwrap().values() {
            if direction != Direction::ToClient {
                flow.to_server_open.store(false, Ordering::Relaxed);
            }
            if direction != Direction::ToServer {
                flow.to_client_open.store(false, Ordering::Relaxed);
            }
        }
    }

    /// Forwards the packets of all flows to another server from now on.
    pub(crate) fn redirect(&self, server: SocketAddr) {
        *self.shared.server.lock().unwrap() = server;
    }

    pub(crate) fn flow_count(&self) -> u64 {
        self.shared.flow_count.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.thread.take().unwrap().join().unwrap();
    }
}

impl Shared {
    fn forward_to_server(self: Arc<Shared>) {
        let mut buffer = vec![0; MAX_PACKET_BYTES];
        let mut client_threads = Vec::new();
        while !self.stopped.load(Ordering::Relaxed) {
            let Ok((bytes, client)) = self.client_socket.recv_from(&mut buffer) else {
                continue;
            };
            let mut flows = self.flows.lock().unwrap();
            let flow = flows.entry(client).or_insert_with(|| {
                self.flow_count.fetch_add(1, Ordering::Relaxed);
                let flow = Arc::new(Flow {
                    server_socket: UdpSocket::bind(any_port()).unwrap(),
                    to_server_open: AtomicBool::new(true),
                    to_client_open: AtomicBool::new(true),
                });
                let (shared, own_flow) = (self.clone(), flow.clone());
                client_threads.push(thread::spawn(move || {
                    shared.forward_to_client(&own_flow, client)
                }));
                flow
            });
            if flow.to_server_open.load(Ordering::Relaxed) {
                let server = *self.server.lock().unwrap();
                let _ = flow.server_socket.send_to(&buffer[..bytes], server);
            }
        }
        for thread in client_threads {
            thread.join().unwrap();
        }
    }

    fn forward_to_client(&self, flow: &Flow, client: SocketAddr) {
        let mut buffer = vec![0; MAX_PACKET_BYTES];
        flow.server_socket
            .set_read_timeout(Some(POLL_INTERVAL))
            .unwrap();
        while !self.stopped.load(Ordering::Relaxed) {
            if let Ok((bytes, _)) = flow.server_socket.recv_from(&mut buffer) {
                if flow.to_client_open.load(Ordering::Relaxed) {
                    let _ = self.client_socket.send_to(&buffer[..bytes], client);
                }
            }
        }
    }
}
