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
/// New jobs are refused for this long before the end. Their callers are about to lose the
/// connection, and another VM can serve them at once.
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
    /// Begins a shutdown that must end `grace_period` after `requested`, unless one is in progress.
    /// Returns when the last caller must have its answer.
    pub fn begin(&mut self, requested: Time, grace_period: Duration) -> Time {
        let started = *self.started.get_or_insert_with(|| {
            (self.last_busy, self.grace_period) = (requested, grace_period);
            requested
        });
        started + self.service_time().saturating_sub(ANSWER_RESERVE)
    }

    /// Time from the start of the shutdown until the process exits, unless it exits earlier.
    fn service_time(&self) -> Duration {
        self.grace_period.saturating_sub(EXIT_RESERVE)
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
        let end = self.service_time();
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
