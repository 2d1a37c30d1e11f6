//! The queue of one lane: shortest remaining work first, with a bound on overtaking.

use std::collections::BTreeSet;
use std::time::Duration;

use greengage_core::Time;

use crate::ids::JobId;

/// A job's place in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    /// Remaining work in microseconds; 0 puts a job at the head.
    pub(crate) size: u64,
    /// When it was submitted.
    pub(crate) arrival: Time,
    /// The job.
    pub(crate) job: JobId,
}

/// Jobs in the order in which they start.
///
/// Two BTreeSets, because a lane holds up to a million jobs and a cancelled one must leave its
/// middle in logarithmic time.
#[derive(Default)]
pub(crate) struct Queue {
    by_size: BTreeSet<Place>,
    by_age: BTreeSet<(Time, JobId)>,
}

impl Queue {
    /// Adds a job; `shortest` tells whether sizes count.
    pub(crate) fn insert(&mut self, place: Place, shortest: bool) {
        if shortest {
            self.by_size.insert(place);
        }
        self.by_age.insert((place.arrival, place.job));
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, place: Place) {
        self.by_size.remove(&place);
        self.by_age.remove(&(place.arrival, place.job));
    }

    /// Moves a job to another size.
    pub(crate) fn resize(&mut self, place: Place, size: u64) {
        if self.by_size.remove(&place) {
            self.by_size.insert(Place { size, ..place });
        }
    }

    /// Whether a job is in the queue, at this place where sizes count.
    pub(crate) fn contains(&self, place: Place) -> bool {
        let sized = self.by_size.is_empty() || self.by_size.contains(&place);
        sized && self.by_age.contains(&(place.arrival, place.job))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_age.len()
    }

    /// The job to start next: the oldest once it has waited for `overtake`, else the shortest.
    /// The first component orders heads of several lanes: aged jobs come first, by age.
    pub(crate) fn head(&self, now: Time, overtake: Duration) -> Option<(u64, Time, JobId)> {
        let (arrival, oldest) = *self.by_age.first()?;
        match self.by_size.first() {
            Some(place) if now.since(arrival) < overtake => {
                Some((place.size.saturating_add(1), place.arrival, place.job))
            }
            Some(_) | None => Some((0, arrival, oldest)),
        }
    }

    /// The order among lanes where accounts don't share by weight.
    pub(crate) fn rank(&self) -> u64 {
        match (self.by_size.first(), self.by_age.first()) {
            (Some(place), _) => place.size,
            (None, Some((arrival, _))) => arrival.0,
            (None, None) => u64::MAX,
        }
    }
}
