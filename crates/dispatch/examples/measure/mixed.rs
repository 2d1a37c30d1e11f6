//! Waiting times of short tasks that share targets with long ones.

use std::collections::BTreeMap;
use std::time::Duration;

use greengage_core::{TargetName, Time};
use greengage_dispatch::{Event, Tuning};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::model::{self, Arrival};

const SHORT_TASK: Duration = Duration::from_millis(20);
const DURATION_S: f64 = 30.0;
const SLOTS: f64 = 400.0;

/// Offered load of short and of long work, relative to the capacity.
const LOADS: [(f64, f64); 2] = [(0.2, 0.9), (0.4, 0.7)];

fn arrivals(seed: u64, short: f64, long: f64) -> Vec<Arrival> {
    // Two generators, so that the short work is the same with and without long work.
    let mut arrivals = Vec::new();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = 0.0;
    while at < DURATION_S {
        let tasks = rng.random_range(1..=8);
        arrivals.push(Arrival {
            at: Time((at * 1e6) as u64),
            account: "desk",
            work: "short",
            declared: SHORT_TASK,
            service: vec![SHORT_TASK; tasks],
            deadline: Duration::from_secs(5),
        });
        let seconds = tasks as f64 * SHORT_TASK.as_secs_f64();
        at += model::exponential(&mut rng, seconds / (SLOTS * short));
    }
    let mut rng = StdRng::seed_from_u64(seed + 1_000_000);
    let mut at = 0.0;
    while at < DURATION_S && long > 0.0 {
        let service: Vec<Duration> = (0..rng.random_range(1..=8))
            .map(|_| Duration::from_millis(rng.random_range(1000..=5000)))
            .collect();
        let seconds: f64 = service.iter().map(Duration::as_secs_f64).sum();
        arrivals.push(Arrival {
            at: Time((at * 1e6) as u64),
            account: "batch",
            work: "long",
            declared: Duration::from_secs(3),
            service,
            deadline: Duration::from_secs(30),
        });
        at += model::exponential(&mut rng, seconds / (SLOTS * long));
    }
    arrivals.sort_by_key(|a| a.at);
    arrivals
}

/// The p99 of the time from arrival to start of short tasks in milliseconds, the share of short
/// tasks that started, and that of long ones.
fn waits(tuning: &Tuning, seed: u64, short: f64, long: f64) -> (f64, f64, f64) {
    let arrivals = arrivals(seed, short, long);
    let mut setup = Vec::new();
    let mut time_factors = BTreeMap::new();
    for t in 0..50 {
        let target = format!("t{t}");
        time_factors.insert(TargetName::new(&target).unwrap(), 1.0);
        setup.push(Event::TargetAnnounced(model::executor(
            &target,
            &["short", "long"],
        )));
    }
    let outcomes = model::run(tuning.clone(), seed, setup, &time_factors, &arrivals);
    let mut waits: Vec<u64> = Vec::new();
    let (mut started, mut asked) = ([0.0, 0.0], [0.0, 0.0]);
    for (arrival, outcome) in arrivals.iter().zip(&outcomes) {
        let kind = usize::from(arrival.work == "long");
        asked[kind] += arrival.service.len() as f64;
        started[kind] += outcome.starts.len() as f64;
        if kind == 0 {
            waits.extend(
                outcome
                    .starts
                    .iter()
                    .map(|t| t.since(arrival.at).as_micros() as u64),
            );
            // A task that never started waited at least until its deadline.
            let missing = arrival.service.len() - outcome.starts.len();
            waits.extend(vec![arrival.deadline.as_micros() as u64; missing]);
        }
    }
    waits.sort_unstable();
    let p99 = waits[waits.len() * 99 / 100] as f64 / 1000.0;
    (p99, started[0] / asked[0], started[1] / asked[1].max(1.0))
}

pub(crate) fn run() {
    for (short, long) in LOADS {
        println!("mixed, short {short}, long {long}: p99 over that without long | ms | started");
        for (name, tuning) in crate::tunings() {
            let (mut ratios, mut p99s, mut shorts, mut longs) = (vec![], vec![], vec![], vec![]);
            for seed in crate::seeds() {
                let (alone, ..) = waits(&tuning, seed, short, 0.0);
                let (p99, s, l) = waits(&tuning, seed, short, long);
                ratios.push(p99 / alone);
                p99s.push(p99);
                shorts.push(s);
                longs.push(l);
            }
            println!(
                "{name:20} {} | {} | short {} long {}",
                crate::spread(&ratios),
                crate::spread(&p99s),
                crate::spread(&shorts),
                crate::spread(&longs)
            );
        }
    }
}
