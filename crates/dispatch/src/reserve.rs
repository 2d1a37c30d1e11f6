//! Capacity reserved for short work, which long work never takes.
//!
//! Long tasks end too seldom to free slots when short work arrives, so part of the capacity is
//! reserved: a fixed share, or the peak use by short work within the last 10 s where that is
//! larger, up to half of the capacity. With more than half reserved, steady short work would
//! starve long work.

use std::time::Duration;

use greengage_contention::Windows;
use greengage_core::Time;

/// Half of the window over which the peak use by short work is kept.
const HALF_WINDOW: Duration = Duration::from_secs(5);

/// Capacity and use of the live targets of one kind of work, in slots or millicores.
#[derive(Default)]
pub(crate) struct WorkUsage {
    pub(crate) capacity: u64,
    /// In use by all work.
    pub(crate) busy: u64,
    /// In use by long work.
    pub(crate) long_busy: u64,
    /// Peak use by short work.
    short_peaks: Windows<u64>,
    /// Whether a timer is set for the next possible shrinking of the reserve.
    pub(crate) timer_set: bool,
}

impl WorkUsage {
    /// Records the current use by short work in the peak of this half window.
    pub(crate) fn record_peak(&mut self, now: Time) {
        let peak = self.short_peaks.record(now, HALF_WINDOW);
        *peak = (*peak).max(self.busy - self.long_busy);
    }

    /// The most that long work may use.
    pub(crate) fn long_limit(&self, now: Time, reserve_percent: u32) -> u64 {
        if reserve_percent == 0 {
            return self.capacity;
        }
        let fixed = (self.capacity * u64::from(reserve_percent.min(100))).div_ceil(100);
        let [current, previous] = self.short_peaks.values();
        let peak = match self.short_peaks.is_recent(now, HALF_WINDOW) {
            true => *current.max(previous),
            false => 0,
        };
        self.capacity - fixed.max(peak.min(self.capacity / 2))
    }

    /// Whether a long task of `units` may start. The first one always may, so that long work makes
    /// progress on targets with very few slots.
    pub(crate) fn allows_long(&self, now: Time, units: u64, reserve_percent: u32) -> bool {
        reserve_percent == 0
            || self.long_busy == 0
            || self.long_busy + units <= self.long_limit(now, reserve_percent)
    }

    /// When the recorded peak, and with it the reserve, can next shrink.
    pub(crate) fn next_decay(&self, now: Time) -> Time {
        (self.short_peaks.start() + HALF_WINDOW * 2).max(now + HALF_WINDOW)
    }
}
