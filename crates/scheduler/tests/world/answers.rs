//! Tests of the answers to callers when connections between VMs, or of callers, are replaced.

use std::time::Duration;

use greengage_scheduler::Reply;

use crate::callers::Caller;
use crate::faults::env_number;
use crate::support::{MessageKind, Simulation};

const SECOND: Duration = Duration::from_secs(1);
/// How long a patient caller waits.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time after the last fault within which all jobs end: the longest task takes about 2.5 s on a
/// slow target and may have to run twice, and a silent target is removed after 8 s.
const SETTLE_TIME: Duration = Duration::from_secs(12);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Submits jobs of patient callers to VM 0, which has targets for a part of their tasks only, and
/// loses the first message of a kind. Returns the simulation 2 s later.
fn lose_message(seed: u64, kind: MessageKind) -> Simulation {
    let mut sim = Simulation::new(seed, 3, 9);
    sim.caller_timeout = Some(PATIENCE);
    sim.lost_messages = Some((kind, 1));
    for _ in 0..2 {
        sim.submit(0, 0, vec![millis(200); 8]);
    }
    sim.run(2 * SECOND);
    assert_eq!(
        sim.lost_messages,
        Some((kind, 0)),
        "seed {seed}: the message was lost"
    );
    sim
}

fn is_completed(caller: &&Caller) -> bool {
    matches!(caller.answer, Some((_, Reply::Completed)))
}

/// Guards against jobs that wait until their caller gives up because an offloaded task never
/// reached the VM that should run it.
#[test]
fn task_of_a_lost_run_message_starts_elsewhere() {
    for seed in 0..20 {
        let sim = lose_message(seed, MessageKind::Run);
        let completed = sim.callers.iter().filter(is_completed).count();
        assert_eq!(completed, 2, "seed {seed}: {:?}", sim.callers);
        assert!(sim.duplicates.is_empty(), "{:?}", sim.duplicates);
    }
}

/// Guards against jobs that wait until their caller gives up, or tasks that run again, because the
/// outcome of an offloaded task was lost.
#[test]
fn lost_outcome_of_an_offloaded_task_is_repeated() {
    for seed in 0..20 {
        let sim = lose_message(seed, MessageKind::Ended);
        let completed = sim.callers.iter().filter(is_completed).count();
        assert_eq!(completed, 2, "seed {seed}: {:?}", sim.callers);
        let starts: u64 = sim.targets.iter().map(|t| t.starts).sum();
        assert_eq!(starts, 16, "seed {seed}: no task runs again");
    }
}

/// Guards against offloaded runs that continue when their caller submits the job again to another
/// VM, because the message that stops them was lost.
#[test]
fn offloaded_runs_of_a_lost_stop_message_end() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, 3, 9);
        sim.caller_timeout = Some(PATIENCE);
        let caller = sim.submit(0, 1, vec![millis(3000); 10]);
        sim.run(millis(300));
        sim.lost_messages = Some((MessageKind::Stop, 10));
        sim.close_caller(caller);
        sim.run(5 * SECOND);
        assert!(
            sim.duplicates.is_empty(),
            "seed {seed}: {:?}",
            sim.duplicates
        );
    }
}

/// Guards against offloaded runs whose lost stop isn't noticed with the next renewal, so that they
/// use resources until none has arrived for a while.
#[test]
fn lost_stop_of_an_offloaded_run_is_repaired_by_the_next_renewal() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, 3, 9);
        sim.caller_timeout = Some(PATIENCE);
        let caller = sim.submit(0, 1, vec![millis(3000); 10]);
        sim.run(millis(300));
        let running = |sim: &Simulation| sim.targets.iter().map(|t| t.runs.len()).sum::<usize>();
        assert!(running(&sim) > 6, "seed {seed}: some are offloaded");
        sim.lost_messages = Some((MessageKind::Stop, 10));
        sim.close_caller(caller);
        // The interval between renewals and ticks, and the trips of caller, VM and target.
        sim.run(millis(120 + 20 + 3 + 2 + 1));
        assert_ne!(sim.lost_messages, Some((MessageKind::Stop, 10)));
        assert_eq!(running(&sim), 0, "seed {seed}");
    }
}

/// Guards against a request that is forgotten because the job was submitted again over another
/// connection: each connection gets the job's answer.
#[test]
fn each_request_of_a_resubmitted_job_is_answered() {
    let mut sim = Simulation::new(6, 2, 6);
    let caller = sim.submit(0, 1, vec![millis(400); 2]);
    sim.run(millis(100));
    sim.submit_now(caller);
    sim.run(2 * SECOND);
    let answers: Vec<usize> = sim.requests.iter().map(|r| r.answers.len()).collect();
    assert_eq!(answers, [1, 1]);
    assert!(sim.callers.iter().all(|c| is_completed(&c)));
    assert!(sim.duplicates.is_empty(), "{:?}", sim.duplicates);
}

/// Guards against a job that ends with the first of its callers' connections, and against answers
/// after the time that each caller waits.
#[test]
fn resubmitted_job_lasts_as_long_as_a_caller_waits() {
    let mut sim = Simulation::new(6, 2, 6);
    for (first, second) in [(millis(500), 3 * SECOND), (3 * SECOND, millis(500))] {
        sim.caller_timeout = Some(first);
        let caller = sim.submit(0, 1, vec![millis(700)]);
        sim.run(millis(50));
        sim.callers[caller].timeout = second;
        sim.submit_now(caller);
        sim.run(4 * SECOND);
        let requests: Vec<_> = sim.requests.iter().filter(|r| r.caller == caller).collect();
        let replies: Vec<_> = requests.iter().map(|r| r.answers[0].1.clone()).collect();
        assert!(replies.contains(&Reply::Completed), "{replies:?}");
        assert!(replies.contains(&Reply::TimedOut), "{replies:?}");
        assert_eq!(sim.answer_faults(), [""; 0]);
    }
}

/// Guards against runs that continue when the connection of their caller has broken and the job is
/// submitted again to another VM.
#[test]
fn job_of_a_broken_connection_runs_again_elsewhere() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, 3, 9);
        sim.caller_timeout = Some(6 * SECOND);
        let caller = sim.submit(0, 1, vec![millis(900); 8]);
        sim.run(millis(300));
        sim.close_caller(caller);
        sim.run(5 * SECOND);
        assert!(is_completed(&&sim.callers[caller]), "seed {seed}");
        assert_eq!(sim.answer_faults(), [""; 0], "seed {seed}");
        assert!(sim.duplicates.is_empty(), "{:?}", sim.duplicates);
    }
}

/// Guards against jobs that wait until their caller gives up because messages reach the other VM in
/// one direction only: that VM doesn't count this one as live and runs none of its tasks.
#[test]
fn jobs_end_when_another_vm_receives_nothing() {
    for seed in 0..10 {
        let mut sim = Simulation::new(seed, 3, 9);
        sim.caller_timeout = Some(PATIENCE);
        sim.failing_links.push((0, 1, sim.now + PATIENCE));
        sim.run(millis(650));
        sim.ignored_peer = Some((1, 0));
        for _ in 0..20 {
            sim.submit(0, 0, vec![millis(100); 8]);
            sim.run(millis(200));
        }
        sim.run(2 * SECOND);
        let open = sim.callers.iter().filter(|c| c.answer.is_none()).count();
        assert_eq!(open, 0, "seed {seed}");
        let completed = sim.callers.iter().filter(is_completed).count();
        assert!(completed >= 15, "seed {seed}: {completed} of 20");
        assert!(sim.duplicates.is_empty(), "{:?}", sim.duplicates);
    }
}

/// Guards against requests without an answer, jobs that hang and tasks with two runs, under
/// connections between VMs that are replaced while both stay live, callers that submit again to
/// the same VM or to another one, VMs that leave or are killed, and patient callers.
/// `GREENGAGE_SEED` and `GREENGAGE_CASES` choose the cases.
#[test]
fn each_request_gets_one_answer_in_time() {
    let first = env_number("GREENGAGE_SEED", 1);
    for seed in first..first + env_number("GREENGAGE_CASES", 40) {
        println!("GREENGAGE_SEED={seed} GREENGAGE_CASES=1");
        let mut sim = Simulation::new(seed, 4, 12);
        sim.resubmit_timeouts = true;
        for _ in 0..60 {
            let (vm, other) = (sim.rng.below(4) as usize, sim.rng.below(4) as usize);
            match sim.rng.below(12) {
                0..=3 => {
                    sim.late_message_percent = [0, 30][sim.rng.below(2) as usize];
                    let until = sim.now + millis(50 + sim.rng.below(390));
                    sim.failing_links.push((vm, other, until));
                    if sim.rng.chance(50) {
                        sim.failing_links.push((other, vm, until));
                    }
                }
                4 if sim.vms.iter().filter(|v| v.up && !v.leaving).count() > 2 => {
                    sim.shut_down_vm(vm);
                }
                5 if sim.vms[vm].leaving => sim.kill_vm(vm),
                6 if sim.vms.iter().filter(|v| v.up && !v.leaving).count() > 2 => sim.kill_vm(vm),
                7 | 8 => sim.restart_vm(vm),
                _ => {}
            }
            for _ in 0..3 {
                let (vm, queue) = (sim.rng.below(4) as usize, sim.rng.below(3) as usize);
                sim.caller_timeout = sim.rng.chance(40).then_some(PATIENCE);
                let mean_ms = [50, 700, 170][queue];
                let tasks = 1 + sim.rng.below(8);
                let work = (0..tasks)
                    .map(|_| millis(mean_ms).mul_f64(sim.rng.spread(40)))
                    .collect();
                sim.submit(vm, queue, work);
            }
            let recent = sim.callers.len() as u64 - 1 - sim.rng.below(6).min(2);
            match sim.rng.below(4) {
                0 => sim.submit_now(recent as usize),
                1 => sim.close_caller(recent as usize),
                _ => {}
            }
            let pause = millis(sim.rng.below(300));
            sim.run(pause);
        }
        sim.run(SETTLE_TIME);
        assert!(
            sim.duplicates.is_empty(),
            "seed {seed}: {:?}",
            sim.duplicates
        );
        let open: Vec<_> = sim.callers.iter().filter(|c| c.answer.is_none()).collect();
        assert!(open.is_empty(), "seed {seed}: open at the end: {open:?}");
        let untrue = sim.untrue_refusals();
        assert!(untrue.is_empty(), "seed {seed}: {untrue:?}");
        sim.run(PATIENCE);
        assert_eq!(sim.answer_faults(), [""; 0], "seed {seed}");
    }
}
