//! Entry VMs that are paused while their callers leave and submit the jobs elsewhere.
//! `GREENGAGE_SEED` is the first seed, `GREENGAGE_CASES` the number of plays with consecutive seeds.

use std::path::Path;

use greengage_soak::{pause_entry_vms, PauseCase};

fn env_or(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(text) => text.parse().expect("a number"),
        Err(_) => default,
    }
}

fn play_seeds(case: PauseCase) {
    let first = env_or("GREENGAGE_SEED", 1);
    for seed in first..first + env_or("GREENGAGE_CASES", 1) {
        let program = Path::new(env!("CARGO_BIN_EXE_greengageproxy"));
        let report = pause_entry_vms(program, seed, case).expect("the scenario runs");
        println!(
            "{case:?}, seed {seed}: {} jobs left a paused VM, {} completed",
            report.left_jobs, report.completed
        );
        assert!(
            report.left_jobs > 0,
            "{case:?}, seed {seed}: no caller left"
        );
        assert!(
            report.violations.is_empty(),
            "{case:?}, seed {seed}, logs in {:?}: {:#?}",
            report.folder,
            report.violations
        );
    }
}

/// Guards against a resumed VM that starts tasks again of callers that have left meanwhile.
#[test]
fn resumed_vm_runs_no_task_of_callers_that_have_left() {
    play_seeds(PauseCase::RunningJobs);
}

/// Guards against the same if the VM is killed before it can stop the tasks.
#[test]
fn vm_killed_after_a_pause_leaves_no_run_for_callers_that_have_left() {
    play_seeds(PauseCase::KilledAfter);
}

/// Guards against a resumed VM that takes submissions whose callers have given up meanwhile.
#[test]
fn submissions_unread_until_callers_have_left_run_no_task() {
    play_seeds(PauseCase::UnreadSubmissions);
}
