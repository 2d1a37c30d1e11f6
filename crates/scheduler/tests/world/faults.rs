//! Single faults, and many at random.

use std::time::Duration;

use greengage_scheduler::Reply;

use crate::support::World;

const SECOND: Duration = Duration::from_secs(1);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a calm deployment that doesn't serve: a job completes within its objective.
#[test]
fn calm_job_completes_in_time() {
    let mut world = World::new(1, 3, 9);
    world.submit(0, 0, vec![millis(50); 6]);
    world.run(SECOND);
    assert_eq!(world.in_time(0), (1, 1));
    assert!(world.twice.is_empty());
}

/// Guards against bodies that are longer than the operator's configuration allows.
#[test]
fn body_beyond_the_limit_is_refused_and_names_it() {
    let mut world = World::new(12, 1, 3);
    for bytes in [1 << 18, (1 << 18) + 1] {
        world.bytes = bytes;
        world.submit(0, 0, vec![millis(50)]);
        world.run(SECOND);
    }
    let answers: Vec<_> = world
        .callers
        .iter()
        .flat_map(|c| c.answer.clone())
        .collect();
    assert_eq!(answers[0].1, Reply::Completed);
    assert_eq!(answers[1].1, Reply::TooLarge { most: 1 << 18 });
}

/// Guards against a job that is shown as failed because a target failed it: the failing target is
/// left out and the task runs elsewhere.
#[test]
fn failing_target_is_left_out() {
    let mut world = World::new(2, 1, 6);
    world.targets[1].fails = true;
    for _ in 0..30 {
        world.submit(0, 0, vec![millis(50); 2]);
        world.run(millis(60));
    }
    let before = world.targets[1].starts;
    for _ in 0..10 {
        world.submit(0, 0, vec![millis(50); 2]);
        world.run(millis(60));
    }
    world.run(SECOND);
    assert!(world.targets[1].starts - before <= 2, "single tasks only");
    let failed = |reply: &Reply| *reply == Reply::Failed;
    let shown = world.callers.iter().filter_map(|c| c.answer.as_ref());
    assert_eq!(shown.filter(|(_, reply)| failed(reply)).count(), 0);
}

/// Guards against jobs that wait for a run that stands still until their callers give up.
#[test]
fn standing_run_is_stopped_and_runs_elsewhere() {
    let mut world = World::new(3, 1, 4);
    for target in [0, 2] {
        world.targets[target].hangs = true;
    }
    for _ in 0..6 {
        world.submit(0, 1, vec![millis(100); 2]);
        world.run(millis(700));
    }
    world.run(2 * SECOND);
    let done = |c: &crate::callers::Caller| matches!(c.answer, Some((_, Reply::Completed)));
    assert!(world.callers.iter().filter(|c| done(c)).count() >= 5);
    assert!(world.twice.is_empty(), "{:?}", world.twice);
}

/// Guards against a caller that hears "not run" or "failed" of work that ran out of time.
#[test]
fn work_that_runs_out_of_time_is_neither_refused_nor_failed() {
    let mut world = World::new(4, 1, 2);
    world.submit(0, 1, vec![millis(300)]);
    world.callers[0].patience = millis(1500);
    world.run(millis(50));
    for target in &mut world.targets {
        target.hangs = true;
        target.cut = true;
    }
    world.run(4 * SECOND);
    let answer = world.callers[0].answer.as_ref().map(|(_, reply)| reply);
    assert_eq!(answer, Some(&Reply::TimedOut));
}

/// Guards against two runs of a task at a time when its VM is killed and the caller submits the
/// job to another VM, and against targets that stay without an owner.
#[test]
fn killed_vm_leaves_no_second_run_and_its_targets_are_taken_over() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 9);
        for _ in 0..4 {
            world.submit(0, 1, vec![millis(900); 3]);
        }
        world.run(millis(200));
        world.kill(0);
        world.run(3 * SECOND);
        assert!(world.twice.is_empty(), "seed {seed}: {:?}", world.twice);
        let owned: usize = [1, 2]
            .iter()
            .map(|vm| world.vms[*vm].scheduler.owned())
            .sum();
        assert_eq!(owned, 9, "seed {seed}");
    }
}

/// Guards against a VM that starts tasks on targets that were taken over while it was frozen.
#[test]
fn frozen_vm_finds_its_targets_fenced() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 9);
        world.submit(0, 1, vec![millis(800); 3]);
        world.run(millis(100));
        world.vms[0].frozen = true;
        world.submit(0, 0, vec![millis(50); 3]);
        world.run(2 * SECOND);
        world.thaw(0);
        world.submit(0, 0, vec![millis(50); 3]);
        world.run(3 * SECOND);
        assert!(world.twice.is_empty(), "seed {seed}: {:?}", world.twice);
        let owned: usize = world.vms.iter().map(|vm| vm.scheduler.owned()).sum();
        assert_eq!(owned, 9, "seed {seed}");
    }
}

/// Guards against two runs of a task when orders get no answer and are carried out late, and
/// against jobs that are lost for it.
#[test]
fn late_orders_start_nothing_twice() {
    let mut done = 0;
    for seed in 0..20 {
        let mut world = World::new(seed, 2, 8);
        for target in &mut world.targets {
            target.late_orders = 15;
        }
        for _ in 0..20 {
            world.submit(0, 0, vec![millis(60); 3]);
            world.run(millis(150));
        }
        world.run(5 * SECOND);
        assert!(world.twice.is_empty(), "seed {seed}: {:?}", world.twice);
        let completed =
            |c: &&crate::callers::Caller| matches!(c.answer, Some((_, Reply::Completed)));
        done += world.callers.iter().filter(completed).count();
    }
    assert!(done >= 20 * 20 * 8 / 10, "{done} of 400");
}

/// Guards against a target that returns under its name and is taken for its earlier life.
#[test]
fn reborn_target_serves_again() {
    let mut world = World::new(5, 1, 3);
    world.submit(0, 1, vec![millis(700); 4]);
    world.run(millis(100));
    world.crash(0);
    world.run(millis(500));
    world.revive(0);
    world.run(3 * SECOND);
    let before = world.targets[0].starts;
    for _ in 0..10 {
        world.submit(0, 0, vec![millis(50); 6]);
        world.run(millis(100));
    }
    assert!(world.targets[0].starts > before);
    assert!(world.twice.is_empty());
}

/// Guards against a second run when a caller submits a job again to the VM that still runs it.
#[test]
fn resubmission_to_the_same_vm_joins_the_job() {
    let mut world = World::new(6, 2, 6);
    let caller = world.submit(0, 1, vec![millis(400); 2]);
    world.run(millis(100));
    world.submit_now(caller);
    world.run(SECOND);
    assert!(world.twice.is_empty(), "{:?}", world.twice);
    assert!(matches!(
        world.callers[0].answer,
        Some((_, Reply::Completed))
    ));
}

/// Guards against claims of a cut-off zone's targets by the other zones: they would fence off the
/// zone's own VM when the cut ends.
#[test]
fn cut_off_zone_keeps_its_targets() {
    let mut world = World::new(8, 3, 9);
    world.cut = vec![(0, 1), (0, 2)];
    // Reports of the zone reach only its own VM.
    world.cut_zone = Some(0);
    world.run(5 * SECOND);
    let owned: Vec<usize> = world.vms.iter().map(|vm| vm.scheduler.owned()).collect();
    assert_eq!(owned, [3, 3, 3]);
    world.submit(0, 0, vec![millis(50); 2]);
    world.run(SECOND);
    assert_eq!(world.in_time(0), (1, 1), "the zone goes on by itself");
}

/// Guards against a third of the room that stays unused while the last VM of a zone shuts down: the
/// others take its targets over at once, since the zone isn't cut off.
#[test]
fn targets_of_a_zone_whose_last_vm_leaves_are_taken_over_at_once() {
    let mut world = World::new(10, 3, 9);
    world.leave(0);
    world.run(millis(500));
    let owned: Vec<usize> = world.vms.iter().map(|vm| vm.scheduler.owned()).collect();
    assert_eq!(owned[0], 0);
    assert_eq!(owned[1] + owned[2], 9);
}

/// Guards against room that is missing all at once while a VM shuts down: its targets are emptied
/// a few at a time, and the others go on to take the work of a full deployment.
#[test]
fn targets_of_a_leaving_vm_are_emptied_a_few_at_a_time() {
    let mut world = World::new(11, 3, 36);
    // A long run on each target of VM 0 keeps it from being handed over; the others are full.
    for (demand, vms) in [(9000, [0, 1, 2].as_slice()), (6800, &[1, 2])] {
        world.demand = demand;
        for vm in vms.repeat(12) {
            world.submit(vm, 1, vec![millis(1900)]);
            world.run(millis(2));
        }
    }
    world.leave(0);
    let before = world.callers.len();
    for _ in 0..40 {
        world.submit(1, 0, vec![millis(50); 2]);
        world.run(millis(20));
    }
    world.run(SECOND);
    let done = |c: &&crate::callers::Caller| matches!(c.answer, Some((_, Reply::Completed)));
    let completed = world.callers[before..].iter().filter(done).count();
    assert!(completed >= 30, "{completed} of 40 jobs completed");
}

/// Guards against errands for a VM that isn't heard here: nobody would stop them when it is lost.
#[test]
fn errand_of_a_vm_that_is_not_heard_is_refused() {
    let mut world = World::new(9, 3, 9);
    world.unheard = Some((1, 0));
    world.run(SECOND);
    for _ in 0..20 {
        world.submit(0, 0, vec![millis(50); 8]);
        world.run(millis(50));
    }
    world.run(SECOND);
    assert_eq!(world.targets_of_errands(1, 0), 0);
    let done = |c: &&crate::callers::Caller| matches!(c.answer, Some((_, Reply::Completed)));
    assert!(world.callers.iter().filter(done).count() >= 15);
}

/// Guards against short tasks that wait for a target's next list after their start got no answer
/// and was stopped: a confirmed stop is enough to start them elsewhere.
#[test]
fn task_without_an_answer_starts_elsewhere_once_its_stop_is_confirmed() {
    for seed in 0..20 {
        let mut world = World::new(seed, 1, 3);
        world.late_by = 2 * SECOND;
        world.targets[seed as usize % 3].late_starts = true;
        for _ in 0..2 {
            world.submit(0, 0, vec![millis(60); 3]);
            world.run(SECOND);
        }
        for caller in &world.callers {
            let (at, reply) = caller.answer.clone().expect("an answer");
            let took = at.since(caller.sent);
            assert_eq!(reply, Reply::Completed, "seed {seed}");
            // The limit of an order, the time of a stop, a review and the slowest run.
            assert!(
                took < millis(200 + 60 + 20 + 120 + 10),
                "seed {seed}: {took:?}"
            );
        }
        assert!(world.twice.is_empty(), "seed {seed}: {:?}", world.twice);
    }
}

/// Guards against an end that is known only long after it: the answer that told of it is lost. The
/// caller of a short job hears of it while its answer still counts, three times its objective.
#[test]
fn end_in_a_lost_answer_is_asked_for_again_soon() {
    for offset in (0..200).step_by(10) {
        let mut world = World::new(14, 1, 1);
        world.submit(0, 1, vec![millis(900)]);
        world.run(millis(300 + offset));
        world.targets[0].lost_holds = 1;
        world.run(millis(100));
        let caller = world.submit(0, 0, vec![millis(60)]);
        world.run(2 * SECOND);
        let caller = &world.callers[caller];
        let (at, reply) = caller.answer.clone().expect("an answer");
        assert_eq!(reply, Reply::Completed);
        let (took, bound) = (at.since(caller.sent), caller.objective * 3);
        assert!(took < bound, "offset {offset}: {took:?} of {bound:?}");
    }
}

/// Guards against leases that are renewed for runs which have to be stopped while no stop arrives:
/// the caller of a dead VM has submitted its job again by the time that they end.
#[test]
fn runs_whose_stops_are_late_outlive_their_lease_only() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 18);
        for _ in 0..6 {
            world.submit(0, 1, vec![millis(3000); 3]);
        }
        world.run(millis(300));
        world.kill(0);
        world.late_by = 2 * SECOND;
        // Free targets take orders, so that the job that is submitted again starts there.
        let busy = world.targets.iter_mut().filter(|t| !t.runs.is_empty());
        busy.for_each(|target| target.late_orders = 100);
        world.run(millis(1900));
        for target in &mut world.targets {
            target.late_orders = 0;
        }
        world.run(4 * SECOND);
        assert!(world.twice.is_empty(), "seed {seed}: {:?}", world.twice);
    }
}

/// Guards against errands of an earlier life that run on, or whose ends are taken for those of new
/// ones, when a VM is back before the others have missed it.
#[test]
fn errands_of_an_earlier_life_are_stopped() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 9);
        for _ in 0..4 {
            world.submit(0, 1, vec![millis(2500); 3]);
        }
        world.run(millis(300));
        world.kill(0);
        world.run(millis(200));
        world.restart(0);
        for _ in 0..10 {
            world.submit(0, 0, vec![millis(50); 4]);
            world.run(millis(100));
        }
        world.run(4 * SECOND);
        assert!(world.twice.is_empty(), "seed {seed}: {:?}", world.twice);
    }
}

fn env(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(value) => value.parse().expect("the variable holds a number"),
        Err(_) => default,
    }
}

/// Guards against two runs of a task at a time and callers without an answer, under kills,
/// freezes, cuts between VMs, cut, crashed and reborn targets, and late orders, at random.
/// `GREENGAGE_SEED` and `GREENGAGE_CASES` choose the cases.
#[test]
fn survives_random_faults() {
    let first = env("GREENGAGE_SEED", 1);
    for seed in first..first + env("GREENGAGE_CASES", 60) {
        println!("GREENGAGE_SEED={seed} GREENGAGE_CASES=1");
        let mut world = World::new(seed, 4, 12);
        for _ in 0..60 {
            let vm = world.rng.below(4) as usize;
            let target = world.rng.below(12) as usize;
            match world.rng.below(16) {
                0 if world.vms.iter().filter(|v| v.up).count() > 2 => world.kill(vm),
                1 => world.restart(vm),
                2 => world.vms[vm].frozen = world.vms[vm].up,
                3 | 4 => world.thaw(vm),
                5 => world.targets[target].cut = true,
                6 | 7 => world.targets[target].cut = false,
                8 => world.crash(target),
                9 => world.revive(target),
                10 => world.targets[target].late_orders = 20,
                11 => world.targets[target].late_orders = 0,
                12 => {
                    let other = world.rng.below(4) as usize;
                    world.cut.push((vm, other));
                }
                13 => world.cut.clear(),
                _ => {}
            }
            for _ in 0..3 {
                let (vm, queue) = (world.rng.below(4) as usize, world.rng.below(3) as usize);
                let base = [50, 700, 170][queue];
                let tasks = 1 + world.rng.below(6);
                let work = (0..tasks)
                    .map(|_| millis(base).mul_f64(world.rng.spread(40)))
                    .collect();
                world.submit(vm, queue, work);
            }
            let pause = millis(world.rng.below(300));
            world.run(pause);
        }
        assert!(world.twice.is_empty(), "seed {seed}: {:?}", world.twice);
        world.cut.clear();
        for vm in 0..4 {
            world.thaw(vm);
            world.restart(vm);
        }
        for target in 0..12 {
            world.targets[target].cut = false;
            world.targets[target].late_orders = 0;
            world.revive(target);
        }
        world.run(20 * SECOND);
        let unanswered = world.callers.iter().filter(|c| c.answer.is_none()).count();
        assert_eq!(unanswered, 0, "seed {seed}");
        let owned: usize = world.vms.iter().map(|vm| vm.scheduler.owned()).sum();
        assert_eq!(owned, 12, "seed {seed}: each target has one owner");
        assert!(world.twice.is_empty(), "seed {seed}: {:?}", world.twice);
    }
}
