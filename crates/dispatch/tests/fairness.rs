//! The order among accounts and within one.

mod common;

use std::collections::BTreeMap;

use common::{ms, Bench, RECORDED};
use greengage_core::JobNumber;
use greengage_dispatch::{Event, Tuning};

/// Starts `count` tasks one by one on a bench whose slots are all taken, and counts them by the
/// account that `owner` names for a job.
fn starts(bench: &mut Bench, running: &mut Vec<String>, count: usize) -> BTreeMap<u64, usize> {
    let mut starts = BTreeMap::new();
    for _ in 0..count {
        bench.now += 10;
        let attempt = running.remove(0);
        for shown in bench.done(&attempt, 100) {
            let Some(start) = shown.strip_prefix("start ") else {
                continue;
            };
            let attempt = start.split(' ').next().unwrap().to_string();
            let job = common::parse(&attempt).job.0;
            running.push(attempt);
            *starts.entry(job).or_default() += 1;
        }
    }
    starts
}

/// A bench of 4 slots, all taken by job 1 of account `first`.
fn taken(tuning: Tuning) -> (Bench, Vec<String>) {
    let mut bench = Bench::new(tuning);
    bench.executor("t1", 4, &["w", "x"]);
    bench.submit("first", "w", 4, RECORDED);
    (bench, (0..4).map(|t| format!("1/{t}#1")).collect())
}

/// Guards against shares that don't follow the weights, and against an account above its share
/// that starves another.
#[test]
fn accounts_share_by_weight() {
    let (mut bench, mut running) = taken(Tuning::default());
    for (account, weight) in [("one", 1), ("two", 2), ("four", 4)] {
        bench.share(account, weight, u32::MAX, u32::MAX, 0);
        bench.submit(account, "w", 200, RECORDED);
    }
    let starts = starts(&mut bench, &mut running, 140);
    let counts: Vec<usize> = (2..=4).map(|j| starts[&j]).collect();
    for (count, fair) in counts.iter().zip([20, 40, 80]) {
        assert!(count.abs_diff(fair) <= 2, "{counts:?}");
    }
}

/// Guards against a credit for idle time, with which an account would take all slots on return.
#[test]
fn an_idle_account_returns_without_credit() {
    let (mut bench, mut running) = taken(Tuning::default());
    bench.submit("busy", "w", 500, RECORDED);
    starts(&mut bench, &mut running, 200);
    bench.submit("idle", "w", 200, RECORDED);
    let starts = starts(&mut bench, &mut running, 40);
    assert!(starts[&2].abs_diff(20) <= 2, "{starts:?}");
}

/// Guards against work on other targets that counts against an account's share here.
#[test]
fn use_of_other_targets_does_not_count() {
    let (mut bench, mut running) = taken(Tuning::default());
    bench.executor("t2", 100, &["other"]);
    for _ in 0..10 {
        bench.submit("both", "other", 10, RECORDED);
    }
    let both = bench.job("both", "w", 100, RECORDED).number.0;
    bench.submit("both", "w", 100, RECORDED);
    bench.submit("here", "w", 100, RECORDED);
    let starts = starts(&mut bench, &mut running, 40);
    assert!(starts[&(both + 1)].abs_diff(20) <= 2, "{starts:?}");
}

/// Guards against more running tasks than an account may have, while others get the slots.
#[test]
fn concurrency_limits_running_tasks() {
    let (mut bench, mut running) = taken(Tuning::default());
    bench.share("small", 1, u32::MAX, 1, 0);
    bench.submit("small", "w", 10, RECORDED);
    bench.submit("other", "w", 10, RECORDED);
    let starts = starts(&mut bench, &mut running, 4);
    assert_eq!((starts[&2], starts[&3]), (1, 3));
    bench.step(Event::Cancel(JobNumber(3)));
    let load = bench.dispatch.accounts();
    let small = load.iter().find(|l| l.account.as_str() == "small").unwrap();
    assert_eq!((small.running, small.queued), (1, 9));
}

/// Guards against short jobs that wait behind a long queue of their own account.
#[test]
fn the_shortest_job_of_an_account_goes_first() {
    let (mut bench, mut running) = taken(Tuning::default());
    for tasks in [20, 5, 1] {
        bench.submit("a", "w", tasks, RECORDED);
    }
    let starts = starts(&mut bench, &mut running, 7);
    assert_eq!((starts[&4], starts[&3], starts[&2]), (1, 5, 1));
}

/// Guards against a large job that small ones overtake without end.
#[test]
fn a_job_is_overtaken_for_a_limited_time() {
    let mut tuning = Tuning::default();
    tuning.limits.overtake = ms(200);
    let (mut bench, mut running) = taken(tuning);
    bench.submit("a", "w", 9, RECORDED);
    let mut large = 0;
    for _ in 0..40 {
        bench.submit("a", "w", 1, RECORDED);
        large += starts(&mut bench, &mut running, 1)
            .get(&2)
            .copied()
            .unwrap_or(0);
        if bench.now < 200 {
            assert_eq!(large, 0, "at {} ms", bench.now);
        }
    }
    assert_eq!(large, 9, "the large job waits still after {} ms", bench.now);
}

/// Guards against a baseline for measurements that isn't first come, first served.
#[test]
fn without_rules_the_oldest_job_goes_first() {
    let tuning = Tuning {
        fair: false,
        shortest: false,
        ..Tuning::default()
    };
    let (mut bench, mut running) = taken(tuning);
    bench.submit("a", "w", 6, RECORDED);
    bench.now += 1;
    bench.submit("b", "x", 1, RECORDED);
    let starts = starts(&mut bench, &mut running, 6);
    assert_eq!(starts, BTreeMap::from([(2, 6)]));
}
