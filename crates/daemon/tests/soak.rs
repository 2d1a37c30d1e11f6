//! The fault soak. A run is chosen by `GREENGAGE_SEED`, the number of runs by `GREENGAGE_CASES` and
//! the seconds with faults of each by `GREENGAGE_SPAN`.

use std::time::Duration;

use greengage_soak::{run, Plan};

fn env(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(text) => text.parse().expect("a number"),
        Err(_) => default,
    }
}

/// Guards against promises that are broken by real processes under faults that overlap: tasks that
/// run twice or that nobody submitted, false refusals, lost configurations, callers without an
/// answer, shutdowns that don't end, and service that doesn't return.
#[test]
fn promises_hold_under_overlapping_faults() {
    let first = env("GREENGAGE_SEED", 1);
    let span = Duration::from_secs(env("GREENGAGE_SPAN", 12));
    for seed in first..first + env("GREENGAGE_CASES", 1) {
        let plan = Plan {
            program: env!("CARGO_BIN_EXE_greengageproxy").into(),
            seed,
            span,
        };
        let summary = run(&plan).expect("the run can be played");
        println!(
            "seed {seed}: {} completed, {} refused, {} other, {} starts",
            summary.completed, summary.refused, summary.other, summary.starts
        );
        assert!(
            summary.violations.is_empty(),
            "seed {seed}, logs in {:?}: {:#?}",
            summary.folder,
            summary.violations
        );
    }
}
