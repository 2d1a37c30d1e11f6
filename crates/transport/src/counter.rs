//! Transport counters.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::queue::{Class, CLASS_COUNT};

#[derive(Default)]
struct ClassCounters {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
    dropped: AtomicU64,
}

#[derive(Default)]
pub(crate) struct Counters {
    classes: [ClassCounters; CLASS_COUNT],
    connects: AtomicU64,
    reconnects: AtomicU64,
    refused: AtomicU64,
}

/// Counter values of one class since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Messages written to a connection.
    pub sent: u64,
    /// Bytes of the messages sent.
    pub sent_bytes: u64,
    /// Messages delivered.
    pub received: u64,
    /// Bytes of the messages received.
    pub received_bytes: u64,
    /// Messages not sent: queue full, peer unknown, message too long, transport dropped, or message
    /// expired.
    pub dropped: u64,
}

/// Counter values of the transport since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Values per class, in the order of [`Class::ALL`].
    pub classes: [ClassCounts; CLASS_COUNT],
    /// Outgoing connections established.
    pub connects: u64,
    /// Outgoing connections established after an earlier one to the same peer.
    pub reconnects: u64,
    /// Incoming connections refused: failed handshake, no valid certificate, certificate of another
    /// VM, or too many connections.
    pub refused: u64,
}

impl Counts {
    /// Values of `class`.
    pub fn class(&self, class: Class) -> &ClassCounts {
        &self.classes[class as usize]
    }
}

fn add(counter: &AtomicU64, n: usize) {
    counter.fetch_add(n as u64, Ordering::Relaxed);
}

impl Counters {
    pub(crate) fn record_sent(&self, class: Class, bytes: usize) {
        add(&self.classes[class as usize].sent, 1);
        add(&self.classes[class as usize].sent_bytes, bytes);
    }

    pub(crate) fn record_received(&self, class: Class, bytes: usize) {
        add(&self.classes[class as usize].received, 1);
        add(&self.classes[class as usize].received_bytes, bytes);
    }

    pub(crate) fn record_dropped(&self, class: Class) {
        add(&self.classes[class as usize].dropped, 1);
    }

    pub(crate) fn record_connected(&self, reconnected: bool) {
        add(&self.connects, 1);
        add(&self.reconnects, usize::from(reconnected));
    }

    pub(crate) fn record_refused(&self) {
        add(&self.refused, 1);
    }

    pub(crate) fn snapshot(&self) -> Counts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let mut counts = Counts {
            connects: load(&self.connects),
            reconnects: load(&self.reconnects),
            refused: load(&self.refused),
            ..Counts::default()
        };
        for (class_counts, class_counters) in counts.classes.iter_mut().zip(&self.classes) {
            *class_counts = ClassCounts {
                sent: load(&class_counters.sent),
                sent_bytes: load(&class_counters.sent_bytes),
                received: load(&class_counters.received),
                received_bytes: load(&class_counters.received_bytes),
                dropped: load(&class_counters.dropped),
            };
        }
        counts
    }
}
