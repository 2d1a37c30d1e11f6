//! The order of starts among accounts and within one account.

mod common;

use std::collections::BTreeMap;

use common::{ms, Harness, RECORDED};
use greengage_core::JobNumber;
use greengage_dispatch::{Event, Tuning};

/// Ends `count` running tasks one by one, oldest first, and counts the starts that follow by job
/// number.
fn count_starts(
    harness: &mut Harness,
    running: &mut Vec<String>,
    count: usize,
) -> BTreeMap<u64, usize> {
    let mut starts = BTreeMap::new();
    for _ in 0..count {
        harness.now_ms += 10;
        let attempt = running.remove(0);
        for effect in harness.complete(&attempt, 100) {
            let Some(start) = effect.strip_prefix("start ") else {
                continue;
            };
            let attempt = start.split(' ').next().unwrap().to_string();
            let job = common::parse_attempt(&attempt).job.0;
            running.push(attempt);
            *starts.entry(job).or_default() += 1;
        }
    }
    starts
}

/// A harness with 4 slots, all in use by job 1 of account `first`, and the running attempts.
fn saturated(tuning: Tuning) -> (Harness, Vec<String>) {
    let mut harness = Harness::new(tuning);
    harness.executor("t1", 4, &["w", "x"]);
    harness.submit("first", "w", 4, RECORDED);
    (harness, (0..4).map(|t| format!("1/{t}#1")).collect())
}

/// Guards against shares that don't follow the weights, and against an account that starves
/// another.
#[test]
fn accounts_share_by_weight() {
    let (mut harness, mut running) = saturated(Tuning::default());
    for (account, weight) in [("one", 1), ("two", 2), ("four", 4)] {
        harness.share(account, weight, u32::MAX, u32::MAX, 0);
        harness.submit(account, "w", 200, RECORDED);
    }
    let starts = count_starts(&mut harness, &mut running, 140);
    let counts: Vec<usize> = (2..=4).map(|j| starts[&j]).collect();
    for (count, fair) in counts.iter().zip([20, 40, 80]) {
        assert!(count.abs_diff(fair) <= 2, "{counts:?}");
    }
}

/// Guards against credit for idle time, with which an account would get all slots on its return.
#[test]
fn an_idle_account_returns_without_credit() {
    let (mut harness, mut running) = saturated(Tuning::default());
    harness.submit("busy", "w", 500, RECORDED);
    count_starts(&mut harness, &mut running, 200);
    harness.submit("idle", "w", 200, RECORDED);
    let starts = count_starts(&mut harness, &mut running, 40);
    assert!(starts[&2].abs_diff(20) <= 2, "{starts:?}");
}

/// Guards against charging work on one group of targets to an account's share of another group.
#[test]
fn use_of_other_targets_does_not_count() {
    let (mut harness, mut running) = saturated(Tuning::default());
    harness.executor("t2", 100, &["other"]);
    for _ in 0..10 {
        harness.submit("both", "other", 10, RECORDED);
    }
    let job = harness.job("both", "w", 100, RECORDED).number.0;
    harness.submit("both", "w", 100, RECORDED);
    harness.submit("here", "w", 100, RECORDED);
    let starts = count_starts(&mut harness, &mut running, 40);
    assert!(starts[&(job + 1)].abs_diff(20) <= 2, "{starts:?}");
}

/// Guards against more running tasks than an account's concurrency, and against slots that stay
/// free while another account could use them.
#[test]
fn concurrency_limits_running_tasks() {
    let (mut harness, mut running) = saturated(Tuning::default());
    harness.share("small", 1, u32::MAX, 1, 0);
    harness.submit("small", "w", 10, RECORDED);
    harness.submit("other", "w", 10, RECORDED);
    let starts = count_starts(&mut harness, &mut running, 4);
    assert_eq!((starts[&2], starts[&3]), (1, 3));
    harness.step(Event::Cancel(JobNumber(3)));
    let load = harness.dispatch.account_loads();
    let small = load.iter().find(|l| l.account.as_str() == "small").unwrap();
    assert_eq!((small.running, small.queued), (1, 9));
}

/// Guards against short jobs that wait behind large jobs of their own account.
#[test]
fn the_shortest_job_of_an_account_goes_first() {
    let (mut harness, mut running) = saturated(Tuning::default());
    for tasks in [20, 5, 1] {
        harness.submit("a", "w", tasks, RECORDED);
    }
    let starts = count_starts(&mut harness, &mut running, 7);
    assert_eq!((starts[&4], starts[&3], starts[&2]), (1, 5, 1));
}

/// Guards against a large job that small ones overtake without bound.
#[test]
fn a_job_is_overtaken_for_a_limited_time() {
    let mut tuning = Tuning::default();
    tuning.limits.max_overtake = ms(200);
    let (mut harness, mut running) = saturated(tuning);
    harness.submit("a", "w", 9, RECORDED);
    let mut large = 0;
    for _ in 0..40 {
        harness.submit("a", "w", 1, RECORDED);
        large += count_starts(&mut harness, &mut running, 1)
            .get(&2)
            .copied()
            .unwrap_or(0);
        if harness.now_ms < 200 {
            assert_eq!(large, 0, "at {} ms", harness.now_ms);
        }
    }
    assert_eq!(
        large, 9,
        "the large job is still queued after {} ms",
        harness.now_ms
    );
}

/// Guards against a measurement baseline that isn't first come, first served.
#[test]
fn without_rules_the_oldest_job_goes_first() {
    let tuning = Tuning {
        fair_share: false,
        shortest_first: false,
        ..Tuning::default()
    };
    let (mut harness, mut running) = saturated(tuning);
    harness.submit("a", "w", 6, RECORDED);
    harness.now_ms += 1;
    harness.submit("b", "x", 1, RECORDED);
    let starts = count_starts(&mut harness, &mut running, 6);
    assert_eq!(starts, BTreeMap::from([(2, 6)]));
}
