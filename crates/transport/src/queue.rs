//! Messages that wait for a peer, one queue per class, bounded in bytes and in age.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

use crate::counter::Counters;
use crate::frame::length_prefix;

/// The number of classes.
pub(crate) const CLASS_COUNT: usize = 3;

/// Oldest `Traffic` or `Bulk` message that is still sent.
const MAX_MESSAGE_AGE: Duration = Duration::from_secs(5);

/// Counted for each message in addition to its bytes, so that a limit in bytes also bounds the
/// number of empty messages.
const MESSAGE_OVERHEAD_BYTES: usize = 64;

/// Most bytes of small messages that are written at once. A write per message would send about
/// one packet per message.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// What a message is for; each class has a stream of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Heartbeats and agreement: sent first, dropped when late.
    Control,
    /// Requests and replies.
    Traffic,
    /// Snapshots and other large messages.
    Bulk,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Class; CLASS_COUNT] = [Class::Control, Class::Traffic, Class::Bulk];

    /// The priority of the class's stream; higher goes first.
    pub(crate) fn priority(self) -> i32 {
        match self {
            Class::Control => 2,
            Class::Traffic => 1,
            Class::Bulk => 0,
        }
    }

    /// Oldest message of this class that is still sent.
    fn max_age(self, idle_timeout: Duration) -> Duration {
        match self {
            Class::Control => idle_timeout,
            Class::Traffic | Class::Bulk => MAX_MESSAGE_AGE,
        }
    }
}

struct Message {
    queued_at: Instant,
    bytes: Vec<u8>,
}

fn queued_bytes(bytes: &[u8]) -> usize {
    bytes.len() + MESSAGE_OVERHEAD_BYTES
}

/// The end that callers put messages into.
pub(crate) struct QueueSender {
    messages: UnboundedSender<Message>,
    /// Bytes in the queue, including the message that is being written.
    used_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl QueueSender {
    /// Puts `bytes` into the queue, or returns false when it is full or closed.
    pub(crate) fn send(&self, bytes: Vec<u8>) -> bool {
        let queued_bytes = queued_bytes(&bytes);
        let used_bytes = self.used_bytes.fetch_add(queued_bytes, Ordering::Relaxed);
        let message = Message {
            queued_at: Instant::now(),
            bytes,
        };
        let fits = used_bytes == 0 || used_bytes + queued_bytes <= self.max_bytes;
        let accepted = fits && self.messages.send(message).is_ok();
        if !accepted {
            self.used_bytes.fetch_sub(queued_bytes, Ordering::Relaxed);
        }
        accepted
    }
}

/// The end that a link takes messages from.
pub(crate) struct Queue {
    messages: UnboundedReceiver<Message>,
    used_bytes: Arc<AtomicUsize>,
    /// The oldest message. A large one stays here until it has been written to a stream
    /// completely, so that it goes out on the next connection if this one ends before.
    head: Option<Message>,
    max_age: Duration,
    class: Class,
    counters: Arc<Counters>,
}

/// A new queue of `max_bytes` bytes.
pub(crate) fn new_queue(
    class: Class,
    max_bytes: usize,
    idle_timeout: Duration,
    counters: Arc<Counters>,
) -> (QueueSender, Queue) {
    let (sender, messages) = unbounded_channel();
    let used_bytes = Arc::new(AtomicUsize::new(0));
    let queue = Queue {
        messages,
        used_bytes: used_bytes.clone(),
        head: None,
        max_age: class.max_age(idle_timeout),
        class,
        counters,
    };
    let sender = QueueSender {
        messages: sender,
        used_bytes,
        max_bytes,
    };
    (sender, queue)
}

impl Queue {
    pub(crate) fn class(&self) -> Class {
        self.class
    }

    /// The oldest message that is young enough to be sent; none when the queue is closed.
    pub(crate) async fn head(&mut self) -> Option<&[u8]> {
        self.drop_expired();
        if self.head.is_none() {
            self.head = Some(self.messages.recv().await?);
        }
        self.head.as_ref().map(|m| m.bytes.as_slice())
    }

    /// Moves small messages from the front of the queue into `batch` as frames, without waiting.
    pub(crate) fn fill_batch(&mut self, batch: &mut Vec<u8>) {
        self.drop_expired();
        while let Some(message) = &self.head {
            if batch.len() + message.bytes.len() > MAX_BATCH_BYTES {
                return;
            }
            batch.extend_from_slice(&length_prefix(&message.bytes));
            batch.extend_from_slice(&message.bytes);
            self.remove_sent();
            self.drop_expired();
        }
    }

    /// Removes the message that `head` returned, which was handed to a connection.
    pub(crate) fn remove_sent(&mut self) {
        if let Some(message) = self.head.take() {
            self.counters.record_sent(self.class, message.bytes.len());
            self.release_bytes(&message);
        }
    }

    /// Drops the messages that waited too long.
    pub(crate) fn drop_expired(&mut self) {
        while let Some(message) = self.head.take().or_else(|| self.messages.try_recv().ok()) {
            if message.queued_at.elapsed() <= self.max_age {
                self.head = Some(message);
                return;
            }
            self.counters.record_dropped(self.class);
            self.release_bytes(&message);
        }
    }

    /// Whether nothing more can come.
    pub(crate) fn is_closed(&self) -> bool {
        self.messages.is_closed()
    }

    fn release_bytes(&self, message: &Message) {
        self.used_bytes
            .fetch_sub(queued_bytes(&message.bytes), Ordering::Relaxed);
    }
}
