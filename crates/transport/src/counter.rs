//! Counters for metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::queue::{Class, CLASSES};

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
    classes: [ClassCounters; CLASSES],
    connects: AtomicU64,
    reconnects: AtomicU64,
    refused: AtomicU64,
}

/// What one class has counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Messages handed to a connection.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Messages delivered.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Messages not sent: the queue was full, the peer unknown, or the wait too long.
    pub dropped: u64,
}

/// What the transport has counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Per class, in the order of [`Class::ALL`].
    pub classes: [ClassCounts; CLASSES],
    /// Connections made to peers.
    pub connects: u64,
    /// Those of them that replaced an earlier one.
    pub reconnects: u64,
    /// Connections refused: no valid certificate, another VM's certificate, or too many.
    pub refused: u64,
}

impl Counts {
    /// The counts of `class`.
    pub fn class(&self, class: Class) -> &ClassCounts {
        &self.classes[class as usize]
    }
}

fn add(counter: &AtomicU64, n: usize) {
    counter.fetch_add(n as u64, Ordering::Relaxed);
}

impl Counters {
    pub(crate) fn sent(&self, class: Class, bytes: usize) {
        add(&self.classes[class as usize].sent, 1);
        add(&self.classes[class as usize].sent_bytes, bytes);
    }

    pub(crate) fn received(&self, class: Class, bytes: usize) {
        add(&self.classes[class as usize].received, 1);
        add(&self.classes[class as usize].received_bytes, bytes);
    }

    pub(crate) fn dropped(&self, class: Class) {
        add(&self.classes[class as usize].dropped, 1);
    }

    pub(crate) fn connected(&self, again: bool) {
        add(&self.connects, 1);
        add(&self.reconnects, usize::from(again));
    }

    pub(crate) fn refused(&self) {
        add(&self.refused, 1);
    }

    pub(crate) fn read(&self) -> Counts {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let mut counts = Counts {
            connects: get(&self.connects),
            reconnects: get(&self.reconnects),
            refused: get(&self.refused),
            ..Counts::default()
        };
        for (to, from) in counts.classes.iter_mut().zip(&self.classes) {
            *to = ClassCounts {
                sent: get(&from.sent),
                sent_bytes: get(&from.sent_bytes),
                received: get(&from.received),
                received_bytes: get(&from.received_bytes),
                dropped: get(&from.dropped),
            };
        }
        counts
    }
}
