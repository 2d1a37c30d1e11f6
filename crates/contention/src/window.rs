//! Values that are kept for the last seconds: one for the current window and one for the window
//! before it. Memory and time don't depend on the number of records.

use std::time::Duration;

use greengage_core::Time;

/// A value of the current window and of the previous one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Windows<T> {
    start: Time,
    current: T,
    previous: T,
}

impl<T: Copy + Default> Windows<T> {
    /// The value of the current window, which begins anew once it is older than `span`.
    pub fn record(&mut self, now: Time, span: Duration) -> &mut T {
        let age = now.since(self.start);
        if age >= span {
            self.previous = match age < span * 2 {
                true => self.current,
                false => T::default(),
            };
            self.current = T::default();
            self.start = now;
        }
        &mut self.current
    }

    /// The values of the current and of the previous window.
    pub fn values(&self) -> [&T; 2] {
        [&self.current, &self.previous]
    }

    /// Whether something was recorded less than two spans ago.
    pub fn is_recent(&self, now: Time, span: Duration) -> bool {
        now.since(self.start) < span * 2
    }

    /// When the current window began.
    pub fn start(&self) -> Time {
        self.start
    }

    /// A sum over both windows as a rate per microsecond; 0 if it is not recent.
    pub fn rate(&self, now: Time, span: Duration, sum: u64) -> f64 {
        match self.is_recent(now, span) {
            true => sum as f64 / (span + now.since(self.start)).as_micros() as f64,
            false => 0.0,
        }
    }
}
