//! Order of jobs that compete for room.

use std::time::Duration;

use greengage_core::{value, Time};

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
    latest_start: Time,
    arrival: Time,
}

impl Claim {
    /// Rank of the job; the job with the least time left comes first.
    pub fn rank(&self) -> Rank {
        Rank {
            latest_start: self.latest_start,
            arrival: self.arrival,
        }
    }
}
