//! Deadlines ordered by time.

use std::collections::BTreeSet;

use greengage_core::Time;

/// Deadlines, each with its event. A `BTreeSet` instead of a sorted vector, since tens of thousands
/// of deadlines are set and removed each second in no particular order.
pub(crate) struct Timers<T> {
    entries: BTreeSet<(Time, T)>,
}

impl<T: Ord + Clone> Timers<T> {
    pub(crate) fn new() -> Timers<T> {
        Timers {
            entries: BTreeSet::new(),
        }
    }

    pub(crate) fn set(&mut self, at: Time, event: T) {
        self.entries.insert((at, event));
    }

    pub(crate) fn remove(&mut self, at: Time, event: T) {
        self.entries.remove(&(at, event));
    }

    /// Removes the earliest deadline that has passed and returns its event.
    pub(crate) fn pop(&mut self, now: Time) -> Option<T> {
        let first = self.entries.first()?;
        if first.0 > now {
            return None;
        }
        self.entries.pop_first().map(|(_, event)| event)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn next_due(&self) -> Option<Time> {
        self.entries.first().map(|(at, _)| *at)
    }
}
