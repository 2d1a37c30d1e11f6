//! Targets that are said to have left while their runs go on.

use std::time::Duration;

use greengage_scheduler::Reply;

use crate::support::Simulation;

const SECOND: Duration = Duration::from_secs(1);
/// How long a caller waits.
const PATIENCE: Duration = Duration::from_secs(30);
/// How long the runs of a target that has ended may count as running: the longest lease of a run,
/// with what is added for the target's clock, and two reviews of 20 ms.
const LEASE_BOUND: Duration = Duration::from_millis(760);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A simulation in which one task of 3 s runs, and the index of its target.
fn busy_simulation(seed: u64) -> (Simulation, usize) {
    busy_simulation_for(seed, 3 * SECOND)
}

/// The same with a task of another length.
fn busy_simulation_for(seed: u64, work: Duration) -> (Simulation, usize) {
    let mut sim = Simulation::new(seed, 3, 9);
    sim.caller_timeout = Some(PATIENCE);
    sim.submit(0, 1, vec![work]);
    sim.run(millis(500));
    let busy = sim.busy_target();
    (sim, busy)
}

/// Submits jobs for 2 s that use all targets.
fn submit_short_jobs(sim: &mut Simulation) {
    for _ in 0..20 {
        sim.submit(0, 0, vec![millis(50); 8]);
        sim.run(millis(100));
    }
}

fn assert_completed(sim: &Simulation, seed: u64) {
    assert!(
        sim.duplicates.is_empty(),
        "seed {seed}: {:?}",
        sim.duplicates
    );
    let answer = sim.callers[0].answer.as_ref().map(|(_, reply)| reply);
    assert_eq!(answer, Some(&Reply::Completed), "seed {seed}");
}

/// Guards against a second run of a task whose target gives notice of departure and goes on.
#[test]
fn run_on_a_departing_target_goes_on_while_the_target_answers() {
    for seed in 0..10 {
        let (mut sim, busy) = busy_simulation(seed);
        sim.announce_departure(busy);
        sim.run(2 * SECOND);
        assert!(sim.duplicates.is_empty(), "seed {seed}");
        assert_eq!(sim.total_starts(), 1, "seed {seed}: starts");
        sim.run(10 * SECOND);
        assert_completed(&sim, seed);
        assert_eq!(sim.total_starts(), 1, "seed {seed}: starts");
    }
}

/// Guards against a task that is lost with its target, and a departed target that stays known.
#[test]
fn task_on_a_departed_target_starts_elsewhere_after_the_lease() {
    for seed in 0..10 {
        let (mut sim, busy) = busy_simulation(seed);
        sim.announce_departure(busy);
        sim.run(millis(2));
        sim.crash_target(busy);
        sim.run(LEASE_BOUND);
        assert_eq!(sim.total_starts(), 2, "seed {seed}: starts");
        for vm in &sim.vms {
            assert_eq!(vm.scheduler.known(), 8, "seed {seed}: targets");
        }
        sim.run(10 * SECOND);
        assert_completed(&sim, seed);
    }
}

/// Guards against tasks that are started on a target after its notice of departure.
#[test]
fn departing_target_gets_no_further_tasks() {
    for seed in 0..10 {
        let (mut sim, busy) = busy_simulation(seed);
        sim.announce_departure(busy);
        sim.run(millis(3));
        let starts = sim.targets[busy].starts;
        submit_short_jobs(&mut sim);
        assert_eq!(sim.targets[busy].starts, starts, "seed {seed}");
    }
}

/// Sends a report in which another target gives the address of the busy one as its own.
fn report_other_at(sim: &mut Simulation, busy: usize, service: &str) {
    let other = (busy + 1) % sim.targets.len();
    sim.targets[other].disconnected = true;
    let mut report = sim.target_report(other);
    report.service = service.into();
    report.address = sim.target_report(busy).address;
    report.incarnation.0 += 1;
    sim.broadcast_report(&report);
}

/// Guards against a second run of a task while another target reports its target's address.
#[test]
fn run_on_a_replaced_target_goes_on_while_the_target_answers() {
    for seed in 0..10 {
        let (mut sim, busy) = busy_simulation(seed);
        report_other_at(&mut sim, busy, "s");
        sim.run(10 * SECOND);
        assert_completed(&sim, seed);
        assert_eq!(sim.total_starts(), 1, "seed {seed}: starts");
    }
}

/// Guards against a live target that is given up for a foreign report of its address.
#[test]
fn report_for_an_unknown_service_takes_no_target_out_of_use() {
    for seed in 0..10 {
        let (mut sim, busy) = busy_simulation(seed);
        report_other_at(&mut sim, busy, "other");
        sim.run(millis(3));
        let starts = sim.targets[busy].starts;
        submit_short_jobs(&mut sim);
        assert!(sim.targets[busy].starts > starts, "seed {seed}: in use");
        sim.run(10 * SECOND);
        assert_completed(&sim, seed);
    }
}

/// Guards against a second run of a task whose target answers but doesn't report for 8 s and more.
#[test]
fn run_on_a_target_that_stops_reporting_goes_on() {
    for seed in 0..10 {
        let (mut sim, busy) = busy_simulation_for(seed, 12 * SECOND);
        sim.targets[busy].unreported = true;
        sim.run(25 * SECOND);
        assert_completed(&sim, seed);
        assert_eq!(sim.total_starts(), 1, "seed {seed}: starts");
    }
}
