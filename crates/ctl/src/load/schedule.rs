//! Arrivals of a run, decided by its seed before it starts.
//!
//! Each kind of work has a random sequence of its own, so that leaving out one kind doesn't change
//! the arrivals of the others.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::scenario::{Kind, Plan, STRAGGLE_FACTOR};

/// A submission.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it is due, from the start of the run.
    pub at: Duration,
    /// Index of its kind of work in the plan.
    pub kind: usize,
    /// Index of its account in the plan.
    pub account: usize,
    /// Number that selects the entry VM, modulo their count.
    pub entry: usize,
    /// Number that selects the home zone of a key, modulo their count.
    pub zone: usize,
    /// Run times of its tasks on a target of speed 1, in milliseconds.
    pub tasks: Vec<u32>,
    /// Whether the wave of cancellations includes it.
    pub cancelled: bool,
}

/// Something that is due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Submit this arrival.
    Submit(usize),
    /// Cancel this arrival.
    Cancel(usize),
    /// The last target leaves.
    Leave,
}

/// A run's arrivals and everything else that is due in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Length of the run.
    pub length: Duration,
    /// Submissions in the order of their times.
    pub arrivals: Vec<Arrival>,
    /// What is due when, in order.
    pub actions: Vec<(Duration, Action)>,
}

/// Submissions that are due in this time before the wave of cancellations may be part of it.
const WAVE_REACH: Duration = Duration::from_secs(2);
/// The part of these submissions that is cancelled.
const WAVE_PART: f64 = 0.5;

impl Schedule {
    /// The schedule of a plan; `factor` scales the arrival rates.
    pub fn new(plan: &Plan, seed: u64, length: Duration, factor: f64) -> Schedule {
        let wave = plan.wave.map(|part| length.mul_f64(part));
        let mut arrivals = Vec::new();
        for (kind, spec) in plan.kinds.iter().enumerate() {
            if spec.part > 0.0 {
                arrivals.extend(arrivals_of(plan, kind, spec, seed, length, factor, wave));
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        let submit = |(i, arrival): (usize, &Arrival)| (arrival.at, Action::Submit(i));
        let mut actions: Vec<(Duration, Action)> =
            arrivals.iter().enumerate().map(submit).collect();
        if let Some(wave) = wave {
            let part = arrivals.iter().enumerate().filter(|(_, a)| a.cancelled);
            actions.extend(part.map(|(i, _)| (wave, Action::Cancel(i))));
        }
        actions.push((length.mul_f64(plan.leave), Action::Leave));
        // The sort is stable, so a submission precedes its cancellation.
        actions.sort_by_key(|(at, _)| *at);
        Schedule {
            length,
            arrivals,
            actions,
        }
    }
}

fn arrivals_of(
    plan: &Plan,
    kind: usize,
    spec: &Kind,
    seed: u64,
    length: Duration,
    factor: f64,
    wave: Option<Duration>,
) -> Vec<Arrival> {
    let stream = seed.wrapping_mul(1_000_003).wrapping_add(kind as u64);
    let mut rng = StdRng::seed_from_u64(stream);
    let mean = |range: (u32, u32)| f64::from(range.0 + range.1) / 2.0;
    let straggle = 1.0 + plan.stragglers * (STRAGGLE_FACTOR - 1.0);
    let seconds = mean(spec.tasks) * mean(spec.service_ms) / 1000.0 * straggle;
    // The rate at which this kind alone would use the whole capacity.
    let full = plan.capacity() / seconds;
    let end = length.as_secs_f64();
    let mut arrivals = Vec::new();
    // Candidates come at the rate of the highest load and are thinned out to the present one.
    let highest = plan.shape.iter().map(|point| point.1).fold(0.0, f64::max);
    let rate = full * highest * spec.part * factor;
    let mut at = 0.0;
    loop {
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        if at >= end {
            return arrivals;
        }
        let tasks = (0..rng.random_range(spec.tasks.0..=spec.tasks.1)).map(|_| {
            let millis = rng.random_range(spec.service_ms.0..=spec.service_ms.1);
            match rng.random_bool(plan.stragglers) {
                true => (f64::from(millis) * STRAGGLE_FACTOR) as u32,
                false => millis,
            }
        });
        let tasks = tasks.collect();
        let due = Duration::from_secs_f64(at);
        let near = |wave: Duration| due <= wave && wave - due < WAVE_REACH;
        let arrival = Arrival {
            at: due,
            kind,
            account: rng.random_range(0..plan.accounts.len()),
            entry: rng.random_range(0..1 << 16),
            zone: rng.random_range(0..1 << 16),
            tasks,
            cancelled: rng.random_bool(WAVE_PART) && wave.is_some_and(near),
        };
        if rng.random::<f64>() * highest < plan.load(at / end) {
            arrivals.push(arrival);
        }
    }
}
