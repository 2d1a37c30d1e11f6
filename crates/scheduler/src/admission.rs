//! How long a job may wait before it begins, and which jobs are refused at once.
//!
//! A job is in time only if its slowest task is, so what it may lose by waiting is a small part of
//! its objective. A job that hasn't begun within that part is refused, while its caller can still
//! go elsewhere; a job that is expected to wait longer is refused on arrival. This answers loads
//! above the capacity: waiting longer would make all jobs late instead of some.

use std::time::Duration;

/// The part of the objective, as a divisor, that a job may wait before it begins.
const WAIT_DIVISOR: u32 = 4;
/// Taken off the wait for the answer's way back.
const ANSWER_DELAY: Duration = Duration::from_millis(4);

/// Return time of a refused caller on top of the time in which the present backlog is served.
const RETRY_DELAY_BASE: Duration = Duration::from_millis(500);

/// The longest time that a job of this objective may wait before it begins.
pub(crate) fn max_wait(objective: Duration) -> Duration {
    (objective / WAIT_DIVISOR).saturating_sub(ANSWER_DELAY)
}

/// When a refused caller may come back.
pub(crate) fn retry_delay(backlog: Duration) -> Duration {
    backlog + RETRY_DELAY_BASE
}

/// The time in which the waiting work is served, for `work` seconds of run time and `concurrency` tasks
/// at a time.
pub(crate) fn backlog(work: Duration, concurrency: f64) -> Duration {
    work.div_f64(concurrency.max(0.5))
}
