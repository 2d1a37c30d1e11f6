//! Time as a value: no function of a decision crate reads a clock.
//!
//! `Time` is monotonic and local to a process. `Wall` is the time of day; it is used only for
//! retention and for stamps that people read, because it may jump. `Hlc` orders events over all
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
    /// The time in milliseconds.
    pub fn from_millis(millis: u64) -> Time {
        Time(millis * 1000)
    }

    /// The span from `earlier` to `self`, or zero when `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

/// Milliseconds since 1970-01-01 UTC.
#[value(copy, key)]
#[derive(Default)]
pub struct Wall(pub u64);

/// A hybrid logical clock stamp: the time of day in milliseconds, then a counter.
#[value(copy, key)]
#[derive(Default)]
pub struct Hlc {
    /// The largest time of day seen so far.
    pub wall: Wall,
    /// Orders stamps with the same `wall`.
    pub count: u32,
}

impl Hlc {
    /// The stamp of a local event at `wall`.
    pub fn tick(self, wall: Wall) -> Hlc {
        if wall > self.wall {
            return Hlc { wall, count: 0 };
        }
        Hlc {
            wall: self.wall,
            count: self.count + 1,
        }
    }

    /// The stamp after a message with the stamp `other` arrived at `wall`.
    pub fn merge(self, other: Hlc, wall: Wall) -> Hlc {
        self.max(other).tick(wall)
    }
}

impl fmt::Display for Hlc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall.0, self.count)
    }
}
