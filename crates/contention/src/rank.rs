//! Order of jobs that compete for room.
//!
//! The job with the earliest latest start comes first. Each level of lower priority defers a job by
//! a part of the time that it had left on arrival, so a job is overtaken only by jobs that arrive
//! within a bounded time after it. This order is for short crests, in which all jobs can still be
//! served; what doesn't fit is taken out by `refusal`.

use std::time::Duration;

use greengage_core::{value, Time};

/// Divisor of the time left on arrival: the deferral for one level of priority.
const DEFERRAL_DIVISOR: u32 = 8;
/// Levels of priority beyond which jobs aren't deferred further.
const MAX_DEFERRALS: u32 = 4;

/// What a waiting job asks for.
#[value(copy)]
pub struct Claim {
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// When its last task has to start for the job to end in time.
    pub latest_start: Time,
    /// Processor time that its waiting tasks need, summed over cores.
    pub work: Duration,
    /// When it arrived.
    pub arrival: Time,
}

/// Place of a job in the order; the lowest one gets room first.
#[value(copy, key)]
pub struct Rank {
    due: Time,
    priority: u32,
    arrival: Time,
}

impl Claim {
    /// Rank of the job.
    pub fn rank(&self) -> Rank {
        Rank::new(self.priority, self.latest_start, self.arrival)
    }
}

impl Rank {
    /// Rank of a job of this priority that has to start its last task by `latest_start`.
    pub fn new(priority: u32, latest_start: Time, arrival: Time) -> Rank {
        let left = latest_start.since(arrival);
        let deferral = left / DEFERRAL_DIVISOR * priority.min(MAX_DEFERRALS);
        Rank {
            due: latest_start + deferral,
            priority,
            arrival,
        }
    }

    /// The time by which jobs are ordered: the latest start with the deferral by priority.
    pub fn due(&self) -> Time {
        self.due
    }
}
