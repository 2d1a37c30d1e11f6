//! What happens at which time.

use std::collections::BTreeSet;

use greengage_core::Time;

use crate::ids::{JobId, TargetId, WorkId};

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A job's deadline.
    Deadline(JobId),
    /// The end of a job's pause.
    PauseEnd(JobId),
    /// The end of a target's rest.
    BackoffEnd(TargetId),
    /// Less is reserved for short work.
    ReserveDecay(WorkId),
}

/// All timers.
///
/// A BTreeSet, because each of up to a million queued jobs has a deadline that is removed when
/// the job ends, in any order.
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

    pub(crate) fn next_at(&self) -> Option<Time> {
        self.entries.first().map(|(at, _)| *at)
    }

    /// Takes a timer that is due.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<(Time, Timer)> {
        match self.entries.first() {
            Some((at, _)) if *at <= now => self.entries.pop_first(),
            Some(_) | None => None,
        }
    }
}
