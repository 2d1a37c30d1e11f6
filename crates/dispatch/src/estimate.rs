//! Expected run times per kind of work.
//!
//! An estimate is an exponentially weighted moving average of observed service times. A sample is
//! capped at `MAX_SAMPLE_RATIO` times the estimate, so that a straggler has little effect. Only
//! completed tasks are sampled, so that failures, which are often fast, never lower the estimate.

use std::time::Duration;

use crate::ids::WorkId;

/// Lowest weight of a new sample; the first 16 samples have equal weight.
const EWMA_WEIGHT: f64 = 1.0 / 16.0;

/// Cap on a sample, as a multiple of the estimate.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// Samples from which the estimate replaces the declared run time.
const MIN_SAMPLES: u32 = 3;

/// Lower bound of an expected run time, so that work without a declared run time has a cost.
const MIN_RUN_TIME: Duration = Duration::from_micros(100);

/// Upper bound of an expected run time, so that sums over a full queue fit 64 bits.
const MAX_RUN_TIME: Duration = Duration::from_secs(24 * 3600);

#[derive(Clone, Copy, Default)]
struct Estimate {
    mean: f64,
    samples: u32,
}

/// Run time estimates of all kinds of work, in microseconds.
#[derive(Default)]
pub(crate) struct Estimates {
    by_work: Vec<Estimate>,
}

impl Estimates {
    /// Updates the estimate with the service time of a completed task.
    pub(crate) fn observe(&mut self, work: WorkId, service: Duration) {
        if self.by_work.len() <= work.index() {
            self.by_work.resize(work.index() + 1, Estimate::default());
        }
        let estimate = &mut self.by_work[work.index()];
        let mut service = service.as_micros() as f64;
        if estimate.samples >= MIN_SAMPLES {
            service = service.min(estimate.mean * MAX_SAMPLE_RATIO);
        }
        estimate.samples = estimate.samples.saturating_add(1);
        estimate.mean +=
            (service - estimate.mean) * EWMA_WEIGHT.max(1.0 / f64::from(estimate.samples));
    }

    /// The estimated run time; `None` below `MIN_SAMPLES` samples.
    pub(crate) fn observed(&self, work: WorkId) -> Option<Duration> {
        let estimate = self.by_work.get(work.index())?;
        (estimate.samples >= MIN_SAMPLES)
            .then(|| clamp_run_time(Duration::from_micros(estimate.mean as u64)))
    }

    /// The estimated run time, or `declared` below `MIN_SAMPLES` samples.
    pub(crate) fn expected(&self, work: WorkId, declared: Duration) -> Duration {
        self.observed(work).unwrap_or(clamp_run_time(declared))
    }
}

fn clamp_run_time(run_time: Duration) -> Duration {
    run_time.clamp(MIN_RUN_TIME, MAX_RUN_TIME)
}
