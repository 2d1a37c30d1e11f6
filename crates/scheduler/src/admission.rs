//! Limits on the queueing time of jobs.
//!
//! A job is in time only if its slowest task is, so it can spend only a small part of its objective
//! waiting. A job that isn't started within that part is refused while its caller can still go
//! elsewhere, and a job that is expected to wait longer is refused on arrival. This policy is for
//! overload: longer queues would make all jobs late instead of some.

use std::time::Duration;

/// Divisor of the objective: the part that a job may wait before it is started.
const WAIT_DIVISOR: u32 = 4;
/// Subtracted from the wait, for the delivery of the answer.
const ANSWER_DELAY: Duration = Duration::from_millis(4);

/// Added to the backlog in the retry delay of a refused job.
const RETRY_DELAY_BASE: Duration = Duration::from_millis(500);

/// Longest time that a job with this objective may wait before it is started.
pub(crate) fn max_wait(objective: Duration) -> Duration {
    (objective / WAIT_DIVISOR).saturating_sub(ANSWER_DELAY)
}

/// Time after which the caller of a refused job may submit it again.
pub(crate) fn retry_delay(backlog: Duration) -> Duration {
    backlog + RETRY_DELAY_BASE
}

/// Time until waiting tasks with the total run time `work` are served, `concurrency` at a time.
pub(crate) fn backlog(work: Duration, concurrency: f64) -> Duration {
    work.div_f64(concurrency.max(0.5))
}
