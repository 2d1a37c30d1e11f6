//! Load peak: the offered load rises within seconds to twice the capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use greengage_core::{AccountName, TargetName, TemplateName, Time};
use greengage_dispatch::{Event, Share};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::model::{self, Arrival, Outcome};

const DEADLINE: Duration = Duration::from_secs(2);
const WORKS: [(&str, u64); 4] = [("w50", 50), ("w150", 150), ("w400", 400), ("w1000", 1000)];
const ACCOUNTS: [(&str, u32); 3] = [("one", 1), ("two", 2), ("four", 4)];

/// Start and end of the load peak, in seconds.
const CREST_S: (f64, f64) = (6.0, 21.0);
const ARRIVALS_END_S: f64 = 25.0;

/// The end of the first phase, in which the offered load is half of the capacity.
const HALF_LOAD_UNTIL: Time = Time(3_000_000);

fn load(at: f64) -> f64 {
    match at {
        ..3.0 => 0.5,
        3.0..6.0 => 0.5 + (at - 3.0) / 2.0,
        6.0..21.0 => 2.0,
        _ => 0.5,
    }
}

fn arrivals(rng: &mut StdRng, capacity: f64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    while at < ARRIVALS_END_S {
        let (work, millis) = WORKS[rng.random_range(0..WORKS.len())];
        // Jobs with longer tasks have fewer of them, like work divided into parallel parts.
        let most = if millis > 200 { 8 } else { 24 };
        let tasks = rng.random_range(1..=most);
        let service: Vec<Duration> = (0..tasks)
            .map(|_| {
                let straggles = rng.random_bool(0.01);
                let factor = rng.random_range(0.7..1.3) * if straggles { 10.0 } else { 1.0 };
                Duration::from_millis(millis).mul_f64(factor)
            })
            .collect();
        let seconds: f64 = service.iter().map(Duration::as_secs_f64).sum();
        arrivals.push(Arrival {
            at: Time((at * 1e6) as u64),
            account: ACCOUNTS[rng.random_range(0..ACCOUNTS.len())].0,
            work,
            declared: Duration::from_millis(millis),
            service,
            deadline: DEADLINE,
        });
        at += model::exponential(rng, seconds / (capacity * load(at)));
    }
    arrivals
}

/// Of the jobs that arrive in the load peak: the share completed in time, Jain's fairness index of
/// completed work over weights, the share refused, and the share accepted but not completed in
/// time.
fn figures(arrivals: &[Arrival], outcomes: &[Outcome]) -> [f64; 4] {
    let (mut all, mut answered, mut refused) = (0.0, 0.0, 0.0);
    let mut work: BTreeMap<&str, f64> = BTreeMap::new();
    for (arrival, outcome) in arrivals.iter().zip(outcomes) {
        let at = arrival.at.0 as f64 / 1e6;
        if at < CREST_S.0 || at >= CREST_S.1 {
            continue;
        }
        all += 1.0;
        refused += f64::from(u8::from(outcome.refused));
        if outcome.complete.is_some_and(|t| t <= arrival.at + DEADLINE) {
            answered += 1.0;
            let seconds = arrival.service.iter().map(Duration::as_secs_f64);
            *work.entry(arrival.account).or_default() += seconds.sum::<f64>();
        }
    }
    let shares = ACCOUNTS.map(|(a, w)| work.get(a).copied().unwrap_or(0.0) / f64::from(w));
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|s| s * s).sum();
    let jain = sum * sum / (shares.len() as f64 * squares);
    let missed = all - answered - refused;
    [answered / all, jain, refused / all, missed / all]
}

/// Median ratio of the response time to the ideal one, for jobs that arrive at half load.
fn response(arrivals: &[Arrival], outcomes: &[Outcome]) -> f64 {
    let jobs = arrivals
        .iter()
        .zip(outcomes)
        .filter(|(a, _)| a.at < HALF_LOAD_UNTIL);
    let mut ratios: Vec<f64> = jobs
        .filter_map(|(arrival, outcome)| {
            let ideal = *arrival.service.iter().max()? + model::ROUND_TRIP;
            let took = outcome.complete?.since(arrival.at);
            Some(took.as_secs_f64() / ideal.as_secs_f64())
        })
        .collect();
    ratios.sort_unstable_by(f64::total_cmp);
    ratios[ratios.len() / 2]
}

pub(crate) fn run() {
    println!(
        "crest: in 2 s | over baseline | fairness | refused | missed | half-load response ratio"
    );
    let mut baseline = Vec::new();
    for (name, tuning) in crate::tunings() {
        let (mut shares, mut fair, mut ratios) = (vec![], vec![], vec![]);
        let (mut refused, mut missed, mut responses) = (vec![], vec![], vec![]);
        for (n, seed) in crate::seeds().into_iter().enumerate() {
            let mut rng = StdRng::seed_from_u64(seed);
            let works = WORKS.map(|w| w.0);
            let mut setup = Vec::new();
            let mut time_factors = BTreeMap::new();
            let mut capacity = 0.0;
            for t in 0..50 {
                let target = format!("t{t}");
                let factor: f64 = rng.random_range(-1.0f64..1.0).exp2();
                capacity += 8.0 / factor;
                time_factors.insert(TargetName::new(&target).unwrap(), factor);
                setup.push(Event::TargetAnnounced(model::executor(&target, &works)));
            }
            for (account, weight) in ACCOUNTS {
                setup.extend(works.map(|work| Event::SetShare {
                    work: TemplateName::new(work).unwrap(),
                    account: AccountName::new(account).unwrap(),
                    share: Share {
                        weight,
                        quota: u32::MAX,
                        concurrency: u32::MAX,
                        burst: 0,
                    },
                }));
            }
            let arrivals = arrivals(&mut rng, capacity);
            let outcomes = model::run(tuning.clone(), seed, setup, &time_factors, &arrivals);
            let [share, jain, refusal, miss] = figures(&arrivals, &outcomes);
            if name == "baseline" {
                baseline.push(share);
            }
            ratios.push(share / baseline[n]);
            shares.push(share);
            fair.push(jain);
            refused.push(refusal);
            missed.push(miss);
            responses.push(response(&arrivals, &outcomes));
        }
        println!(
            "{name:20} {} | {} | {} | {} | {} | {}",
            crate::spread(&shares),
            crate::spread(&ratios),
            crate::spread(&fair),
            crate::spread(&refused),
            crate::spread(&missed),
            crate::spread(&responses)
        );
    }
}
