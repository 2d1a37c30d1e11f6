//! Reads the clocks; no other module does.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use greengage_control::Now;
use greengage_core::{Time, WallTime};

/// Longest wait for a deadline; a later one is waited for in several steps.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// The monotonic clock and the wall clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock whose monotonic time is zero now.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// The current monotonic and wall-clock time.
    pub fn now(&self) -> Now {
        Now {
            time: Time(self.start.elapsed().as_micros() as u64),
            wall: WallTime(unix_millis()),
        }
    }

    /// The time left until `time`: zero once it has passed, at most [`MAX_WAIT`].
    pub(crate) fn time_until(&self, time: Time) -> Duration {
        time.since(self.now().time).min(MAX_WAIT)
    }
}

/// Wall-clock time in milliseconds since 1970-01-01 UTC; 0 when the clock is set before that.
pub(crate) fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |duration| duration.as_millis() as u64)
}
