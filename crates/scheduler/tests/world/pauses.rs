//! Entry VMs that are paused, or late, while their callers leave and submit their jobs elsewhere.

use std::time::Duration;

use crate::faults::env_number;
use crate::support::Simulation;

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 40;
/// Number of callers of the paused VM.
const CALLERS: usize = 4;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn assert_no_duplicates(sim: &Simulation, seed: u64) {
    assert!(
        sim.duplicates.is_empty(),
        "seed {seed}: {:?}",
        sim.duplicates
    );
}

fn run_for(sim: &mut Simulation, shortest_ms: u64, spread_ms: u64) {
    let span = millis(shortest_ms + sim.rng.below(spread_ms));
    sim.run(span);
}

/// A simulation in which the callers of VM 0 leave it while it is paused, and have submitted their
/// jobs elsewhere.
fn simulation_with_abandoned_jobs(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 3, 9);
    sim.caller_timeout = Some(30 * SECOND);
    for _ in 0..CALLERS {
        sim.submit(0, 1, vec![3 * SECOND; 2]);
    }
    sim.run(millis(400));
    sim.vms[0].paused = true;
    sim.run(millis(50));
    (0..CALLERS).for_each(|caller| sim.close_caller(caller));
    run_for(&mut sim, 1600, 600);
    sim
}

/// Guards against a paused VM that starts the tasks of its jobs again although their callers have
/// left meanwhile.
#[test]
fn resumed_vm_starts_nothing_for_callers_that_have_left() {
    for seed in 0..SEEDS {
        let mut sim = simulation_with_abandoned_jobs(seed);
        sim.resume_vm(0);
        sim.run(4 * SECOND);
        assert_no_duplicates(&sim, seed);
    }
}

/// Guards against the same if the VM is lost before it learns that its callers have left, so that
/// nothing stops its runs.
#[test]
fn vm_lost_after_a_pause_leaves_no_runs_for_callers_that_have_left() {
    for seed in 0..SEEDS {
        let mut sim = simulation_with_abandoned_jobs(seed);
        sim.vms[0].drop_caller_events();
        sim.resume_vm(0);
        run_for(&mut sim, 0, 30);
        sim.kill_vm(0);
        sim.run(4 * SECOND);
        assert_no_duplicates(&sim, seed);
    }
}

/// Guards against a job that waits in the socket of a paused VM and is started after its caller has
/// given up and submitted it elsewhere.
#[test]
fn submission_read_after_a_pause_starts_nothing_for_a_caller_that_has_left() {
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(seed, 3, 9);
        sim.caller_timeout = Some(millis(1500));
        run_for(&mut sim, 0, 300);
        sim.vms[0].paused = true;
        for _ in 0..CALLERS {
            sim.submit(0, 2, vec![millis(400); 2]);
        }
        sim.run(millis(1500));
        (0..CALLERS).for_each(|caller| sim.close_caller(caller));
        run_for(&mut sim, 1350, 100);
        sim.resume_vm(0);
        sim.run(4 * SECOND);
        assert_no_duplicates(&sim, seed);
    }
}

/// Guards against tasks of other VMs whose starts extend the lease of runs of callers that have left.
#[test]
fn starts_for_other_vms_renew_no_run_while_callers_are_unknown() {
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(seed, 3, 9);
        sim.caller_timeout = Some(30 * SECOND);
        sim.submit(0, 1, vec![5 * SECOND; 3]);
        sim.run(millis(400));
        sim.pause_listener(0, 3 * SECOND);
        sim.close_caller(0);
        for _ in 0..30 {
            sim.submit(1, 0, vec![millis(150); 8]);
            sim.run(millis(100));
        }
        sim.run(6 * SECOND);
        assert_no_duplicates(&sim, seed);
    }
}

/// Guards against a VM that resumes and renews offloaded runs whose time is over, since it hasn't sent
/// their stops yet, of which the first ones are lost.
#[test]
fn resumed_vm_renews_no_offloaded_run_whose_time_is_over() {
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(seed, 3, 9);
        sim.caller_timeout = Some(30 * SECOND);
        sim.late_order_delay = SECOND;
        sim.submit(0, 1, vec![20 * SECOND; 6]);
        sim.run(millis(50));
        for _ in 0..3 {
            sim.submit(0, 1, vec![5 * SECOND]);
        }
        sim.run(millis(400));
        sim.vms[0].paused = true;
        let left = sim.now;
        (0..4).for_each(|caller| sim.close_caller(caller));
        run_for(&mut sim, 150, 250);
        (1..3).for_each(|vm| sim.vms[vm].paused = true);
        run_for(&mut sim, 400, 200);
        sim.targets.iter_mut().for_each(|t| t.late_stops = true);
        (1..3).for_each(|vm| sim.resume_vm(vm));
        for _ in 0..10 {
            for vm in 1..3 {
                sim.submit(vm, 0, vec![millis(20); 3]);
            }
            sim.run(millis(10));
        }
        let rest = millis(1280) - sim.now.since(left);
        sim.run(rest);
        sim.targets.iter_mut().for_each(|t| t.late_stops = false);
        sim.run(4 * SECOND);
        assert_no_duplicates(&sim, seed);
    }
}

/// Guards against a job that goes on for an earlier request of its caller, whose end the VM hasn't
/// noticed, although the latest request has ended.
#[test]
fn resubmitted_job_ends_with_its_latest_request() {
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(seed, 3, 9);
        sim.caller_timeout = Some(30 * SECOND);
        sim.submit(0, 1, vec![6 * SECOND; 2]);
        sim.run(millis(400));
        // The end of the first connection never arrives.
        sim.submit_now(0);
        sim.run(millis(400));
        sim.requests[0].closed = true;
        sim.close_caller(0);
        sim.run(4 * SECOND);
        assert_no_duplicates(&sim, seed);
    }
}

/// Guards against duplicate runs when VMs are paused, resumed and killed at random while callers leave
/// them and links between VMs hold messages. `GREENGAGE_SEED` and `GREENGAGE_CASES` choose the cases.
#[test]
fn survives_random_pauses_and_callers_that_leave() {
    let first = env_number("GREENGAGE_SEED", 1);
    for seed in first..first + env_number("GREENGAGE_CASES", 30) {
        println!("GREENGAGE_SEED={seed} GREENGAGE_CASES=1");
        let mut sim = Simulation::new(seed, 4, 12);
        sim.resubmit_timeouts = true;
        for _ in 0..60 {
            play_random_pause(&mut sim);
        }
        sim.held_links.clear();
        for vm in 0..4 {
            sim.resume_vm(vm);
            sim.restart_vm(vm);
        }
        sim.run(10 * SECOND);
        assert_no_duplicates(&sim, seed);
        assert!(
            sim.late_offloads.is_empty(),
            "seed {seed}: {:?}",
            sim.late_offloads
        );
    }
}

/// Injects a fault, lets some callers leave and submits new jobs.
fn play_random_pause(sim: &mut Simulation) {
    let vm = sim.rng.below(4) as usize;
    match sim.rng.below(8) {
        0 if sim.vms.iter().filter(|v| v.up).count() > 2 => sim.kill_vm(vm),
        1 => sim.restart_vm(vm),
        2 | 3 => sim.vms[vm].paused = sim.vms[vm].up,
        4 => {
            let other = sim.rng.below(4) as usize;
            let span = millis(500 + sim.rng.below(2000));
            sim.hold_link(vm, other, span);
        }
        _ => sim.resume_vm(vm),
    }
    for _ in 0..2 {
        let caller = sim
            .callers
            .len()
            .saturating_sub(1 + sim.rng.below(8) as usize);
        if caller < sim.callers.len() && sim.rng.chance(40) {
            sim.close_caller(caller);
        }
    }
    for _ in 0..2 {
        let (vm, queue) = (sim.rng.below(4) as usize, sim.rng.below(3) as usize);
        let work = millis([50, 700, 1500][queue]);
        let tasks = 1 + sim.rng.below(4);
        let work = (0..tasks).map(|_| work.mul_f64(sim.rng.spread(40)));
        let work = work.collect();
        sim.submit(vm, queue, work);
    }
    run_for(sim, 0, 300);
}

/// Guards against duplicate runs when listeners are late, stops are lost and targets lose their holds
/// besides.
#[test]
fn survives_random_pauses_of_listeners_and_lost_stops() {
    let first = env_number("GREENGAGE_SEED", 1);
    for seed in first..first + env_number("GREENGAGE_CASES", 30) {
        println!("GREENGAGE_SEED={seed} GREENGAGE_CASES=1");
        let mut sim = Simulation::new(seed, 4, 12);
        sim.resubmit_timeouts = true;
        for _ in 0..60 {
            let (vm, target) = (sim.rng.below(4) as usize, sim.rng.below(12) as usize);
            match sim.rng.below(4) {
                0 => {
                    let span = millis(sim.rng.below(2000));
                    sim.pause_listener(vm, span);
                }
                1 => sim.targets[target].late_stops ^= true,
                2 => sim.targets[target].lost_holds = sim.rng.below(3) as u32,
                _ => {}
            }
            play_random_pause(&mut sim);
        }
        sim.held_links.clear();
        sim.targets.iter_mut().for_each(|t| t.late_stops = false);
        for vm in 0..4 {
            sim.resume_vm(vm);
            sim.restart_vm(vm);
        }
        sim.run(10 * SECOND);
        assert_no_duplicates(&sim, seed);
    }
}

/// Guards against renewals that keep offloaded runs going although the listener of their VM is late and
/// their callers have left.
#[test]
fn offloaded_runs_end_while_callers_are_unknown() {
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(seed, 3, 9);
        sim.caller_timeout = Some(30 * SECOND);
        sim.submit(0, 1, vec![20 * SECOND; 6]);
        sim.run(millis(50));
        for _ in 0..3 {
            sim.submit(0, 1, vec![5 * SECOND]);
        }
        sim.run(millis(400));
        sim.pause_listener(0, 3 * SECOND);
        (1..4).for_each(|caller| sim.close_caller(caller));
        sim.run(6 * SECOND);
        assert_no_duplicates(&sim, seed);
    }
}
