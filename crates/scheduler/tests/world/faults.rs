//! Tests of single faults, and of many random ones.

use std::time::Duration;

use greengage_scheduler::{Event, Reply, StartResult, StopResult};

use crate::support::{Rng, Simulation};

const SECOND: Duration = Duration::from_secs(1);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against failures without any fault: a job completes within its objective.
#[test]
fn job_without_faults_completes_in_time() {
    let mut sim = Simulation::new(1, 3, 9);
    sim.submit(0, 0, vec![millis(50); 6]);
    sim.run(SECOND);
    assert_eq!(sim.in_time(0), (1, 1));
    assert!(sim.duplicates.is_empty());
}

/// Guards against accepting bodies that exceed the configured limit.
#[test]
fn body_beyond_the_limit_is_refused_and_names_it() {
    let mut sim = Simulation::new(12, 1, 3);
    for bytes in [1 << 18, (1 << 18) + 1] {
        sim.bytes = bytes;
        sim.submit(0, 0, vec![millis(50)]);
        sim.run(SECOND);
    }
    let answers: Vec<_> = sim.callers.iter().flat_map(|c| c.answer.clone()).collect();
    assert_eq!(answers[0].1, Reply::Completed);
    assert_eq!(answers[1].1, Reply::TooLarge { most: 1 << 18 });
}

/// Guards against jobs that fail because of a faulty target: the target is excluded and the tasks
/// run elsewhere.
#[test]
fn failing_target_is_excluded() {
    let mut sim = Simulation::new(2, 1, 6);
    sim.targets[1].fails = true;
    for _ in 0..30 {
        sim.submit(0, 0, vec![millis(50); 2]);
        sim.run(millis(60));
    }
    let starts_before = sim.targets[1].starts;
    for _ in 0..10 {
        sim.submit(0, 0, vec![millis(50); 2]);
        sim.run(millis(60));
    }
    sim.run(SECOND);
    assert!(
        sim.targets[1].starts - starts_before <= 2,
        "an excluded target gets single tasks only"
    );
    let failed = |reply: &Reply| *reply == Reply::Failed;
    let shown = sim.callers.iter().filter_map(|c| c.answer.as_ref());
    assert_eq!(shown.filter(|(_, reply)| failed(reply)).count(), 0);
}

/// Guards against a job that waits until its caller gives up because its last run failed on the
/// only target that can run it.
#[test]
fn failed_task_runs_again_on_the_only_target() {
    let mut sim = Simulation::new(15, 1, 1);
    sim.caller_timeout = Some(30 * SECOND);
    sim.targets[0].fails = true;
    sim.submit(0, 0, vec![millis(50)]);
    sim.run(millis(6));
    sim.targets[0].fails = false;
    sim.run(2 * SECOND);
    assert_eq!(sim.targets[0].starts, 2);
    let answer = sim.callers[0].answer.as_ref().map(|(_, reply)| reply);
    assert_eq!(answer, Some(&Reply::Completed));
}

/// Guards against jobs that wait for a stalled run until their callers give up.
#[test]
fn stalled_run_is_stopped_and_its_task_runs_elsewhere() {
    let mut sim = Simulation::new(3, 1, 4);
    for target in [0, 2] {
        sim.targets[target].hangs = true;
    }
    for _ in 0..6 {
        sim.submit(0, 1, vec![millis(100); 2]);
        sim.run(millis(700));
    }
    sim.run(2 * SECOND);
    let done = |c: &crate::callers::Caller| matches!(c.answer, Some((_, Reply::Completed)));
    assert!(sim.callers.iter().filter(|c| done(c)).count() >= 5);
    assert!(sim.duplicates.is_empty(), "{:?}", sim.duplicates);
}

/// Guards against the answers `Refused` or `Failed` for a job whose run is still unknown at its
/// deadline.
#[test]
fn work_that_runs_out_of_time_is_neither_refused_nor_failed() {
    let mut sim = Simulation::new(4, 1, 2);
    sim.submit(0, 1, vec![millis(300)]);
    sim.callers[0].timeout = millis(1500);
    sim.run(millis(50));
    for target in &mut sim.targets {
        target.hangs = true;
        target.disconnected = true;
    }
    sim.run(4 * SECOND);
    let answer = sim.callers[0].answer.as_ref().map(|(_, reply)| reply);
    assert_eq!(answer, Some(&Reply::TimedOut));
}

/// Guards against duplicate runs when a VM is killed and its callers submit their jobs to another
/// one, and against targets that stay without an owner.
#[test]
fn killed_vm_leaves_no_second_run_and_its_targets_are_taken_over() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, 3, 9);
        for _ in 0..4 {
            sim.submit(0, 1, vec![millis(900); 3]);
        }
        sim.run(millis(200));
        sim.kill_vm(0);
        sim.run(3 * SECOND);
        assert!(
            sim.duplicates.is_empty(),
            "seed {seed}: {:?}",
            sim.duplicates
        );
        let owned: usize = [1, 2].iter().map(|vm| sim.vms[*vm].scheduler.owned()).sum();
        assert_eq!(owned, 9, "seed {seed}");
    }
}

/// Guards against starts by a paused VM on targets that others have claimed in the meantime.
#[test]
fn paused_vm_is_fenced_by_its_targets() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, 3, 9);
        sim.submit(0, 1, vec![millis(800); 3]);
        sim.run(millis(100));
        sim.vms[0].paused = true;
        sim.submit(0, 0, vec![millis(50); 3]);
        sim.run(2 * SECOND);
        sim.resume_vm(0);
        sim.submit(0, 0, vec![millis(50); 3]);
        sim.run(3 * SECOND);
        assert!(
            sim.duplicates.is_empty(),
            "seed {seed}: {:?}",
            sim.duplicates
        );
        let owned: usize = sim.vms.iter().map(|vm| vm.scheduler.owned()).sum();
        assert_eq!(owned, 9, "seed {seed}");
    }
}

/// Guards against a target that is released because a start or stop of an earlier claim was refused,
/// and whose result arrives after the next claim.
#[test]
fn late_result_of_an_earlier_claim_releases_no_target() {
    let mut sim = Simulation::new(16, 1, 1);
    sim.submit(0, 1, vec![SECOND]);
    sim.run(millis(50));
    let generation = sim.targets[0].generation;
    let start_ended = |sim: &Simulation, generation| Event::StartEnded {
        target: sim.targets[0].name.clone(),
        task: "j0.0.0.0".into(),
        number: 1,
        generation,
        result: StartResult::Fenced,
    };
    let stop_ended = |sim: &Simulation, generation| Event::StopEnded {
        target: sim.targets[0].name.clone(),
        task: "j0.0.0.0".into(),
        number: 1,
        generation,
        result: StopResult::Fenced,
    };
    for event in [
        stop_ended(&sim, generation - 1),
        start_ended(&sim, generation - 1),
    ] {
        sim.event(0, 1, event);
        assert_eq!(sim.vms[0].scheduler.owned(), 1);
    }
    let event = stop_ended(&sim, generation);
    sim.event(0, 1, event);
    assert_eq!(sim.vms[0].scheduler.owned(), 0, "the current claim");
}

/// Guards against duplicate runs and lost jobs when calls get no answer but are carried out late.
#[test]
fn late_orders_start_no_duplicate_runs() {
    let mut done = 0;
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, 2, 8);
        for target in &mut sim.targets {
            target.late_order_percent = 15;
        }
        for _ in 0..20 {
            sim.submit(0, 0, vec![millis(60); 3]);
            sim.run(millis(150));
        }
        sim.run(5 * SECOND);
        assert!(
            sim.duplicates.is_empty(),
            "seed {seed}: {:?}",
            sim.duplicates
        );
        let completed =
            |c: &&crate::callers::Caller| matches!(c.answer, Some((_, Reply::Completed)));
        done += sim.callers.iter().filter(completed).count();
    }
    assert!(done >= 20 * 20 * 8 / 10, "{done} of 400");
}

/// Guards against taking a restarted target for its earlier incarnation.
#[test]
fn restarted_target_runs_tasks_again() {
    let mut sim = Simulation::new(5, 1, 3);
    sim.submit(0, 1, vec![millis(700); 4]);
    sim.run(millis(100));
    sim.crash_target(0);
    sim.run(millis(500));
    sim.restart_target(0);
    sim.run(3 * SECOND);
    let starts_before = sim.targets[0].starts;
    for _ in 0..10 {
        sim.submit(0, 0, vec![millis(50); 6]);
        sim.run(millis(100));
    }
    assert!(sim.targets[0].starts > starts_before);
    assert!(sim.duplicates.is_empty());
}

/// Guards against a second run when a caller submits a job again to the VM that still runs it.
#[test]
fn resubmission_to_the_same_vm_joins_the_job() {
    let mut sim = Simulation::new(6, 2, 6);
    let caller = sim.submit(0, 1, vec![millis(400); 2]);
    sim.run(millis(100));
    sim.submit_now(caller);
    sim.run(SECOND);
    assert!(sim.duplicates.is_empty(), "{:?}", sim.duplicates);
    assert!(matches!(sim.callers[0].answer, Some((_, Reply::Completed))));
}

/// Guards against claims of an isolated zone's targets by VMs of other zones, which would fence the
/// zone's own VM when the partition ends.
#[test]
fn isolated_zone_keeps_its_targets() {
    let mut sim = Simulation::new(8, 3, 9);
    sim.partitions = vec![(0, 1), (0, 2)];
    // Reports of the zone's targets reach only its own VM.
    sim.isolated_zone = Some(0);
    sim.run(5 * SECOND);
    let owned: Vec<usize> = sim.vms.iter().map(|vm| vm.scheduler.owned()).collect();
    assert_eq!(owned, [3, 3, 3]);
    sim.submit(0, 0, vec![millis(50); 2]);
    sim.run(SECOND);
    assert_eq!(
        sim.in_time(0),
        (1, 1),
        "the isolated zone still serves jobs"
    );
}

/// Guards against a third of the targets staying unused while the last VM of a zone shuts down: as
/// the zone isn't cut off, the others take over its targets at once.
#[test]
fn last_vm_of_a_zone_hands_over_its_targets_at_once() {
    let mut sim = Simulation::new(10, 3, 9);
    sim.shut_down_vm(0);
    sim.run(millis(500));
    let owned: Vec<usize> = sim.vms.iter().map(|vm| vm.scheduler.owned()).collect();
    assert_eq!(owned[0], 0);
    assert_eq!(owned[1] + owned[2], 9);
}

/// Guards against a VM that has just started and claims targets before it knows their owners, which
/// ends the runs there.
#[test]
fn started_vm_claims_no_target_of_a_live_owner() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, 3, 9);
        sim.caller_timeout = Some(10 * SECOND);
        sim.kill_vm(0);
        sim.run(5 * SECOND);
        for vm in [1, 2] {
            sim.submit(vm, 1, vec![millis(2000); 6]);
        }
        sim.run(millis(100 + seed * 20));
        sim.restart_vm(0);
        sim.run(6 * SECOND);
        let starts: u64 = sim.targets.iter().map(|t| t.starts).sum();
        assert_eq!(starts, 12, "seed {seed}: each task runs once");
        assert_eq!(sim.vms[0].scheduler.owned(), 3, "seed {seed}");
    }
}

/// Guards against a VM that takes all its targets out of use at once when it shuts down. It
/// releases them in batches, so that a fully loaded deployment still accepts work.
#[test]
fn targets_of_a_leaving_vm_are_released_in_batches() {
    let mut sim = Simulation::new(11, 3, 36);
    // A long run on each target of VM 0 delays its hand-over; all other targets are full.
    for (milli_cores, vms) in [(9000, [0, 1, 2].as_slice()), (6800, &[1, 2])] {
        sim.task_milli_cores = milli_cores;
        for vm in vms.repeat(12) {
            sim.submit(vm, 1, vec![millis(1900)]);
            sim.run(millis(2));
        }
    }
    sim.shut_down_vm(0);
    let callers_before = sim.callers.len();
    for _ in 0..40 {
        sim.submit(1, 0, vec![millis(50); 2]);
        sim.run(millis(20));
    }
    sim.run(SECOND);
    let done = |c: &&crate::callers::Caller| matches!(c.answer, Some((_, Reply::Completed)));
    let completed = sim.callers[callers_before..].iter().filter(done).count();
    assert!(completed >= 30, "{completed} of 40 jobs completed");
}

/// Guards against running offloaded tasks of a VM that isn't a known peer: nothing would stop them
/// if that VM were lost.
#[test]
fn offload_from_an_unknown_vm_is_refused() {
    let mut sim = Simulation::new(9, 3, 9);
    sim.ignored_peer = Some((1, 0));
    sim.run(SECOND);
    for _ in 0..20 {
        sim.submit(0, 0, vec![millis(50); 8]);
        sim.run(millis(50));
    }
    sim.run(SECOND);
    assert_eq!(sim.offload_starts(1, 0), 0);
    let done = |c: &&crate::callers::Caller| matches!(c.answer, Some((_, Reply::Completed)));
    assert!(sim.callers.iter().filter(done).count() >= 15);
}

/// Guards against short tasks that wait for a target's next lists after their start got no answer
/// and was stopped: a confirmed stop is enough to start them elsewhere.
#[test]
fn unanswered_start_is_retried_once_its_stop_is_confirmed() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, 1, 3);
        sim.late_order_delay = 2 * SECOND;
        sim.targets[seed as usize % 3].late_starts = true;
        for _ in 0..2 {
            sim.submit(0, 0, vec![millis(60); 3]);
            sim.run(SECOND);
        }
        for caller in &sim.callers {
            let (time, reply) = caller.answer.clone().expect("an answer");
            let elapsed = time.since(caller.sent);
            assert_eq!(reply, Reply::Completed, "seed {seed}");
            // Call time-out, time to stop, review interval, slowest run and margin.
            assert!(
                elapsed < millis(200 + 60 + 20 + 120 + 10),
                "seed {seed}: {elapsed:?}"
            );
        }
        assert!(
            sim.duplicates.is_empty(),
            "seed {seed}: {:?}",
            sim.duplicates
        );
    }
}

/// Guards against ends that stay unknown for long because the answer that listed them was lost. The
/// caller of a short job must get its answer within three times the objective.
#[test]
fn end_in_a_lost_hold_answer_is_fetched_again() {
    for offset in (0..200).step_by(10) {
        let mut sim = Simulation::new(14, 1, 1);
        sim.submit(0, 1, vec![millis(900)]);
        sim.run(millis(300 + offset));
        sim.targets[0].lost_holds = 1;
        sim.run(millis(100));
        let caller = sim.submit(0, 0, vec![millis(60)]);
        sim.run(2 * SECOND);
        let caller = &sim.callers[caller];
        let (time, reply) = caller.answer.clone().expect("an answer");
        assert_eq!(reply, Reply::Completed);
        let (elapsed, bound) = (time.since(caller.sent), caller.objective * 3);
        assert!(elapsed < bound, "offset {offset}: {elapsed:?} of {bound:?}");
    }
}

/// Guards against renewing leases for runs whose stops don't arrive: they would still run when the
/// caller of a dead VM submits its job again.
#[test]
fn runs_with_late_stops_end_with_their_lease() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, 3, 18);
        for _ in 0..6 {
            sim.submit(0, 1, vec![millis(3000); 3]);
        }
        sim.run(millis(300));
        sim.kill_vm(0);
        sim.late_order_delay = 2 * SECOND;
        // Targets without runs still answer calls, so that the resubmitted job starts there.
        let with_runs = sim.targets.iter_mut().filter(|t| !t.runs.is_empty());
        with_runs.for_each(|target| target.late_order_percent = 100);
        sim.run(millis(1900));
        for target in &mut sim.targets {
            target.late_order_percent = 0;
        }
        sim.run(4 * SECOND);
        assert!(
            sim.duplicates.is_empty(),
            "seed {seed}: {:?}",
            sim.duplicates
        );
    }
}

/// Guards against offloaded tasks that outlive their VM's incarnation, or whose outcomes are taken
/// for those of new ones, when the VM restarts before its peers notice the loss.
#[test]
fn offloads_of_an_earlier_incarnation_are_stopped() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, 3, 9);
        for _ in 0..4 {
            sim.submit(0, 1, vec![millis(2500); 3]);
        }
        sim.run(millis(300));
        sim.kill_vm(0);
        sim.run(millis(200));
        sim.restart_vm(0);
        for _ in 0..10 {
            sim.submit(0, 0, vec![millis(50); 4]);
            sim.run(millis(100));
        }
        sim.run(4 * SECOND);
        assert!(
            sim.duplicates.is_empty(),
            "seed {seed}: {:?}",
            sim.duplicates
        );
    }
}

/// Guards against an offloaded task that a link held for seconds and that starts after its job has
/// ended, beside a new run of the task, in the same or a later incarnation of its VM.
#[test]
fn held_offloads_start_no_duplicate_runs() {
    for seed in 0..40 {
        let mut sim = Simulation::new(seed, 3, 9);
        sim.resubmit_timeouts = true;
        let span = millis(1000 + sim.rng.below(3001));
        for peer in [1, 2] {
            sim.hold_link(0, peer, span);
        }
        for _ in 0..6 {
            sim.submit(0, 1, vec![millis(1500); 3]);
            sim.run(millis(100));
        }
        if seed % 2 == 1 {
            sim.run(millis(300));
            sim.kill_vm(0);
            sim.run(millis(10));
            sim.restart_vm(0);
        }
        sim.run(span + 4 * SECOND);
        assert!(
            sim.duplicates.is_empty(),
            "seed {seed}: {:?}",
            sim.duplicates
        );
        assert!(
            sim.late_offloads.is_empty(),
            "seed {seed}: {:?}",
            sim.late_offloads
        );
    }
}

pub(crate) fn env_number(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(value) => value.parse().expect("the variable holds a number"),
        Err(_) => default,
    }
}

/// Guards against duplicate runs and callers without an answer, under random kills, pauses,
/// partitions between VMs, disconnected, crashed and restarted targets, and late calls.
/// `GREENGAGE_SEED` and `GREENGAGE_CASES` choose the cases.
#[test]
fn survives_random_faults() {
    play_random_faults(false);
}

/// Guards against the same, and against offloaded tasks that start after their jobs have ended, when
/// links between VMs also hold messages for 1 to 4 s.
#[test]
fn survives_random_faults_and_held_links() {
    play_random_faults(true);
}

fn play_random_faults(hold_links: bool) {
    let first = env_number("GREENGAGE_SEED", 1);
    for seed in first..first + env_number("GREENGAGE_CASES", 60) {
        println!("GREENGAGE_SEED={seed} GREENGAGE_CASES=1");
        let mut sim = Simulation::new(seed, 4, 12);
        let mut hold_rng = Rng(seed);
        for _ in 0..60 {
            if hold_links && hold_rng.chance(25) {
                let (a, b) = (hold_rng.below(4) as usize, hold_rng.below(4) as usize);
                sim.hold_link(a, b, millis(1000 + hold_rng.below(3001)));
            }
            let vm = sim.rng.below(4) as usize;
            let target = sim.rng.below(12) as usize;
            match sim.rng.below(16) {
                0 if sim.vms.iter().filter(|v| v.up).count() > 2 => sim.kill_vm(vm),
                1 => sim.restart_vm(vm),
                2 => sim.vms[vm].paused = sim.vms[vm].up,
                3 | 4 => sim.resume_vm(vm),
                5 => sim.targets[target].disconnected = true,
                6 | 7 => sim.targets[target].disconnected = false,
                8 => sim.crash_target(target),
                9 => sim.restart_target(target),
                10 => sim.targets[target].late_order_percent = 20,
                11 => sim.targets[target].late_order_percent = 0,
                12 => {
                    let other = sim.rng.below(4) as usize;
                    sim.partitions.push((vm, other));
                }
                13 => sim.partitions.clear(),
                _ => {}
            }
            for _ in 0..3 {
                let (vm, queue) = (sim.rng.below(4) as usize, sim.rng.below(3) as usize);
                let mean_ms = [50, 700, 170][queue];
                let tasks = 1 + sim.rng.below(6);
                let work = (0..tasks)
                    .map(|_| millis(mean_ms).mul_f64(sim.rng.spread(40)))
                    .collect();
                sim.submit(vm, queue, work);
            }
            let pause = millis(sim.rng.below(300));
            sim.run(pause);
        }
        assert!(
            sim.duplicates.is_empty(),
            "seed {seed}: {:?}",
            sim.duplicates
        );
        sim.partitions.clear();
        sim.held_links.clear();
        for vm in 0..4 {
            sim.resume_vm(vm);
            sim.restart_vm(vm);
        }
        for target in 0..12 {
            sim.targets[target].disconnected = false;
            sim.targets[target].late_order_percent = 0;
            sim.restart_target(target);
        }
        sim.run(20 * SECOND);
        let unanswered = sim.callers.iter().filter(|c| c.answer.is_none()).count();
        assert_eq!(unanswered, 0, "seed {seed}");
        let untrue = sim.untrue_refusals();
        assert!(untrue.is_empty(), "seed {seed}: {untrue:?}");
        let owned: usize = sim.vms.iter().map(|vm| vm.scheduler.owned()).sum();
        assert_eq!(owned, 12, "seed {seed}: each target has one owner");
        assert!(
            sim.duplicates.is_empty(),
            "seed {seed}: {:?}",
            sim.duplicates
        );
        assert!(
            sim.late_offloads.is_empty(),
            "seed {seed}: {:?}",
            sim.late_offloads
        );
    }
}
