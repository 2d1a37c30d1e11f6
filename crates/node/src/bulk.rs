//! Snapshots and other large messages between VMs, sent in parts.
//!
//! A large message may exceed the transport's maximum message size, and encoding or decoding a
//! snapshot takes long. Both ends therefore handle large messages on threads of their own, so that
//! they don't delay heartbeats. The parts of a message are sent in order on one ordered stream. A
//! gap means that the rest of the message is lost; the receiver discards it, and whoever needs the
//! message sends it again, as after any other loss.

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender};
use greengage_control::{Envelope, Event};
use greengage_core::{SortedMap, VmName};
use greengage_transport as transport;
use greengage_transport::Class;

use crate::control::peer_event;

/// First byte of a part; other messages begin with the codec's format version.
const PART_MARKER: u8 = 0xff;
/// Most bytes of a message in one part.
const PART_DATA_BYTES: usize = 4 << 20;
/// Bytes before a part's data: marker, message id, index of the part and number of parts.
const PART_HEADER_BYTES: usize = 1 + 8 + 4 + 4;
/// Time between attempts to queue a part while the transport's queue is full.
const QUEUE_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How long a part may wait for room in the transport's queue.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(10);
/// Most bytes of a received message; a longer one is discarded.
const MAX_MESSAGE_BYTES: usize = 4 << 30;

/// Messages of at least this size are sent in parts.
pub(crate) const LARGE_MESSAGE_BYTES: usize = PART_DATA_BYTES;

/// A message for the sending thread.
pub(crate) enum LargeMessage {
    /// A Raft snapshot, encoded by the sending thread.
    Snapshot(Envelope),
    /// Any other Raft message, encoded.
    Raft(Vec<u8>),
    /// A message that isn't retransmitted soon, encoded.
    Other(Vec<u8>),
}

/// Whether a message from a peer is a part of a large message.
pub(crate) fn is_part(bytes: &[u8]) -> bool {
    bytes.first() == Some(&PART_MARKER)
}

/// Starts the sending thread; it ends when all senders of `messages` are dropped.
pub(crate) fn start_sending(
    messages: Receiver<(VmName, LargeMessage)>,
    sender: transport::Sender,
) -> std::io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name("bulk-send".to_string())
        .spawn(move || {
            let mut message_id = 0;
            let mut queue: Vec<(VmName, LargeMessage)> = Vec::new();
            loop {
                let (to, message) = match queue.is_empty() {
                    true => match messages.recv() {
                        Ok(message) => message,
                        Err(_) => return,
                    },
                    false => queue.remove(0),
                };
                message_id += 1;
                let (bytes, is_raft) = match message {
                    LargeMessage::Snapshot(envelope) => {
                        (greengage_wire::encode_envelope(&envelope), true)
                    }
                    LargeMessage::Raft(bytes) => (bytes, true),
                    LargeMessage::Other(bytes) => (bytes, false),
                };
                if !send_in_parts(&sender, &to, message_id, &bytes) {
                    log::warn!(
                        "message of {} bytes to VM {to} dropped: the transport didn't accept a \
                         part within {QUEUE_TIMEOUT:?}",
                        bytes.len()
                    );
                }
                queue.extend(messages.try_iter());
                if is_raft {
                    // A Raft group retransmits a message that takes long to send; the copies that
                    // were queued meanwhile are stale.
                    let is_stale_copy = |(vm, large): &(VmName, LargeMessage)| {
                        *vm == to && !matches!(large, LargeMessage::Other(_))
                    };
                    queue.retain(|message| !is_stale_copy(message));
                }
            }
        })
}

fn send_in_parts(sender: &transport::Sender, to: &VmName, message_id: u64, bytes: &[u8]) -> bool {
    split_into_parts(message_id, bytes).all(|part| {
        let deadline = Instant::now() + QUEUE_TIMEOUT;
        loop {
            if sender.send(to, Class::Bulk, part.clone()) {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(QUEUE_RETRY_INTERVAL);
        }
    })
}

fn split_into_parts(message_id: u64, bytes: &[u8]) -> impl Iterator<Item = Vec<u8>> + '_ {
    let count = bytes.len().div_ceil(PART_DATA_BYTES) as u32;
    bytes
        .chunks(PART_DATA_BYTES)
        .zip(0u32..)
        .map(move |(data, index)| {
            let mut part = Vec::with_capacity(PART_HEADER_BYTES + data.len());
            part.push(PART_MARKER);
            part.extend_from_slice(&message_id.to_le_bytes());
            part.extend_from_slice(&index.to_le_bytes());
            part.extend_from_slice(&count.to_le_bytes());
            part.extend_from_slice(data);
            part
        })
}

/// A message of which some parts are received; `next_index` is the index of the next part.
#[derive(Default)]
struct Partial {
    message_id: u64,
    next_index: u32,
    bytes: Vec<u8>,
}

/// Reassembles each peer's messages from their parts.
#[derive(Default)]
struct Reassembler {
    partials: SortedMap<VmName, Partial>,
}

impl Reassembler {
    /// Adds a part; returns the message once it is complete. A part out of sequence discards the
    /// message.
    fn add_part(&mut self, from: &VmName, part: &[u8]) -> Option<Vec<u8>> {
        let (header, data) = part.split_at_checked(PART_HEADER_BYTES)?;
        let message_id = u64::from_le_bytes(header[1..9].try_into().expect("8 bytes"));
        let index = u32::from_le_bytes(header[9..13].try_into().expect("4 bytes"));
        let count = u32::from_le_bytes(header[13..17].try_into().expect("4 bytes"));
        if index == 0 {
            let partial = Partial {
                message_id,
                ..Partial::default()
            };
            self.partials.insert(from.clone(), partial);
        }
        let partial = self.partials.get_mut(from)?;
        let in_sequence = partial.message_id == message_id && partial.next_index == index;
        if !in_sequence || partial.bytes.len() + data.len() > MAX_MESSAGE_BYTES {
            self.partials.remove(from);
            return None;
        }
        partial.bytes.extend_from_slice(data);
        partial.next_index += 1;
        if partial.next_index < count {
            return None;
        }
        self.partials.remove(from).map(|partial| partial.bytes)
    }
}

/// Starts the receiving thread; it ends when all senders of `parts` are dropped.
pub(crate) fn start_receiving(
    parts: Receiver<(VmName, Vec<u8>)>,
    events: Sender<Event>,
) -> std::io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name("bulk-receive".to_string())
        .spawn(move || {
            let mut reassembler = Reassembler::default();
            for (from, part) in parts {
                let Some(bytes) = reassembler.add_part(&from, &part) else {
                    continue;
                };
                match greengage_wire::decode_envelope(&bytes) {
                    Ok(envelope) => {
                        if events.send(peer_event(from, envelope)).is_err() {
                            return;
                        }
                    }
                    Err(error) => log::warn!("large message from VM {from} dropped: {error}"),
                }
            }
        })
}
