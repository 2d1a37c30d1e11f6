//! Arrivals of a run, decided by its seed before it starts.
//!
//! Each kind of work has a random sequence of its own, so that leaving out one kind doesn't change
//! the arrivals of the others.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::scenario::{Plan, WorkKind, STRAGGLER_FACTOR};

/// A submission.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it is due, from the start of the run.
    pub due_at: Duration,
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
    pub to_cancel: bool,
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
const CANCEL_WINDOW: Duration = Duration::from_secs(2);
/// The part of these submissions that is to_cancel.
const CANCEL_PROBABILITY: f64 = 0.5;

impl Schedule {
    /// The schedule of a plan; `factor` scales the arrival rates.
    pub fn new(plan: &Plan, seed: u64, length: Duration, rate_factor: f64) -> Schedule {
        let cancel_at = plan.cancel_at.map(|fraction| length.mul_f64(fraction));
        let mut arrivals = Vec::new();
        for (kind, spec) in plan.kinds.iter().enumerate() {
            if spec.load_share > 0.0 {
                arrivals.extend(generate_arrivals(
                    plan,
                    kind,
                    spec,
                    seed,
                    length,
                    rate_factor,
                    cancel_at,
                ));
            }
        }
        arrivals.sort_by_key(|arrival| arrival.due_at);
        let submit = |(i, arrival): (usize, &Arrival)| (arrival.due_at, Action::Submit(i));
        let mut actions: Vec<(Duration, Action)> =
            arrivals.iter().enumerate().map(submit).collect();
        if let Some(cancel_at) = cancel_at {
            let to_cancel = arrivals.iter().enumerate().filter(|(_, a)| a.to_cancel);
            actions.extend(to_cancel.map(|(i, _)| (cancel_at, Action::Cancel(i))));
        }
        actions.push((length.mul_f64(plan.leave_at), Action::Leave));
        // The sort is stable, so a submission precedes its cancellation.
        actions.sort_by_key(|(due_at, _)| *due_at);
        Schedule {
            length,
            arrivals,
            actions,
        }
    }
}

fn generate_arrivals(
    plan: &Plan,
    kind: usize,
    spec: &WorkKind,
    seed: u64,
    length: Duration,
    rate_factor: f64,
    cancel_at: Option<Duration>,
) -> Vec<Arrival> {
    let stream_seed = seed.wrapping_mul(1_000_003).wrapping_add(kind as u64);
    let mut rng = StdRng::seed_from_u64(stream_seed);
    let mean = |range: (u32, u32)| f64::from(range.0 + range.1) / 2.0;
    let straggler_scale = 1.0 + plan.straggler_ratio * (STRAGGLER_FACTOR - 1.0);
    let mean_seconds = mean(spec.tasks) * mean(spec.service_ms) / 1000.0 * straggler_scale;
    // The rate at which this kind alone would use the whole capacity.
    let full_rate = plan.capacity() / mean_seconds;
    let end_s = length.as_secs_f64();
    let mut arrivals = Vec::new();
    // Candidates come at the rate of the highest load and are thinned out to the present one.
    let peak_load = plan
        .load_curve
        .iter()
        .map(|point| point.1)
        .fold(0.0, f64::max);
    let rate = full_rate * peak_load * spec.load_share * rate_factor;
    let mut at_s = 0.0;
    loop {
        at_s -= (1.0 - rng.random::<f64>()).ln() / rate;
        if at_s >= end_s {
            return arrivals;
        }
        let tasks = (0..rng.random_range(spec.tasks.0..=spec.tasks.1)).map(|_| {
            let millis = rng.random_range(spec.service_ms.0..=spec.service_ms.1);
            match rng.random_bool(plan.straggler_ratio) {
                true => (f64::from(millis) * STRAGGLER_FACTOR) as u32,
                false => millis,
            }
        });
        let tasks = tasks.collect();
        let due = Duration::from_secs_f64(at_s);
        let in_window = |time: Duration| due <= time && time - due < CANCEL_WINDOW;
        let arrival = Arrival {
            due_at: due,
            kind,
            account: rng.random_range(0..plan.accounts.len()),
            entry: rng.random_range(0..1 << 16),
            zone: rng.random_range(0..1 << 16),
            tasks,
            to_cancel: rng.random_bool(CANCEL_PROBABILITY) && cancel_at.is_some_and(in_window),
        };
        if rng.random::<f64>() * peak_load < plan.load_at(at_s / end_s) {
            arrivals.push(arrival);
        }
    }
}
