//! Measures the dispatcher: `measure speed` for decisions per second, memory and cancellations,
//! `measure crest` and `measure mixed` for policies against the same arrivals.
//!
//! The model of arrivals and service is only a harness for this state machine. Seeds start at
//! `GREENGAGE_SEED` (1) and `GREENGAGE_CASES` (5) of them are run.

mod crest;
mod mixed;
mod model;
mod speed;

use greengage_dispatch::{Placement, Tuning};

fn env_number(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(text) => text
            .parse()
            .unwrap_or_else(|_| panic!("{name} is not a number: {text}")),
        Err(_) => default,
    }
}

fn seeds() -> Vec<u64> {
    let first = env_number("GREENGAGE_SEED", 1);
    (first..first + env_number("GREENGAGE_CASES", 5)).collect()
}

/// The baseline, the chosen tuning, and the chosen tuning without each of its rules.
fn tunings() -> Vec<(&'static str, Tuning)> {
    let chosen = Tuning::default();
    let with = |change: fn(&mut Tuning)| {
        let mut tuning = chosen.clone();
        change(&mut tuning);
        tuning
    };
    vec![
        ("baseline", Tuning::baseline()),
        ("chosen", chosen.clone()),
        (
            "random placement",
            with(|t| t.placement = Placement::Random),
        ),
        ("no fair shares", with(|t| t.fair_share = false)),
        ("not shortest first", with(|t| t.shortest_first = false)),
        ("no reserve", with(|t| t.reserve_percent = 0)),
        ("no admission", with(|t| t.refuse_late = false)),
    ]
}

/// Mean, least and largest value.
fn spread(values: &[f64]) -> String {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{mean:6.3} ({least:.3} to {most:.3})")
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("speed") => speed::run(seeds()[0]),
        Some("crest") => crest::run(),
        Some("mixed") => mixed::run(),
        _ => eprintln!("name a measurement: speed, crest or mixed"),
    }
}
