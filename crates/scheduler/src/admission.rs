//! How long a job may wait before it begins, and which jobs are refused at once.
//!
//! A job is in time only if its slowest task is, so what it may lose by waiting is a small part of
//! its objective. A job that hasn't begun within that part is refused, while its caller can still
//! go elsewhere; a job that is expected to wait longer is refused on arrival. This answers loads
//! above the capacity: waiting longer would make all jobs late instead of some.

use std::time::Duration;

/// The part of the objective, as a divisor, that a job may wait before it begins.
const WAIT_PART: u32 = 4;
/// Taken off the wait for the answer's way back.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Return time of a refused caller on top of the time in which the present backlog is served.
const RETURN_PAUSE: Duration = Duration::from_millis(500);

/// The longest time that a job of this objective may wait before it begins.
pub(crate) fn longest_wait(objective: Duration) -> Duration {
    (objective / WAIT_PART).saturating_sub(ANSWER_TIME)
}

/// When a refused caller may come back.
pub(crate) fn return_time(backlog: Duration) -> Duration {
    backlog + RETURN_PAUSE
}

/// The time in which the waiting work is served, for `work` seconds of run time and `lanes` tasks
/// at a time.
pub(crate) fn backlog(work: Duration, lanes: f64) -> Duration {
    work.div_f64(lanes.max(0.5))
}
