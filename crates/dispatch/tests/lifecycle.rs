//! How jobs begin, end and are tried again.

mod common;

use common::{target, Bench, RECORDED, UNBEGUN};
use greengage_core::{GuardAction, JobNumber, Time};
use greengage_dispatch::{Event, Mode, Running, Settled, Tuning};

const NOTHING: [&str; 0] = [];

fn bench(slots: u32) -> Bench {
    let mut bench = Bench::new(Tuning::default());
    bench.executor("t1", slots, &["w"]);
    bench
}

/// Guards against a start before the ledger has the begin: a new leader would start it again.
#[test]
fn recorded_tasks_start_only_after_the_begin() {
    let mut bench = bench(2);
    assert_eq!(bench.submit("a", "w", 2, UNBEGUN), ["begin 1"]);
    assert_eq!(bench.step(Event::Tick), NOTHING);
    let starts = ["start 1/0#1 on t1", "start 1/1#1 on t1"];
    assert_eq!(bench.step(Event::Begun(JobNumber(1))), starts);
    assert_eq!(bench.step(Event::Begun(JobNumber(1))), NOTHING);
}

/// Guards against begins of the whole queue: jobs that are not begun can still answer "not run".
#[test]
fn begins_run_only_a_little_ahead_of_the_slots() {
    let mut bench = bench(4);
    let begins = |shown: Vec<String>| shown.iter().filter(|s| s.starts_with("begin")).count();
    let begun: usize = (0..50)
        .map(|_| begins(bench.submit("a", "w", 1, UNBEGUN)))
        .sum();
    assert!(
        (4..=6).contains(&begun),
        "{begun} of 50 jobs begun for 4 slots"
    );
}

/// Guards against a partial answer.
#[test]
fn a_job_is_complete_when_all_tasks_are_done() {
    let mut bench = bench(2);
    bench.submit("a", "w", 2, RECORDED);
    assert_eq!(bench.done("1/1#1", 50), NOTHING);
    assert_eq!(bench.done("1/1#1", 50), NOTHING, "a result counts once");
    assert_eq!(bench.done("1/0#1", 50), ["complete 1"]);
}

/// Guards against a slot that is given away while the stopped task still runs in it.
#[test]
fn a_failed_task_stops_the_others_whose_slots_stay_taken() {
    let mut bench = bench(2);
    bench.submit("a", "w", 2, RECORDED);
    bench.submit("a", "w", 2, RECORDED);
    let message = "no seats".to_string();
    let shown = bench.settle("1/0#1", Settled::Failed { message });
    let expected = [
        "stop 1/1#1 on t1",
        "failed 1: task 0 failed: no seats",
        "start 2/0#1 on t1",
    ];
    assert_eq!(shown, expected);
    assert_eq!(bench.dispatch.free_slots(), 0);
    assert_eq!(bench.settle("1/1#1", Settled::Lost), ["start 2/1#1 on t1"]);
}

/// Guards against a second run of a task of a submission.
#[test]
fn a_lost_task_of_a_recorded_job_fails_it() {
    let mut bench = bench(1);
    bench.executor("t2", 1, &["w"]);
    let start = bench.submit("a", "w", 1, RECORDED);
    let on = start[0].rsplit(' ').next().unwrap().to_string();
    let shown = bench.settle("1/0#1", Settled::Lost);
    let lost = format!("failed 1: task 0 was sent to target TargetName({on:?})");
    assert!(shown.len() == 1 && shown[0].starts_with(&lost), "{shown:?}");
}

/// Guards against a refused start that goes to the same target, or is counted as begun.
#[test]
fn a_refused_start_goes_to_another_target() {
    let mut bench = bench(1);
    bench.submit("a", "w", 1, RECORDED);
    bench.executor("t2", 1, &["w"]);
    assert_eq!(
        bench.settle("1/0#1", Settled::NotRun),
        ["start 1/0#2 on t2"]
    );
    assert_eq!(bench.settle("1/0#2", Settled::NotRun), NOTHING);
    let shown = bench.step(Event::Cancel(JobNumber(1)));
    assert_eq!(shown, ["failed 1: cancelled, not run"]);
}

/// Guards against a loop of starts at a target that refuses all of them.
#[test]
fn refused_starts_are_spaced_out_until_the_deadline() {
    let mut bench = bench(1);
    let mut shown = bench.submit("a", "w", 1, RECORDED);
    let mut starts = 0;
    while let Some(start) = shown.iter().find(|s| s.contains("start")) {
        starts += 1;
        let attempt = start
            .split("start ")
            .nth(1)
            .unwrap()
            .split(' ')
            .next()
            .unwrap();
        shown = bench.settle(attempt, Settled::NotRun);
        while shown.is_empty() {
            let next = bench.dispatch.wake().expect("a deadline").0.div_ceil(1000);
            shown = bench.run_to(next);
        }
    }
    assert!((5..30).contains(&starts), "{starts} starts");
    let end = "10000 ms: failed 1: the deadline passed, not run: submit again with a new id";
    assert_eq!(shown, [end]);
}

/// Guards against retries on the target that lost the task, and beyond the template's limit.
#[test]
fn a_lost_repeatable_task_is_retried_elsewhere() {
    let mut bench = bench(2);
    bench.submit("a", "w", 1, Mode::Repeatable { retries: 1 });
    bench.executor("t2", 2, &["w"]);
    assert_eq!(bench.settle("1/0#1", Settled::Lost), ["start 1/0#2 on t2"]);
    assert!(bench.settle("1/0#2", Settled::Lost)[0].starts_with("failed 1"));
}

/// Guards against retries that multiply the load in an outage.
#[test]
fn retries_stay_within_a_tenth_of_the_starts_and_a_constant() {
    let mut bench = bench(1000);
    bench.submit("a", "w", 1000, Mode::Repeatable { retries: 100 });
    let mut retries = 0;
    for n in 0..1000 {
        if bench.dispatch.jobs() == 0 {
            break;
        }
        let shown = bench.settle(&format!("1/{n}#1"), Settled::Lost);
        retries += shown.iter().filter(|s| s.starts_with("start 1/")).count();
    }
    // A tenth of 1,000 first starts and of the retries themselves, and 10.
    assert!((110..=123).contains(&retries), "{retries} retries");
}

/// Guards against starts after the deadline and against jobs that stay behind.
#[test]
fn deadlines_fail_queued_and_running_jobs() {
    let mut bench = bench(1);
    bench.submit("a", "w", 1, RECORDED);
    bench.now = 1;
    bench.submit("a", "w", 1, UNBEGUN);
    let expected = [
        "10000 ms: stop 1/0#1 on t1",
        "10000 ms: failed 1: the deadline passed, may have run in part",
        "10001 ms: failed 2: the deadline passed, not run: submit again with a new id",
    ];
    assert_eq!(bench.run_to(20_000), expected);
    assert_eq!(bench.done("1/0#1", 50), NOTHING);
    assert_eq!(bench.dispatch.free_slots(), 1);
}

/// Guards against a late tick that lets work start after its deadline.
#[test]
fn work_past_its_deadline_is_not_started() {
    let mut bench = bench(1);
    bench.submit("a", "w", 1, RECORDED);
    bench.now = 1;
    bench.submit("a", "w", 1, RECORDED);
    bench.now = 60_000;
    let shown = bench.done("1/0#1", 50);
    assert_eq!(shown[0], "complete 1");
    assert!(
        shown.len() == 2 && shown[1].starts_with("failed 2: the deadline"),
        "{shown:?}"
    );
}

/// Guards against a cancelled job that starts when its begin is reported later.
#[test]
fn a_cancelled_job_never_starts() {
    let mut bench = bench(1);
    assert_eq!(bench.submit("a", "w", 1, UNBEGUN), ["begin 1"]);
    let shown = bench.step(Event::Cancel(JobNumber(1)));
    assert_eq!(shown, ["failed 1: cancelled, not run"]);
    assert_eq!(bench.step(Event::Begun(JobNumber(1))), NOTHING);
    bench.submit("a", "w", 1, RECORDED);
    let shown = bench.step(Event::Cancel(JobNumber(2)));
    assert_eq!(
        shown,
        [
            "stop 2/0#1 on t1",
            "failed 2: cancelled, may have run in part"
        ]
    );
}

/// Guards against a second start of tasks that an earlier leader started.
#[test]
fn an_adopted_job_starts_only_what_nobody_knows() {
    let mut bench = bench(4);
    let job = bench.job("a", "w", 4, RECORDED);
    let running = vec![Running {
        attempt: common::parse("1/2#1"),
        target: target("t1"),
    }];
    let done = vec![0];
    let shown = bench.step(Event::Adopt { job, done, running });
    assert_eq!(shown, ["start 1/1#1 on t1", "start 1/3#1 on t1"]);
    assert_eq!(bench.dispatch.free_slots(), 1);
    bench.done("1/1#1", 10);
    bench.done("1/2#1", 10);
    assert_eq!(bench.done("1/3#1", 10), ["complete 1"]);
}

/// Guards against a throttled task that counts as ended.
#[test]
fn a_guard_ends_a_task_unless_it_throttles() {
    let mut bench = bench(1);
    bench.submit("a", "w", 1, RECORDED);
    let throttled = Settled::Guard(GuardAction::Throttled);
    assert_eq!(bench.settle("1/0#1", throttled), NOTHING);
    assert_eq!(bench.dispatch.free_slots(), 0);
    let shown = bench.settle("1/0#1", Settled::Guard(GuardAction::Checkpointed));
    assert!(
        shown[0].starts_with("failed 1: the worker's guard"),
        "{shown:?}"
    );
}

/// Guards against timers of ended jobs that wake the control thread for nothing.
#[test]
fn an_ended_job_leaves_no_timer() {
    let mut bench = bench(1);
    bench.submit("a", "w", 1, RECORDED);
    assert_eq!(bench.dispatch.wake(), Some(Time::from_millis(10_000)));
    bench.done("1/0#1", 10);
    assert_eq!(bench.dispatch.wake(), None);
    assert_eq!(bench.dispatch.jobs(), 0);
}

/// Guards against starts of tasks that can't end before the deadline: they take slots from work
/// that still can.
#[test]
fn a_task_that_would_end_late_is_not_started() {
    let mut bench = Bench::new(Tuning::default());
    bench.executor("t1", 1, &["w"]);
    bench.submit("a", "w", 1, RECORDED);
    bench.due = 180;
    bench.submit("a", "w", 1, RECORDED);
    bench.now = 100;
    let shown = bench.done("1/0#1", 100);
    let expected = "failed 2: the deadline passed, not run: submit again with a new id";
    assert_eq!(shown, ["complete 1", expected]);
}
