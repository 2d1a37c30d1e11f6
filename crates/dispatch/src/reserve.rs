//! The part of the slots that long work never takes.
//!
//! Long work ends too seldom to make room when short work arrives, so some slots have to be kept
//! from it: a fixed share, and more where short work used more within the last seconds, up to
//! half of the slots. Beyond half, long work would starve beside much short work.

use std::time::Duration;

use greengage_core::Time;

/// Half of the span over which the use by short work is remembered.
const HALF: Duration = Duration::from_secs(5);

/// Use of the live targets of one kind of work, in slots or millicores.
#[derive(Default)]
pub(crate) struct Use {
    pub(crate) capacity: u64,
    pub(crate) busy: u64,
    pub(crate) long: u64,
    since: Time,
    /// Most use by short work in the present and in the last half span.
    peaks: [u64; 2],
    /// Whether a timer is set for the end of the remembered use.
    pub(crate) armed: bool,
}

impl Use {
    /// Notes the present use by short work.
    pub(crate) fn note(&mut self, now: Time) {
        let age = now.since(self.since);
        if age >= HALF {
            self.peaks = [0, if age < HALF * 2 { self.peaks[0] } else { 0 }];
            self.since = now;
        }
        self.peaks[0] = self.peaks[0].max(self.busy - self.long);
    }

    /// What long work may hold at most.
    pub(crate) fn most(&self, now: Time, short_percent: u32) -> u64 {
        if short_percent == 0 {
            return self.capacity;
        }
        let fixed = (self.capacity * u64::from(short_percent.min(100))).div_ceil(100);
        let peak = match now.since(self.since) < HALF * 2 {
            true => self.peaks[0].max(self.peaks[1]),
            false => 0,
        };
        self.capacity - fixed.max(peak.min(self.capacity / 2))
    }

    /// Whether long work may take `units` more; one task always may.
    pub(crate) fn allows(&self, now: Time, units: u64, short_percent: u32) -> bool {
        short_percent == 0 || self.long == 0 || self.long + units <= self.most(now, short_percent)
    }

    /// When less of the use is remembered than at `now`.
    pub(crate) fn fades(&self, now: Time) -> Time {
        (self.since + HALF * 2).max(now + HALF)
    }
}
