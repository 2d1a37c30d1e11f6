//! Messages that wait for a peer, one queue per class, bounded in bytes and in age.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

use crate::counter::Counters;
use crate::frame::length;

/// The number of classes.
pub(crate) const CLASSES: usize = 3;

/// Oldest `Traffic` or `Bulk` message that is still sent.
const MESSAGE_AGE: Duration = Duration::from_secs(5);

/// Counted for each message in addition to its bytes, so that a limit in bytes also bounds the
/// number of empty messages.
const OVERHEAD_BYTES: usize = 64;

/// Most bytes of small messages that are written at once. A write per message would send about
/// one packet per message.
const BATCH_BYTES: usize = 64 << 10;

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
    pub const ALL: [Class; CLASSES] = [Class::Control, Class::Traffic, Class::Bulk];

    /// The priority of the class's stream; higher goes first.
    pub(crate) fn priority(self) -> i32 {
        match self {
            Class::Control => 2,
            Class::Traffic => 1,
            Class::Bulk => 0,
        }
    }

    /// Oldest message of this class that is still sent.
    fn age(self, silent: Duration) -> Duration {
        match self {
            Class::Control => silent,
            Class::Traffic | Class::Bulk => MESSAGE_AGE,
        }
    }
}

struct Message {
    queued: Instant,
    bytes: Vec<u8>,
}

fn cost(bytes: &[u8]) -> usize {
    bytes.len() + OVERHEAD_BYTES
}

/// The end that callers put messages into.
pub(crate) struct QueueSender {
    messages: UnboundedSender<Message>,
    /// Bytes in the queue, including the message that is being written.
    used: Arc<AtomicUsize>,
    limit: usize,
}

impl QueueSender {
    /// Puts `bytes` into the queue, or returns false when it is full or closed.
    pub(crate) fn send(&self, bytes: Vec<u8>) -> bool {
        let cost = cost(&bytes);
        let used = self.used.fetch_add(cost, Ordering::Relaxed);
        let message = Message {
            queued: Instant::now(),
            bytes,
        };
        let fits = used == 0 || used + cost <= self.limit;
        let queued = fits && self.messages.send(message).is_ok();
        if !queued {
            self.used.fetch_sub(cost, Ordering::Relaxed);
        }
        queued
    }
}

/// The end that a link takes messages from.
pub(crate) struct Queue {
    messages: UnboundedReceiver<Message>,
    used: Arc<AtomicUsize>,
    /// The oldest message. A large one stays here until it has been written to a stream
    /// completely, so that it goes out on the next connection if this one ends before.
    head: Option<Message>,
    age: Duration,
    class: Class,
    counters: Arc<Counters>,
}

/// A new queue of `limit` bytes.
pub(crate) fn queue(
    class: Class,
    limit: usize,
    silent: Duration,
    counters: Arc<Counters>,
) -> (QueueSender, Queue) {
    let (sender, messages) = unbounded_channel();
    let used = Arc::new(AtomicUsize::new(0));
    let queue = Queue {
        messages,
        used: used.clone(),
        head: None,
        age: class.age(silent),
        class,
        counters,
    };
    let sender = QueueSender {
        messages: sender,
        used,
        limit,
    };
    (sender, queue)
}

impl Queue {
    pub(crate) fn class(&self) -> Class {
        self.class
    }

    /// The oldest message that is young enough to be sent; none when the queue is closed.
    pub(crate) async fn head(&mut self) -> Option<&[u8]> {
        self.drop_old();
        if self.head.is_none() {
            self.head = Some(self.messages.recv().await?);
        }
        self.head.as_ref().map(|m| m.bytes.as_slice())
    }

    /// Moves small messages from the front of the queue into `batch` as frames, without waiting.
    pub(crate) fn gather(&mut self, batch: &mut Vec<u8>) {
        self.drop_old();
        while let Some(message) = &self.head {
            if batch.len() + message.bytes.len() > BATCH_BYTES {
                return;
            }
            batch.extend_from_slice(&length(&message.bytes));
            batch.extend_from_slice(&message.bytes);
            self.sent();
            self.drop_old();
        }
    }

    /// Removes the message that `head` returned, which was handed to a connection.
    pub(crate) fn sent(&mut self) {
        if let Some(message) = self.head.take() {
            self.counters.sent(self.class, message.bytes.len());
            self.release(&message);
        }
    }

    /// Drops the messages that waited too long.
    pub(crate) fn drop_old(&mut self) {
        while let Some(message) = self.head.take().or_else(|| self.messages.try_recv().ok()) {
            if message.queued.elapsed() <= self.age {
                self.head = Some(message);
                return;
            }
            self.counters.dropped(self.class);
            self.release(&message);
        }
    }

    /// Whether nothing more can come.
    pub(crate) fn is_closed(&self) -> bool {
        self.messages.is_closed()
    }

    fn release(&self, message: &Message) {
        self.used.fetch_sub(cost(&message.bytes), Ordering::Relaxed);
    }
}
