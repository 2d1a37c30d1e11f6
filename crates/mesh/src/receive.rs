//! The accepted connections, which carry the messages of other VMs.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use greengage_budget::{Admission, Connections, Held, Shortage};
use greengage_core::{SortedMap, VmName, MAX_NAME_BYTES};
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::link::{frame_length, FRAME_HEADER_BYTES};
use crate::mesh::{DeliverFn, Limits, ACK_TIMEOUT};

/// Smallest space for a read. Twice as much isn't counted as held.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// The accepted connections.
pub(crate) struct Receivers {
    limits: Limits,
    deliver: DeliverFn,
    connections: RefCell<Connections>,
    tasks: RefCell<SortedMap<u64, AbortHandle>>,
}

fn record_refusal(reason: &'static str) {
    log::info!(event = "connection-shed", listener = "mesh", reason = reason;
        "a limit on the connections of VMs was reached");
    metrics::counter!("greengage_listener_refused_total", "listener" => "mesh", "reason" => reason)
        .increment(1);
}

impl Receivers {
    pub(crate) fn new(limits: Limits, deliver: DeliverFn) -> Rc<Receivers> {
        // A whole message fits on any VM, as its sender repeats it until it arrives.
        let bytes = [limits.buffered_bytes.max(limits.message_bytes), 0];
        let connections = Connections::new(limits.connections, bytes, Shortage::CloseStalled);
        Rc::new(Receivers {
            limits,
            deliver,
            connections: RefCell::new(connections),
            tasks: RefCell::default(),
        })
    }

    /// Reads the messages of a connection, in place of one without progress if there are too many. One
    /// that has carried no message gives way first: a VM sends one as soon as it has connected.
    pub(crate) fn add(self: &Rc<Receivers>, stream: TcpStream) {
        let (id, closed) = match self.connections.borrow_mut().open(Instant::now()) {
            Admission::Opened(id, closed) => (id, closed),
            Admission::Full => return record_refusal("full"),
        };
        self.shed(closed, "connections");
        let receivers = self.clone();
        let task = tokio::task::spawn_local(async move {
            receivers.read_messages(id, stream).await;
            receivers.connections.borrow_mut().close(id);
            receivers.tasks.borrow_mut().remove(&id);
        });
        self.tasks.borrow_mut().insert(id, task.abort_handle());
    }

    fn shed(&self, closed: impl IntoIterator<Item = u64>, reason: &'static str) {
        for id in closed {
            record_refusal(reason);
            if let Some(task) = self.tasks.borrow_mut().remove(&id) {
                task.abort();
            }
        }
    }

    /// Reserves space for the next read: at most as much as has arrived of the frame. Returns whether
    /// there is room for it.
    fn reserve(&self, id: u64, bytes: &mut Vec<u8>) -> bool {
        let length = bytes.len();
        if bytes.capacity() - length >= READ_CHUNK_BYTES / 2 {
            return true;
        }
        let frame = frame_length(bytes).unwrap_or_default() + FRAME_HEADER_BYTES;
        let more = frame.saturating_sub(length).min(length);
        let more = more.max(READ_CHUNK_BYTES);
        let counted = (length + more).saturating_sub(2 * READ_CHUNK_BYTES);
        let mut closed = Vec::new();
        let mut connections = self.connections.borrow_mut();
        let granted = connections.hold(id, Held::Incoming, counted, &mut closed);
        drop(connections);
        self.shed(closed, "bytes");
        match granted {
            true => bytes.reserve_exact(more),
            false => record_refusal("bytes"),
        }
        granted
    }

    /// Reads messages until the connection closes, violates the protocol or has to give way.
    async fn read_messages(&self, id: u64, mut stream: TcpStream) {
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(ACK_TIMEOUT));
        let mut bytes = Vec::new();
        let mut sender = None;
        loop {
            if !self.reserve(id, &mut bytes) {
                return;
            }
            let read = match stream.read_buf(&mut bytes).await {
                Ok(0) => return,
                Ok(read) => read,
                Err(error) => return log::debug!("incoming connection failed: {error}"),
            };
            let now = Instant::now();
            self.connections.borrow_mut().received(now, id, read);
            let mut start = 0;
            while let Some(length) = frame_length(&bytes[start..]) {
                let limit = match &sender {
                    Some(_) => self.limits.message_bytes,
                    None => MAX_NAME_BYTES,
                };
                if length > limit {
                    return log::warn!("closing a connection: oversized frame of {length} bytes");
                }
                let frame = start + FRAME_HEADER_BYTES..start + FRAME_HEADER_BYTES + length;
                let Some(frame) = bytes.get(frame) else {
                    break;
                };
                match &sender {
                    Some(from) => {
                        self.connections.borrow_mut().prove(id);
                        (self.deliver)(VmName::clone(from), frame.to_vec());
                    }
                    None => match std::str::from_utf8(frame)
                        .ok()
                        .and_then(|t| VmName::new(t).ok())
                    {
                        Some(name) => sender = Some(name),
                        None => {
                            return log::warn!("closing a connection: first frame is no VM name")
                        }
                    },
                }
                self.connections.borrow_mut().progress(now, id, false);
                start += FRAME_HEADER_BYTES + length;
            }
            bytes.drain(..start);
            if bytes.is_empty() && bytes.capacity() > 2 * READ_CHUNK_BYTES {
                bytes = Vec::new();
                let mut connections = self.connections.borrow_mut();
                connections.hold(id, Held::Incoming, 0, &mut Vec::new());
            }
        }
    }
}
