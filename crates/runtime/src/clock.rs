//! The clocks. No other module of this crate reads them.

use std::time::{SystemTime, UNIX_EPOCH};

use greengage_core::{Time, WallTime};
use rustix::time::{clock_gettime, ClockId};

/// The clocks of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Time since the machine started, in microseconds. Includes time in which the machine was
    /// suspended, so that deadlines that passed during a suspension have expired on resumption.
    pub fn now(self) -> Time {
        let time = clock_gettime(ClockId::Boottime);
        Time(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000)
    }

    /// Wall-clock time in Unix milliseconds; 0 if the clock is set to a date before 1970.
    pub fn wall(self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime(since.map_or(0, |span| span.as_millis() as u64))
    }
}
