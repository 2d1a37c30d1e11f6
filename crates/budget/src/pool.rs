//! A counter of bytes that several threads share.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Bytes that may be taken by uses of one kind. Clones share the counter.
#[derive(Clone, Debug)]
pub struct Pool {
    taken: Arc<AtomicUsize>,
    limit: usize,
}

impl Pool {
    /// A pool of `limit` bytes.
    pub fn new(limit: usize) -> Pool {
        Pool {
            taken: Arc::default(),
            limit,
        }
    }

    /// Takes bytes until the charge is dropped; `None` if they don't fit.
    pub fn take(&self, bytes: usize) -> Option<Charge> {
        self.add(bytes, |taken| {
            taken.checked_add(bytes).filter(|sum| *sum <= self.limit)
        })
    }

    /// As [`Pool::take`], but grants any number of bytes while no others are taken: a use of more
    /// than the limit would otherwise be refused for ever.
    pub fn take_or_alone(&self, bytes: usize) -> Option<Charge> {
        self.add(bytes, |taken| match taken {
            0 => Some(bytes),
            _ => taken.checked_add(bytes).filter(|sum| *sum <= self.limit),
        })
    }

    fn add(&self, bytes: usize, add: impl FnMut(usize) -> Option<usize>) -> Option<Charge> {
        let order = Ordering::Relaxed;
        self.taken.fetch_update(order, order, add).ok()?;
        Some(Charge {
            taken: self.taken.clone(),
            bytes,
        })
    }
}

/// Bytes taken from a pool, given back when it is dropped.
#[derive(Debug)]
pub struct Charge {
    taken: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.taken.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
