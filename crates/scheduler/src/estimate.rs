//! Run times per queue and speeds per target.
//!
//! A task's run time is modelled as its declared time, times a factor of its queue, divided by the
//! speed of its target. Both factors are learned from completed runs, as logarithms, so that an
//! observation twice as long and one half as long weigh the same. The speed of a target moves
//! faster than the factor of a queue, since a target may turn slow at any moment.

use std::sync::Arc;
use std::time::Duration;

use greengage_core::SortedMap;

/// Weight of an observation for a queue's factor.
const QUEUE_WEIGHT: f64 = 0.02;
/// Weight of an observation for a target's speed. About ten runs a second end on a busy target, so
/// a change of speed is learned within a second.
const SPEED_WEIGHT: f64 = 0.18;
/// Largest error of one observation, as a logarithm: a factor of four and a half.
const MAX_LOG_ERROR: f64 = 1.5;
/// Weight of the first observations: one part in as many as there were, plus this many.
const PRIOR_SAMPLES: f64 = 2.0;

/// A learned logarithm.
#[derive(Clone, Copy, Debug, Default)]
pub struct LearnedFactor {
    log: f64,
    samples: u32,
}

impl LearnedFactor {
    fn observe(&mut self, error: f64, weight: f64) {
        let early = 1.0 / (f64::from(self.samples) + PRIOR_SAMPLES);
        self.log += error.clamp(-MAX_LOG_ERROR, MAX_LOG_ERROR) * weight.max(early);
        self.samples = self.samples.saturating_add(1);
    }

    /// The factor.
    pub fn factor(&self) -> f64 {
        self.log.exp()
    }
}

/// The factors of all queues.
#[derive(Default)]
pub struct Estimates {
    queues: SortedMap<Arc<str>, LearnedFactor>,
}

impl Estimates {
    /// The expected run time on a target of usual speed.
    pub fn expected_run_time(&self, queue: &str, declared: Duration) -> Duration {
        let factor = self.queues.get(queue).map_or(1.0, LearnedFactor::factor);
        declared.mul_f64(factor)
    }

    /// Learns from a completed run that took `elapsed`.
    pub fn observe(
        &mut self,
        queue: &Arc<str>,
        speed: &mut LearnedFactor,
        declared: Duration,
        elapsed: Duration,
    ) {
        let factor = self.queues.entry(queue.clone(), LearnedFactor::default);
        let ratio = elapsed.as_secs_f64().max(1e-4) / declared.as_secs_f64().max(1e-4);
        let error = ratio.ln() - (factor.log - speed.log);
        factor.observe(error, QUEUE_WEIGHT);
        speed.observe(-error, SPEED_WEIGHT);
    }
}
