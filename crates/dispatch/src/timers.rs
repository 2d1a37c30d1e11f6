//! What happens at which time.

use std::collections::BTreeSet;

use greengage_core::Time;

use crate::ids::{JobId, TargetId, WorkId};

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Alarm {
    /// A job's deadline.
    Deadline(JobId),
    /// The end of a job's pause.
    Resume(JobId),
    /// The end of a target's rest.
    Rested(TargetId),
    /// Less is reserved for short work.
    Reserve(WorkId),
}

/// All timers.
///
/// A BTreeSet, because each of up to a million queued jobs has a deadline that is removed when
/// the job ends, in any order.
#[derive(Default)]
pub(crate) struct Timers {
    set: BTreeSet<(Time, Alarm)>,
}

impl Timers {
    pub(crate) fn insert(&mut self, at: Time, alarm: Alarm) {
        self.set.insert((at, alarm));
    }

    pub(crate) fn remove(&mut self, at: Time, alarm: Alarm) {
        self.set.remove(&(at, alarm));
    }

    pub(crate) fn first(&self) -> Option<Time> {
        self.set.first().map(|(at, _)| *at)
    }

    /// Takes a timer that is due.
    pub(crate) fn due(&mut self, now: Time) -> Option<(Time, Alarm)> {
        match self.set.first() {
            Some((at, _)) if *at <= now => self.set.pop_first(),
            Some(_) | None => None,
        }
    }
}
