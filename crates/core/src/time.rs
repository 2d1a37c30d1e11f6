//! Time as a value; the crates that make decisions read no clock.
//!
//! `Time` is monotonic and local to a process. `WallTime` is wall-clock time; because it may jump,
//! it is used only for retention and for timestamps that people read. `Hlc` orders events across
//! processes.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use greengage_derive::value;

/// Microseconds since the process started, from a monotonic clock.
#[value(copy, key)]
#[derive(Default)]
pub struct Time(pub u64);

impl Time {
    /// A time of `millis` milliseconds after the start of the process.
    pub fn from_millis(millis: u64) -> Time {
        Time(millis * 1000)
    }

    /// The duration from `earlier` to `self`; zero when `earlier` is the later one.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Microseconds of a duration; those of the longest ones have no exact number.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(micros(duration)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(micros(duration)))
    }
}

/// Wall-clock time in milliseconds since 1970-01-01 UTC.
#[value(copy, key)]
#[derive(Default)]
pub struct WallTime(pub u64);

/// A timestamp of a hybrid logical clock; ordered by wall-clock time, then by the counter.
#[value(copy, key)]
#[derive(Default)]
pub struct Hlc {
    /// The largest wall-clock time seen so far.
    pub wall: WallTime,
    /// Counter that orders timestamps with the same `wall`.
    pub counter: u32,
}

impl Hlc {
    /// The timestamp of a local event at `wall`. The counter must not be at its maximum when
    /// `wall` hasn't advanced.
    pub fn tick(self, wall: WallTime) -> Hlc {
        if wall > self.wall {
            return Hlc { wall, counter: 0 };
        }
        Hlc {
            wall: self.wall,
            counter: self.counter + 1,
        }
    }

    /// The timestamp after a message with the timestamp `other` is received at `wall`.
    pub fn merge(self, other: Hlc, wall: WallTime) -> Hlc {
        self.max(other).tick(wall)
    }
}

impl fmt::Display for Hlc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall.0, self.counter)
    }
}
