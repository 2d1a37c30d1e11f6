//! The one place where clocks are read.

use std::time::{SystemTime, UNIX_EPOCH};

use greengage_core::{Time, Wall};
use rustix::time::{clock_gettime, ClockId};

/// The clocks of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// The time since the machine started. It counts time in which the machine was suspended, so
    /// that deadlines that passed meanwhile are seen as passed.
    pub fn now(self) -> Time {
        let time = clock_gettime(ClockId::Boottime);
        Time(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000)
    }

    /// The time of day; 0 when the clock stands before 1970.
    pub fn wall(self) -> Wall {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Wall(since.map_or(0, |span| span.as_millis() as u64))
    }
}
