//! Snapshots and other large messages between VMs, in parts.
//!
//! They may be larger than the transport's longest message, and encoding or decoding a snapshot
//! takes long. So they have threads of their own at both ends, and heartbeats go on meanwhile.
//! Parts of one message follow one another on the same ordered stream; a gap means that the rest is
//! lost, and the message is repeated by whoever needs it, as any lost message is.

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender};
use greengage_control::{Envelope, Event};
use greengage_core::{SortedMap, VmName};
use greengage_transport as transport;
use greengage_transport::Class;

use crate::control::peer_event;

/// First byte of a part; other messages begin with the version of the codec.
const PART_MARKER: u8 = 0xff;
/// Bytes of a message in one part.
const PART_DATA_BYTES: usize = 4 << 20;
/// Bytes before a part's data: the mark, the message's number, the part's place and their count.
const PART_HEADER_BYTES: usize = 1 + 8 + 4 + 4;
/// Between two tries to queue a part while the queue is full.
const QUEUE_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How long a part may wait for room in the queue.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(10);
/// Most bytes of one message.
const MAX_MESSAGE_BYTES: usize = 4 << 30;

/// Messages from this size on are sent in parts.
pub(crate) const LARGE_MESSAGE_BYTES: usize = PART_DATA_BYTES;

/// A message for the sending thread.
pub(crate) enum LargeMessage {
    /// A snapshot, which this thread encodes.
    Snapshot(Envelope),
    /// Another message of agreement, encoded.
    Raft(Vec<u8>),
    /// A message that nobody repeats soon, encoded.
    Other(Vec<u8>),
}

/// Whether bytes from a peer are a part.
pub(crate) fn is_part(bytes: &[u8]) -> bool {
    bytes.first() == Some(&PART_MARKER)
}

/// Starts the sending thread; it ends when all senders of `messages` are gone.
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
                    log::warn!("a message of {} bytes to VM {to} is given up", bytes.len());
                }
                queue.extend(messages.try_iter());
                if is_raft {
                    // A group repeats a message that takes long; the copies made meanwhile are
                    // stale.
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

/// A message that isn't complete yet.
#[derive(Default)]
struct Partial {
    message_id: u64,
    next_index: u32,
    bytes: Vec<u8>,
}

/// Puts the parts of each peer's messages together.
#[derive(Default)]
struct Reassembler {
    partials: SortedMap<VmName, Partial>,
}

impl Reassembler {
    /// Takes a part; returns the message when it is complete.
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

/// Starts the receiving thread; it ends when all senders of `parts` are gone.
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
                    Err(error) => log::warn!("snapshot from VM {from} dropped: {error}"),
                }
            }
        })
}
