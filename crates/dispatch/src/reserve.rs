//! The part of the slots that long work never takes.
//!
//! Long work ends too seldom to make room when short work arrives, so some slots have to be kept
//! from it: a fixed share, and more where short work used more within the last seconds, up to
//! half of the slots. Beyond half, long work would starve beside much short work.

use std::time::Duration;

use greengage_core::Time;

/// Half of the span over which the use by short work is remembered.
const HALF_WINDOW: Duration = Duration::from_secs(5);

/// Use of the live targets of one kind of work, in slots or millicores.
#[derive(Default)]
pub(crate) struct WorkUsage {
    pub(crate) capacity: u64,
    pub(crate) busy: u64,
    pub(crate) long_busy: u64,
    window_start: Time,
    /// Most use by short work in the present and in the last half span.
    short_peaks: [u64; 2],
    /// Whether a timer is set for the end of the remembered use.
    pub(crate) timer_set: bool,
}

impl WorkUsage {
    /// Notes the present use by short work.
    pub(crate) fn record_peak(&mut self, now: Time) {
        let age = now.since(self.window_start);
        if age >= HALF_WINDOW {
            self.short_peaks = [
                0,
                if age < HALF_WINDOW * 2 {
                    self.short_peaks[0]
                } else {
                    0
                },
            ];
            self.window_start = now;
        }
        self.short_peaks[0] = self.short_peaks[0].max(self.busy - self.long_busy);
    }

    /// What long work may hold at most.
    pub(crate) fn long_limit(&self, now: Time, reserve_percent: u32) -> u64 {
        if reserve_percent == 0 {
            return self.capacity;
        }
        let fixed = (self.capacity * u64::from(reserve_percent.min(100))).div_ceil(100);
        let peak = match now.since(self.window_start) < HALF_WINDOW * 2 {
            true => self.short_peaks[0].max(self.short_peaks[1]),
            false => 0,
        };
        self.capacity - fixed.max(peak.min(self.capacity / 2))
    }

    /// Whether long work may take `units` more; one task always may.
    pub(crate) fn allows_long(&self, now: Time, units: u64, reserve_percent: u32) -> bool {
        reserve_percent == 0
            || self.long_busy == 0
            || self.long_busy + units <= self.long_limit(now, reserve_percent)
    }

    /// When less of the use is remembered than at `now`.
    pub(crate) fn next_decay(&self, now: Time) -> Time {
        (self.window_start + HALF_WINDOW * 2).max(now + HALF_WINDOW)
    }
}
