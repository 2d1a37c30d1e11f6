//! Estimates of run time per queue and speed per target.
//!
//! The run time of a task is modelled as its declared time, times a factor of its queue, divided by
//! the speed of its target. Both factors are learned from completed runs, as logarithms, so that
//! twice and half the expected time weigh the same. Speeds are learned faster than queue factors,
//! since a target may become slow at any moment.
//!
//! An end is noticed late by a time that doesn't depend on the task, so a short run tells less about
//! the longer runs of its queue, and no single run is believed in full: a long job would be refused
//! for one late end.

use std::sync::Arc;
use std::time::Duration;

use greengage_core::SortedMap;

/// Weight of an observation for a queue's factor.
const QUEUE_WEIGHT: f64 = 0.02;
/// Weight of an observation for a target's speed. About ten runs per second end on a busy target,
/// so a change of speed is learned within a second.
const SPEED_WEIGHT: f64 = 0.18;
/// Limit on the logarithmic error of one observation: a factor of 4.5.
const MAX_LOG_ERROR: f64 = 1.5;
/// The first observations weigh 1 / (earlier observations + this number). Queue and target learn from
/// each, so that the first one is believed by two fifths.
const PRIOR_SAMPLES: f64 = 5.0;
/// Time by which the end of a run is often noticed late. A run of this length weighs half.
const LATE_NOTICE: Duration = Duration::from_millis(25);

/// A factor that is learned as a logarithm.
#[derive(Clone, Copy, Debug, Default)]
pub struct LearnedFactor {
    log: f64,
    samples: u32,
}

impl LearnedFactor {
    /// Learns from an error of the logarithm. `trust`, up to 1, scales the weight of an early run;
    /// later ones are believed alike, since a known target must be found slow as soon.
    fn observe(&mut self, error: f64, weight: f64, trust: f64) {
        let early = 1.0 / (f64::from(self.samples) + PRIOR_SAMPLES);
        self.log += error.clamp(-MAX_LOG_ERROR, MAX_LOG_ERROR) * weight.max(early * trust);
        self.samples = self.samples.saturating_add(1);
    }

    /// The factor itself; 1 before the first observation.
    pub fn factor(&self) -> f64 {
        self.log.exp()
    }
}

/// Limit on run times that are declared or expected. A message of another VM may be damaged, and
/// calculations with its longest time would overflow.
const LONGEST_RUN_TIME: Duration = Duration::from_secs(24 * 3600);

/// Learned run time factors by queue.
#[derive(Default)]
pub struct Estimates {
    queues: SortedMap<Arc<str>, LearnedFactor>,
}

impl Estimates {
    /// Expected run time of a task on a target of usual speed.
    pub fn expected_run_time(&self, queue: &str, declared: Duration) -> Duration {
        let factor = self.queues.get(queue).map_or(1.0, LearnedFactor::factor);
        let expected = declared.min(LONGEST_RUN_TIME).mul_f64(factor);
        expected.min(LONGEST_RUN_TIME)
    }

    /// Updates the queue's factor and the target's speed from a completed run.
    pub fn observe(
        &mut self,
        queue: &Arc<str>,
        speed: &mut LearnedFactor,
        declared: Duration,
        elapsed: Duration,
    ) {
        let factor = self
            .queues
            .get_or_insert_with(queue.clone(), LearnedFactor::default);
        let ratio = elapsed.as_secs_f64().max(1e-4) / declared.as_secs_f64().max(1e-4);
        let error = ratio.ln() - (factor.log - speed.log);
        let length = declared.as_secs_f64();
        let trust = length / (length + LATE_NOTICE.as_secs_f64());
        factor.observe(error, QUEUE_WEIGHT, trust);
        speed.observe(-error, SPEED_WEIGHT, trust);
    }
}
