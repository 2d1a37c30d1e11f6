//! Expected run times per kind of work.
//!
//! An estimate is an exponentially weighted mean of observed service times. An observation counts
//! for at most `CLIP` times the estimate, so that a straggler moves it a little; only completed
//! tasks are observed, so that failures, which are often fast, never lower it.

use std::time::Duration;

use crate::ids::WorkId;

/// Weight of a new observation once there are enough of them.
const EWMA_WEIGHT: f64 = 1.0 / 16.0;

/// Largest observation as a multiple of the estimate.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// Observations from which the estimate replaces the declared run time.
const MIN_SAMPLES: u32 = 3;

/// Shortest expected run time, so that work without a declared one still costs something.
const MIN_RUN_TIME: Duration = Duration::from_micros(100);

/// Longest expected run time, so that sums over a full queue fit 64 bits.
const MAX_RUN_TIME: Duration = Duration::from_secs(24 * 3600);

#[derive(Clone, Copy, Default)]
struct Estimate {
    mean: f64,
    samples: u32,
}

/// The estimates of all kinds of work, in microseconds.
#[derive(Default)]
pub(crate) struct Estimates {
    by_work: Vec<Estimate>,
}

impl Estimates {
    /// Learns from a completed task.
    pub(crate) fn observe(&mut self, work: WorkId, service: Duration) {
        if self.by_work.len() <= work.index() {
            self.by_work.resize(work.index() + 1, Estimate::default());
        }
        let e = &mut self.by_work[work.index()];
        let mut service = service.as_micros() as f64;
        if e.samples >= MIN_SAMPLES {
            service = service.min(e.mean * MAX_SAMPLE_RATIO);
        }
        e.samples = e.samples.saturating_add(1);
        e.mean += (service - e.mean) * EWMA_WEIGHT.max(1.0 / f64::from(e.samples));
    }

    /// The observed run time, once there are enough observations.
    pub(crate) fn observed(&self, work: WorkId) -> Option<Duration> {
        let e = self.by_work.get(work.index())?;
        (e.samples >= MIN_SAMPLES).then(|| clamp_run_time(Duration::from_micros(e.mean as u64)))
    }

    /// The expected run time of a task whose job declares `declared`.
    pub(crate) fn expected(&self, work: WorkId, declared: Duration) -> Duration {
        self.observed(work).unwrap_or(clamp_run_time(declared))
    }
}

fn clamp_run_time(run_time: Duration) -> Duration {
    run_time.clamp(MIN_RUN_TIME, MAX_RUN_TIME)
}
