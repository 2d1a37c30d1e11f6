//! Timers of the dispatcher, ordered by expiry.

use std::collections::BTreeSet;

use greengage_core::Time;

use crate::ids::{JobId, TargetId, WorkId};

/// The action that is due when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Fail the job: its deadline has passed.
    Deadline(JobId),
    /// Queue a paused job again.
    PauseEnd(JobId),
    /// Place tasks on a target again that backed off after a refusal.
    BackoffEnd(TargetId),
    /// Recheck long work: the capacity reserved for short work has shrunk.
    ReserveDecay(WorkId),
}

/// All pending timers.
///
/// A BTreeSet, because each of up to a million queued jobs has a deadline timer, which is removed
/// when the job ends, in any order.
#[derive(Default)]
pub(crate) struct Timers {
    entries: BTreeSet<(Time, Timer)>,
}

impl Timers {
    pub(crate) fn insert(&mut self, at: Time, timer: Timer) {
        self.entries.insert((at, timer));
    }

    pub(crate) fn remove(&mut self, at: Time, timer: Timer) {
        self.entries.remove(&(at, timer));
    }

    /// When the earliest timer expires.
    pub(crate) fn next_at(&self) -> Option<Time> {
        self.entries.first().map(|(at, _)| *at)
    }

    /// Removes and returns the earliest timer that is due at `now`.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<(Time, Timer)> {
        match self.entries.first() {
            Some((at, _)) if *at <= now => self.entries.pop_first(),
            Some(_) | None => None,
        }
    }
}
