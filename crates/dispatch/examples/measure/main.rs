//! Measurements of the dispatcher. `measure speed` gives decisions per second, memory and the cost
//! of cancellations; `measure crest` and `measure mixed` compare policies on the same arrivals.
//!
//! Arrivals and service times are simulated. `GREENGAGE_SEED` sets the first seed (default 1) and
//! `GREENGAGE_CASES` the number of seeds (default 5).

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

/// The baseline, the default tuning, and the default tuning without each one of its rules.
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

/// Formats the mean, lowest and highest value.
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
        _ => eprintln!("usage: measure speed|crest|mixed"),
    }
}
