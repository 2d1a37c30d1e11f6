//! Placement of tasks on targets, and accounting of free resources.

mod common;

use common::{demand, ms, target, Harness, RECORDED};
use greengage_core::{Capacity, Spread, TargetKind};
use greengage_dispatch::{AttemptOutcome, Event, Tuning};
use greengage_membership::Standing;

const NO_EFFECTS: [&str; 0] = [];

fn harness() -> Harness {
    Harness::new(Tuning::default())
}

/// Submits a job of `tasks` tasks of `cores` cores each for workers.
fn submit_worker(harness: &mut Harness, tasks: u32, cores: u32, spread: Spread) -> Vec<String> {
    let mut job = harness.job("a", "w", tasks, RECORDED);
    job.target_kind = TargetKind::Worker;
    job.demand = demand(cores * 1000);
    job.spread = spread;
    harness.step(Event::Submit(job))
}

/// The target of the only start among the effects.
fn started_on(effects: &[String]) -> &str {
    let starts: Vec<&String> = effects.iter().filter(|s| s.starts_with("start")).collect();
    assert_eq!(starts.len(), 1, "{effects:?}");
    starts[0].rsplit(' ').next().unwrap()
}

/// Guards against placing tasks on a slow target while a fast one is free, and against counting
/// failures, which are often fast, as high speed.
#[test]
fn the_fastest_target_is_first_and_failures_are_not_fast() {
    let mut harness = harness();
    let service_ms = [("slow", 300), ("fast", 100), ("failing", 200)];
    for (name, _) in service_ms {
        harness.executor(name, 1, &["w"]);
    }
    for round in 0..20 {
        let effects = harness.submit("a", "w", 3, RECORDED);
        for (n, start) in effects.iter().enumerate() {
            let (_, millis) = *service_ms.iter().find(|t| start.ends_with(t.0)).unwrap();
            harness.now_ms += 1;
            harness.complete(&format!("{}/{n}#1", round + 1), millis);
        }
    }
    for job in 21..40 {
        harness.executor("fast", 0, &["w"]);
        assert_eq!(
            started_on(&harness.submit("a", "w", 1, RECORDED)),
            "failing"
        );
        let message = "broken".to_string();
        harness.settle(&format!("{job}/0#1"), AttemptOutcome::Failed { message });
        harness.executor("fast", 1, &["w"]);
    }
    assert_eq!(started_on(&harness.submit("a", "w", 1, RECORDED)), "fast");
}

/// Guards against starting a task on a target that doesn't run its kind of work.
#[test]
fn a_target_takes_only_its_kinds_of_work() {
    let mut harness = harness();
    harness.executor("t1", 1, &["x", "y"]);
    assert_eq!(harness.submit("a", "w", 1, RECORDED), NO_EFFECTS);
    assert_eq!(
        harness.executor("t1", 1, &["w", "x"]),
        ["start 1/0#1 on t1"]
    );
}

/// Guards against starting tasks on ejected, suspect or leaving targets, and against stopping
/// tasks that already run there.
#[test]
fn standing_limits_new_work_only() {
    let mut harness = harness();
    harness.executor("t1", 4, &["w"]);
    harness.submit("a", "w", 2, RECORDED);
    harness.submit("a", "w", 4, RECORDED);
    harness.step(Event::Cancel(greengage_core::JobNumber(2)));
    let set_standing = |harness: &mut Harness, standing| {
        let target = target("t1");
        harness.step(Event::TargetStanding { target, standing })
    };
    for standing in [Standing::Ejected, Standing::Suspect, Standing::Leaving] {
        assert_eq!(set_standing(&mut harness, standing), NO_EFFECTS);
        assert_eq!(harness.dispatch.free_slots(), 0);
    }
    harness.submit("a", "w", 2, RECORDED);
    assert_eq!(
        set_standing(&mut harness, Standing::Probation),
        NO_EFFECTS,
        "two tasks run"
    );
    assert_eq!(harness.complete("2/0#1", 1), NO_EFFECTS);
    assert_eq!(harness.complete("2/1#1", 1), NO_EFFECTS);
    assert_eq!(harness.complete("1/0#1", 1), NO_EFFECTS);
    assert_eq!(
        harness.complete("1/1#1", 1),
        ["complete 1", "start 3/0#1 on t1"]
    );
    assert_eq!(
        set_standing(&mut harness, Standing::Live),
        ["start 3/1#1 on t1"]
    );
}

/// Guards against grants beyond a worker's resources while its usage reports lag behind.
#[test]
fn a_worker_grants_what_is_neither_granted_nor_in_use() {
    let mut harness = harness();
    harness.worker("t1", "r1", 8);
    let usage = |harness: &mut Harness, cores: u32| {
        let (target, used) = (target("t1"), demand(cores * 1000));
        harness.step(Event::WorkerUsage { target, used })
    };
    assert_eq!(submit_worker(&mut harness, 3, 3, Spread::Any).len(), 2);
    harness.complete("1/0#1", 10);
    harness.complete("1/1#1", 10);
    assert_eq!(harness.complete("1/2#1", 10), ["complete 1"]);
    harness.now_ms = 5000;
    assert_eq!(submit_worker(&mut harness, 1, 2, Spread::Any).len(), 1);
    // The report can't include the new grant yet: 3 cores in use by others, 2 granted.
    usage(&mut harness, 3);
    assert_eq!(submit_worker(&mut harness, 2, 3, Spread::Any).len(), 1);
    harness.now_ms = 7000;
    // The report includes both grants and other usage: 7 cores in use, 5 granted.
    assert_eq!(usage(&mut harness, 7), NO_EFFECTS);
    assert_eq!(usage(&mut harness, 5), ["start 3/1#1 on t1"]);
}

/// Guards against treating a worker with many short tasks as full after each report, because the
/// report still includes tasks that have ended.
#[test]
fn a_late_report_of_short_tasks_blocks_nothing() {
    let mut harness = harness();
    harness.worker("t1", "r1", 4);
    harness.now_ms = 10_000;
    submit_worker(&mut harness, 4, 1, Spread::Any);
    harness.now_ms += 50;
    for task in 0..4 {
        harness.complete(&format!("1/{task}#1"), 50);
    }
    assert_eq!(submit_worker(&mut harness, 4, 1, Spread::Any).len(), 4);
    let (target, used) = (target("t1"), demand(4000));
    harness.step(Event::WorkerUsage { target, used });
    submit_worker(&mut harness, 4, 1, Spread::Any);
    harness.now_ms += 50;
    let starts: usize = (0..4)
        .map(|t| harness.complete(&format!("2/{t}#1"), 50).len())
        .sum();
    assert_eq!(starts, 5, "four starts and one completion");
}

/// Guards against losing a target's grants when it is announced again or removed.
#[test]
fn grants_outlive_announcements() {
    let mut harness = harness();
    harness.executor("t1", 2, &["w"]);
    harness.submit("a", "w", 4, RECORDED);
    assert_eq!(harness.executor("t1", 1, &["w"]), NO_EFFECTS);
    assert_eq!(
        harness.complete("1/0#1", 1),
        NO_EFFECTS,
        "one slot, one task"
    );
    assert_eq!(harness.step(Event::TargetRemoved(target("t1"))), NO_EFFECTS);
    assert_eq!(harness.executor("t1", 2, &["w"]), ["start 1/2#1 on t1"]);
    assert_eq!(harness.dispatch.free_slots(), 0);
    harness.step(Event::TargetRemoved(target("t1")));
    assert_eq!(harness.complete("1/1#1", 1), NO_EFFECTS);
    assert_eq!(harness.dispatch.running_tasks(), 1);
}

/// Guards against placing most tasks of a job on one rack, whose failure would end them together.
#[test]
fn tasks_are_spread_over_racks() {
    let mut harness = harness();
    for n in 0..8 {
        harness.worker(&format!("t{n}"), &format!("r{}", n % 4), 8);
    }
    let effects = submit_worker(&mut harness, 10, 1, Spread::Racks);
    let mut racks = [0; 4];
    for start in &effects {
        let target: usize = start.rsplit('t').next().unwrap().parse().unwrap();
        racks[target % 4] += 1;
    }
    racks.sort_unstable();
    assert_eq!(racks, [2, 2, 3, 3], "{effects:?}");
}

/// Submits `tasks` long tasks and returns how many start.
fn start_long(harness: &mut Harness, tasks: u32) -> usize {
    let mut job = harness.job("batch", "long", tasks, RECORDED);
    job.declared = ms(3000);
    harness.step(Event::Submit(job)).len()
}

/// Guards against short work that waits behind long work, and against long work that never
/// starts on targets with very few slots.
#[test]
fn long_work_leaves_some_slots_to_short_work() {
    for (slots, long) in [(1, 1), (2, 1), (4, 3), (5, 3), (8, 6)] {
        let mut harness = harness();
        harness.executor("t1", slots, &["w", "long"]);
        assert_eq!(start_long(&mut harness, 20), long, "{slots} slots");
        let short = harness.submit("a", "w", 20, RECORDED).len();
        assert_eq!(short, slots as usize - long, "{slots} slots");
    }
}

/// Guards against a reserve that is smaller than the recent peak use by short work, and against
/// one that starves long work.
#[test]
fn the_reserve_follows_the_use_by_short_work() {
    for (short, long) in [(4, 4), (7, 4), (3, 5), (1, 6)] {
        let mut harness = harness();
        harness.executor("t1", 8, &["w", "long"]);
        harness.submit("a", "w", short, RECORDED);
        for task in 0..short {
            harness.complete(&format!("1/{task}#1"), 20);
        }
        assert_eq!(
            start_long(&mut harness, 20),
            long,
            "{short} short tasks before"
        );
    }
}

/// Guards against slots that stay reserved when short work doesn't use them any more and no event
/// other than a tick arrives.
#[test]
fn the_reserve_shrinks_with_time_alone() {
    let mut harness = harness();
    harness.executor("t1", 8, &["w", "long"]);
    harness.submit("a", "w", 4, RECORDED);
    for task in 0..4 {
        harness.complete(&format!("1/{task}#1"), 20);
    }
    harness.now_ms = 10;
    harness.deadline_ms = 20_000;
    assert_eq!(start_long(&mut harness, 6), 4);
    let starts = ["10000 ms: start 2/4#1 on t1", "10000 ms: start 2/5#1 on t1"];
    let effects = harness.advance_to(10_009);
    assert_eq!(effects, starts);
}

/// Guards against placement by an executor's connections or a task's demand: only slots count.
#[test]
fn executors_ignore_the_demand() {
    let mut harness = harness();
    let capacity = Capacity::Executor {
        slots: 2,
        connections: 0,
    };
    harness.target("t1", None, &["w"], capacity);
    let mut job = harness.job("a", "w", 3, RECORDED);
    job.demand = demand(u32::MAX);
    assert_eq!(harness.step(Event::Submit(job)).len(), 2);
}
