//! Deadlines in the order in which they are due.

use std::collections::BTreeSet;

use greengage_core::Time;

/// Deadlines, each with what to do then. A `BTreeSet` instead of a sorted vector, because tens of
/// thousands of deadlines are set and removed each second at random places.
pub(crate) struct Timers<T> {
    due: BTreeSet<(Time, T)>,
}

impl<T: Ord + Clone> Timers<T> {
    pub(crate) fn new() -> Timers<T> {
        Timers {
            due: BTreeSet::new(),
        }
    }

    pub(crate) fn set(&mut self, at: Time, what: T) {
        self.due.insert((at, what));
    }

    /// Removes and returns the first deadline that has come.
    pub(crate) fn pop(&mut self, now: Time) -> Option<T> {
        let first = self.due.first()?;
        if first.0 > now {
            return None;
        }
        self.due.pop_first().map(|(_, what)| what)
    }

    pub(crate) fn len(&self) -> usize {
        self.due.len()
    }

    pub(crate) fn next(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }
}
