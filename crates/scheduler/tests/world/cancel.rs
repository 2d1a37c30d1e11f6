//! Tests of jobs that are cancelled while they run.

use std::time::Duration;

use greengage_scheduler::{JobKey, Reply};

use crate::support::{MessageKind, Simulation};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn cancel(sim: &mut Simulation, vm: usize, caller: usize) {
    let caller = &sim.callers[caller];
    let job = JobKey {
        host: "h".into(),
        path: format!("/q{}/{}", caller.queue, caller.id).into(),
    };
    let effects = sim.vms[vm].scheduler.cancel(sim.now, &job, sim.now);
    assert!(sim.vms[vm].scheduler.holds(sim.now, &job));
    for effect in effects {
        sim.effect(vm, effect);
    }
}

/// A simulation in which VM 0 has a job of more tasks than its zone's targets can run at a time.
fn running_job(seed: u64) -> (Simulation, usize) {
    let mut sim = Simulation::new(seed, 3, 9);
    sim.caller_timeout = Some(Duration::from_secs(30));
    let caller = sim.submit(0, 1, vec![millis(1000); 24]);
    sim.run(millis(300));
    let runs: usize = sim.targets.iter().map(|t| t.runs.len()).sum();
    assert!(
        (7..24).contains(&runs),
        "seed {seed}: some tasks are offloaded, and some wait: {runs}"
    );
    (sim, caller)
}

fn starts(sim: &Simulation) -> u64 {
    sim.targets.iter().map(|target| target.starts).sum()
}

/// Starts that were on their way when the job was cancelled arrive before the stops.
fn check_cancelled(sim: &mut Simulation, seed: u64, limit: Duration) {
    sim.run(limit);
    let running: usize = sim.targets.iter().map(|t| t.runs.len()).sum();
    assert_eq!(running, 0, "seed {seed}");
    let before = starts(sim);
    sim.run(Duration::from_secs(5));
    assert_eq!(starts(sim), before, "seed {seed}: a task was started later");
}

/// Guards against a job that runs on, or whose caller waits, after it was cancelled.
#[test]
fn cancelled_job_ends_at_once() {
    for seed in 0..20 {
        let (mut sim, caller) = running_job(seed);
        cancel(&mut sim, 0, caller);
        let answer = sim.callers[caller].answer.clone();
        assert_eq!(answer, Some((sim.now, Reply::Cancelled)), "seed {seed}");
        // Trips to the other VM and to the target, and the time that a stop takes.
        check_cancelled(&mut sim, seed, millis(2 + 3 + 50 + 20));
        assert_eq!(sim.answer_faults(), [""; 0]);
    }
}

/// Guards against offloaded runs of a cancelled job that go on because the message that stops them was
/// lost.
#[test]
fn cancelled_job_ends_although_a_stop_is_lost() {
    for seed in 0..20 {
        let (mut sim, caller) = running_job(seed);
        sim.lost_messages = Some((MessageKind::Stop, 10));
        cancel(&mut sim, 0, caller);
        // The next renewal, besides.
        check_cancelled(&mut sim, seed, millis(120 + 2 + 3 + 50 + 20));
    }
}

/// Guards against a cancelled job that is run because a copy of its submission arrives late.
#[test]
fn late_submission_of_a_cancelled_job_is_not_run() {
    for (seed, pause) in [(0, 0), (1, 1300), (2, 10_000), (3, 59_000)] {
        let (mut sim, caller) = running_job(seed);
        cancel(&mut sim, 0, caller);
        sim.run(millis(pause));
        sim.callers[caller].answer = None;
        let before = starts(&sim);
        sim.submit_now(caller);
        sim.run(millis(500));
        let answer = sim.callers[caller].answer.as_ref().map(|(_, reply)| reply);
        assert_eq!(answer, Some(&Reply::Cancelled), "after {pause} ms");
        let started = starts(&sim) - before;
        assert_eq!(started, 0, "after {pause} ms");
    }
}

/// Guards against memory that grows with the cancelled jobs, and against a later one that is forgotten
/// for an earlier one.
#[test]
fn the_latest_cancelled_jobs_are_kept() {
    let mut sim = Simulation::new(1, 1, 1);
    let scheduler = &mut sim.vms[0].scheduler;
    let key = |i: u64| JobKey {
        host: "h".into(),
        path: format!("/q0/{i}").into(),
    };
    let count = 10_000;
    for i in 0..count {
        let at = sim.now + millis(i / 100);
        scheduler.cancel(at, &key(i), at);
    }
    let now = sim.now + millis(count / 100);
    let kept = scheduler.cancelled(now);
    assert_eq!(kept, 4096, "the documented bound");
    assert!(scheduler.is_cancelled(now, &key(count - 1)));
    assert!(!scheduler.is_cancelled(now, &key(0)));
    let later = now + Duration::from_secs(61);
    assert_eq!(scheduler.cancelled(later), 0, "they expire");
}
