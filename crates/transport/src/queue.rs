//! Outgoing message queues, one per peer and class, bounded in bytes and in age.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

use crate::counter::Counters;
use crate::frame::length_prefix;

pub(crate) const CLASS_COUNT: usize = 3;

/// Maximum age of `Traffic` and `Bulk` messages; older ones are dropped.
const MAX_MESSAGE_AGE: Duration = Duration::from_secs(5);

/// Added to the size of each message, so that the capacity in bytes also bounds the number of empty
/// messages.
const MESSAGE_OVERHEAD_BYTES: usize = 64;

/// Maximum size of a batch of small messages. One write per message would send about one packet per
/// message.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// Message class; each has its own stream and priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Heartbeats and consensus messages; highest priority, dropped after the idle timeout.
    Control,
    /// Requests and replies.
    Traffic,
    /// Snapshots and other large messages.
    Bulk,
}

impl Class {
    /// All classes in descending priority.
    pub const ALL: [Class; CLASS_COUNT] = [Class::Control, Class::Traffic, Class::Bulk];

    /// Stream priority; higher values are sent first.
    pub(crate) fn priority(self) -> i32 {
        match self {
            Class::Control => 2,
            Class::Traffic => 1,
            Class::Bulk => 0,
        }
    }

    /// Maximum age of messages of this class; older ones are dropped.
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

/// Sending end of a queue, used by callers.
pub(crate) struct QueueSender {
    messages: UnboundedSender<Message>,
    /// Bytes in the queue, including overhead and the message that is being written.
    used_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl QueueSender {
    /// Queues `bytes`. Returns false if the queue is full or closed.
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

/// Receiving end of a queue, used by a link.
pub(crate) struct Queue {
    messages: UnboundedReceiver<Message>,
    used_bytes: Arc<AtomicUsize>,
    /// Oldest message. A large message stays here until it is completely written to a stream, so
    /// that it is sent again on the next connection if this one ends before.
    head: Option<Message>,
    max_age: Duration,
    class: Class,
    counters: Arc<Counters>,
}

/// Creates a queue with a capacity of `max_bytes`.
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

    /// Waits for the oldest unexpired message; `None` when the queue is closed and empty.
    pub(crate) async fn head(&mut self) -> Option<&[u8]> {
        self.drop_expired();
        if self.head.is_none() {
            self.head = Some(self.messages.recv().await?);
        }
        self.head.as_ref().map(|m| m.bytes.as_slice())
    }

    /// Moves messages from the front of the queue into `batch` as frames, without waiting, until
    /// the next one does not fit.
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

    /// Removes the message returned by `head` after it was written to a connection.
    pub(crate) fn remove_sent(&mut self) {
        if let Some(message) = self.head.take() {
            self.counters.record_sent(self.class, message.bytes.len());
            self.release_bytes(&message);
        }
    }

    /// Drops messages older than the maximum age.
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

    /// Whether the sending end was dropped.
    pub(crate) fn is_closed(&self) -> bool {
        self.messages.is_closed()
    }

    fn release_bytes(&self, message: &Message) {
        self.used_bytes
            .fetch_sub(queued_bytes(&message.bytes), Ordering::Relaxed);
    }
}
