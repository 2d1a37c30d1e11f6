//! When a VM that shuts down may end.
//!
//! The balancer needs some seconds to notice that a VM isn't ready, and callers go on using open
//! connections. So the VM serves on, asks callers to close their connections, and ends once nobody
//! has asked for anything for a while, or when its time is over.

use std::time::Duration;

use greengage_core::Time;

/// The balancer looks once a second and takes a VM out after two misses.
const BALANCER_DETECTION: Duration = Duration::from_millis(2300);
/// A VM on which nothing happened for this time is done.
const IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Jobs are taken until this long before the end; the longest job fits.
const CLOSING_TIME: Duration = Duration::from_millis(1700);
/// Kept back for the end of the process itself.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// How far a shutdown is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not asked for.
    Serving,
    /// Serves on, but isn't ready for new connections.
    Draining,
    /// Takes no further jobs.
    Closing,
    /// May end.
    Done,
}

/// A shutdown under way, or none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shutdown {
    started: Option<Time>,
    last_busy: Time,
    grace: Duration,
}

impl Shutdown {
    /// Begins a shutdown that has to be over within `grace`.
    pub fn begin(&mut self, now: Time, grace: Duration) {
        if self.started.is_none() {
            (self.started, self.last_busy, self.grace) = (Some(now), now, grace);
        }
    }

    /// The stage at `now`, with `callers` that wait for answers.
    pub fn stage(&mut self, now: Time, callers: usize, has_duties: bool) -> Stage {
        let Some(started) = self.started else {
            return Stage::Serving;
        };
        if callers > 0 || has_duties {
            self.last_busy = now;
        }
        let elapsed = now.since(started);
        let end = self.grace.saturating_sub(EXIT_RESERVE);
        let idle = elapsed >= BALANCER_DETECTION && now.since(self.last_busy) >= IDLE_TIMEOUT;
        if elapsed >= end || idle {
            return Stage::Done;
        }
        match elapsed >= end.saturating_sub(CLOSING_TIME) {
            true => Stage::Closing,
            false => Stage::Draining,
        }
    }
}
