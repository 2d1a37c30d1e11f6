//! Stages of a graceful shutdown.
//!
//! The load balancer needs some seconds to detect that a VM is no longer ready, and callers keep
//! using open connections. The VM therefore continues to serve, asks callers to close their
//! connections, and exits once it has been idle for a while or its grace period is over. Callers
//! whose jobs can't end within the grace period are answered before the exit.

use std::time::Duration;

use greengage_core::Time;

/// The load balancer probes once a second and removes a VM after two failed probes.
const BALANCER_DETECTION: Duration = Duration::from_millis(2300);
/// A VM that has been idle for this long may exit.
const IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Jobs are refused for this long before the end, so that the longest job can finish.
const CLOSING_TIME: Duration = Duration::from_millis(1700);
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(400);
/// Time before the end in which no caller waits any more, so that the last answers are delivered
/// and the last runs stopped.
const ANSWER_RESERVE: Duration = Duration::from_millis(200);

/// Stage of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No shutdown was requested.
    Serving,
    /// Still serves, but reports that it is not ready for new connections.
    Draining,
    /// Refuses new jobs.
    Closing,
    /// The process may exit.
    Done,
}

/// State of the shutdown; the default is that none was requested.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shutdown {
    started: Option<Time>,
    last_busy: Time,
    grace_period: Duration,
}

impl Shutdown {
    /// Begins a shutdown that must end within `grace_period`; no effect if one is in progress.
    pub fn begin(&mut self, now: Time, grace_period: Duration) {
        if self.started.is_none() {
            (self.started, self.last_busy, self.grace_period) = (Some(now), now, grace_period);
        }
    }

    /// When the last caller must have its answer; `None` if no shutdown was requested.
    pub fn answers_due(&self) -> Option<Time> {
        let end = self.grace_period.saturating_sub(EXIT_RESERVE);
        self.started
            .map(|started| started + end.saturating_sub(ANSWER_RESERVE))
    }

    /// Time from `now` to the end of the grace period; `None` if no shutdown was requested.
    pub fn time_left(&self, now: Time) -> Option<Duration> {
        self.started
            .map(|started| (started + self.grace_period).since(now))
    }

    /// The stage at `now`. The VM is busy while `callers` wait for answers or while it
    /// `has_duties`, which means that it owns targets or leads the control group.
    pub fn stage(&mut self, now: Time, callers: usize, has_duties: bool) -> Stage {
        let Some(started) = self.started else {
            return Stage::Serving;
        };
        if callers > 0 || has_duties {
            self.last_busy = now;
        }
        let elapsed = now.since(started);
        let end = self.grace_period.saturating_sub(EXIT_RESERVE);
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
