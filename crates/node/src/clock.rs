//! The one place where clocks are read.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use greengage_control::Now;
use greengage_core::{Time, Wall};

/// A deadline further away is looked at again after this time.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// The clocks of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock whose monotonic time starts now.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// The present time.
    pub fn now(&self) -> Now {
        Now {
            time: Time(self.start.elapsed().as_micros() as u64),
            wall: Wall(unix_millis()),
        }
    }

    /// What is left until a monotonic time.
    pub(crate) fn time_until(&self, time: Time) -> Duration {
        time.since(self.now().time).min(MAX_WAIT)
    }
}

/// The time of day in milliseconds; 0 when the clock stands before 1970.
pub(crate) fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |duration| duration.as_millis() as u64)
}
