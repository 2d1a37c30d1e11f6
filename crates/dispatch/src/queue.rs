//! Job queue of one lane: shortest remaining work first, with a bound on overtaking.

use std::collections::BTreeSet;
use std::time::Duration;

use greengage_core::Time;

use crate::ids::JobId;

/// The sort key of a job in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// Remaining work in microseconds; 0 places the job at the head.
    pub(crate) size: u64,
    /// When the job was submitted.
    pub(crate) arrival: Time,
    pub(crate) job: JobId,
}

/// Queued jobs, ordered by size and by age.
///
/// BTreeSets, because a lane holds up to a million jobs, and a cancelled job must be removed from
/// any position in logarithmic time.
#[derive(Default)]
pub(crate) struct Queue {
    by_size: BTreeSet<QueueKey>,
    by_age: BTreeSet<(Time, JobId)>,
}

impl Queue {
    /// Adds a job; without `by_size` the queue is first come, first served.
    pub(crate) fn insert(&mut self, key: QueueKey, by_size: bool) {
        if by_size {
            self.by_size.insert(key);
        }
        self.by_age.insert((key.arrival, key.job));
    }

    pub(crate) fn remove(&mut self, key: QueueKey) {
        self.by_size.remove(&key);
        self.by_age.remove(&(key.arrival, key.job));
    }

    /// Changes the size of a job, where the queue is ordered by size.
    pub(crate) fn update_size(&mut self, key: QueueKey, size: u64) {
        if self.by_size.remove(&key) {
            self.by_size.insert(QueueKey { size, ..key });
        }
    }

    /// Whether a job is in the queue, under exactly this key where the queue is ordered by size.
    pub(crate) fn contains(&self, key: QueueKey) -> bool {
        let size_matches = self.by_size.is_empty() || self.by_size.contains(&key);
        size_matches && self.by_age.contains(&(key.arrival, key.job))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_age.len()
    }

    /// The job to start next: the oldest once it has waited for `max_overtake`, else the shortest.
    /// The first component orders heads of several lanes: aged jobs come first, by age.
    pub(crate) fn head(&self, now: Time, max_overtake: Duration) -> Option<(u64, Time, JobId)> {
        let (arrival, oldest) = *self.by_age.first()?;
        match self.by_size.first() {
            Some(key) if now.since(arrival) < max_overtake => {
                Some((key.size.saturating_add(1), key.arrival, key.job))
            }
            Some(_) | None => Some((0, arrival, oldest)),
        }
    }

    /// The rank of the lane where accounts don't share by weight: the size of the shortest job, or
    /// the arrival time of the oldest one.
    pub(crate) fn rank(&self) -> u64 {
        match (self.by_size.first(), self.by_age.first()) {
            (Some(key), _) => key.size,
            (None, Some((arrival, _))) => arrival.0,
            (None, None) => u64::MAX,
        }
    }
}
