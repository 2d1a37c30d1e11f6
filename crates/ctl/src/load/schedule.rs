//! The schedule of a run, computed from its seed before the run starts.
//!
//! Arrivals are a Poisson process whose rate follows the load curve. Each kind of work has its own
//! random sequence, so that leaving out one kind doesn't change the arrivals of the others.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::scenario::{Plan, WorkKind, STRAGGLER_FACTOR};

/// A submission to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time at which it is due, from the start of the run.
    pub due_at: Duration,
    /// Index of the kind of work in the plan.
    pub kind: usize,
    /// Index of the account in the plan.
    pub account: usize,
    /// Selects the entry VM, modulo the number of VMs.
    pub entry: usize,
    /// Selects the home zone of a key, modulo the number of zones.
    pub zone: usize,
    /// Run time of each task on a target of speed 1, in milliseconds.
    pub tasks: Vec<u32>,
    /// Whether the mass cancellation includes it.
    pub to_cancel: bool,
}

/// An action of the load generator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Submit the arrival with this index.
    Submit(usize),
    /// Cancel the arrival with this index.
    Cancel(usize),
    /// Have the last target announce that it is leaving.
    Leave,
}

/// The arrivals and all actions of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Length of the run.
    pub length: Duration,
    /// Arrivals, ordered by `due_at`.
    pub arrivals: Vec<Arrival>,
    /// Actions with the time at which each is due, from the start of the run; in order of time.
    pub actions: Vec<(Duration, Action)>,
}

/// A mass cancellation selects from the arrivals that are due within this time before it.
const CANCEL_WINDOW: Duration = Duration::from_secs(2);
/// Probability that one of these arrivals is cancelled.
const CANCEL_PROBABILITY: f64 = 0.5;

impl Schedule {
    /// Generates the schedule of a plan; all arrival rates are multiplied by `rate_factor`.
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
    // Arrivals per second at which this kind alone would use the whole capacity.
    let full_rate = plan.capacity() / mean_seconds;
    let end_s = length.as_secs_f64();
    let mut arrivals = Vec::new();
    // Thinning: candidates arrive at the rate of the peak load, and each is kept with the
    // probability of the present load over the peak load.
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
