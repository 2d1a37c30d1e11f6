//! Begin, end and retries of jobs.

mod common;

use common::{target, Harness, NOT_BEGUN, RECORDED};
use greengage_core::{GuardAction, JobNumber, Time};
use greengage_dispatch::{AttemptOutcome, Event, JobMode, RunningAttempt, Tuning};

const NO_EFFECTS: [&str; 0] = [];

fn harness(slots: u32) -> Harness {
    let mut harness = Harness::new(Tuning::default());
    harness.executor("t1", slots, &["w"]);
    harness
}

/// Guards against a start before the ledger has recorded the begin, after which a new leader would
/// start the task again.
#[test]
fn recorded_tasks_start_only_after_the_begin() {
    let mut harness = harness(2);
    assert_eq!(harness.submit("a", "w", 2, NOT_BEGUN), ["begin 1"]);
    assert_eq!(harness.step(Event::Tick), NO_EFFECTS);
    let starts = ["start 1/0#1 on t1", "start 1/1#1 on t1"];
    assert_eq!(harness.step(Event::BeginRecorded(JobNumber(1))), starts);
    assert_eq!(harness.step(Event::BeginRecorded(JobNumber(1))), NO_EFFECTS);
}

/// Guards against beginning the whole queue: only jobs without a begin can still end as not run.
#[test]
fn begins_run_only_a_little_ahead_of_the_slots() {
    let mut harness = harness(4);
    let begins = |effects: Vec<String>| effects.iter().filter(|s| s.starts_with("begin")).count();
    let begun: usize = (0..50)
        .map(|_| begins(harness.submit("a", "w", 1, NOT_BEGUN)))
        .sum();
    assert!(
        (4..=6).contains(&begun),
        "{begun} of 50 jobs begun for 4 slots"
    );
}

/// Guards against completing a job with missing results.
#[test]
fn a_job_is_complete_when_all_tasks_are_done() {
    let mut harness = harness(2);
    harness.submit("a", "w", 2, RECORDED);
    assert_eq!(harness.complete("1/1#1", 50), NO_EFFECTS);
    assert_eq!(
        harness.complete("1/1#1", 50),
        NO_EFFECTS,
        "a result counts once"
    );
    assert_eq!(harness.complete("1/0#1", 50), ["complete 1"]);
}

/// Guards against granting a slot again while a stopped task still runs in it.
#[test]
fn a_failed_task_stops_the_others_whose_slots_stay_taken() {
    let mut harness = harness(2);
    harness.submit("a", "w", 2, RECORDED);
    harness.submit("a", "w", 2, RECORDED);
    let message = "no seats".to_string();
    let effects = harness.settle("1/0#1", AttemptOutcome::Failed { message });
    let expected = [
        "stop 1/1#1 on t1",
        "failed 1: task 0 failed: no seats",
        "start 2/0#1 on t1",
    ];
    assert_eq!(effects, expected);
    assert_eq!(harness.dispatch.free_slots(), 0);
    assert_eq!(
        harness.settle("1/1#1", AttemptOutcome::Lost),
        ["start 2/1#1 on t1"]
    );
}

/// Guards against a second run of a recorded task whose first attempt may have run.
#[test]
fn a_lost_task_of_a_recorded_job_fails_it() {
    let mut harness = harness(1);
    harness.executor("t2", 1, &["w"]);
    let start = harness.submit("a", "w", 1, RECORDED);
    let target = start[0].rsplit(' ').next().unwrap().to_string();
    let effects = harness.settle("1/0#1", AttemptOutcome::Lost);
    let lost = format!("failed 1: task 0 was sent to target TargetName({target:?})");
    assert!(
        effects.len() == 1 && effects[0].starts_with(&lost),
        "{effects:?}"
    );
}

/// Guards against retrying a refused start on the same target, and against counting it as run.
#[test]
fn a_refused_start_goes_to_another_target() {
    let mut harness = harness(1);
    harness.submit("a", "w", 1, RECORDED);
    harness.executor("t2", 1, &["w"]);
    assert_eq!(
        harness.settle("1/0#1", AttemptOutcome::NotRun),
        ["start 1/0#2 on t2"]
    );
    assert_eq!(harness.settle("1/0#2", AttemptOutcome::NotRun), NO_EFFECTS);
    let effects = harness.step(Event::Cancel(JobNumber(1)));
    assert_eq!(effects, ["failed 1: cancelled, not run"]);
}

/// Guards against a tight loop of starts on a target that refuses all of them.
#[test]
fn refused_starts_are_spaced_out_until_the_deadline() {
    let mut harness = harness(1);
    let mut effects = harness.submit("a", "w", 1, RECORDED);
    let mut starts = 0;
    while let Some(start) = effects.iter().find(|s| s.contains("start")) {
        starts += 1;
        let attempt = start
            .split("start ")
            .nth(1)
            .unwrap()
            .split(' ')
            .next()
            .unwrap();
        effects = harness.settle(attempt, AttemptOutcome::NotRun);
        while effects.is_empty() {
            let next = harness
                .dispatch
                .next_wake()
                .expect("a timer is pending")
                .0
                .div_ceil(1000);
            effects = harness.advance_to(next);
        }
    }
    assert!((5..30).contains(&starts), "{starts} starts");
    let end = "10000 ms: failed 1: the deadline passed, not run: submit again with a new id";
    assert_eq!(effects, [end]);
}

/// Guards against retrying on the target that lost the task, and beyond the job's limit.
#[test]
fn a_lost_repeatable_task_is_retried_elsewhere() {
    let mut harness = harness(2);
    harness.submit("a", "w", 1, JobMode::Repeatable { retries: 1 });
    harness.executor("t2", 2, &["w"]);
    assert_eq!(
        harness.settle("1/0#1", AttemptOutcome::Lost),
        ["start 1/0#2 on t2"]
    );
    assert!(harness.settle("1/0#2", AttemptOutcome::Lost)[0].starts_with("failed 1"));
}

/// Guards against retries that multiply the load in an outage.
#[test]
fn retries_stay_within_a_tenth_of_the_starts_and_a_constant() {
    let mut harness = harness(1000);
    harness.submit("a", "w", 1000, JobMode::Repeatable { retries: 100 });
    let mut retries = 0;
    for n in 0..1000 {
        if harness.dispatch.jobs() == 0 {
            break;
        }
        let effects = harness.settle(&format!("1/{n}#1"), AttemptOutcome::Lost);
        retries += effects.iter().filter(|s| s.starts_with("start 1/")).count();
    }
    // A tenth of 1,000 first starts and of the retries themselves, plus the constant 10.
    assert!((110..=123).contains(&retries), "{retries} retries");
}

/// Guards against starts after the deadline, and against jobs that outlive it.
#[test]
fn deadlines_fail_queued_and_running_jobs() {
    let mut harness = harness(1);
    harness.submit("a", "w", 1, RECORDED);
    harness.now_ms = 1;
    harness.submit("a", "w", 1, NOT_BEGUN);
    let expected = [
        "10000 ms: stop 1/0#1 on t1",
        "10000 ms: failed 1: the deadline passed, may have run in part",
        "10001 ms: failed 2: the deadline passed, not run: submit again with a new id",
    ];
    assert_eq!(harness.advance_to(20_000), expected);
    assert_eq!(harness.complete("1/0#1", 50), NO_EFFECTS);
    assert_eq!(harness.dispatch.free_slots(), 1);
}

/// Guards against starting a task after its deadline when the tick for it is late.
#[test]
fn work_past_its_deadline_is_not_started() {
    let mut harness = harness(1);
    harness.submit("a", "w", 1, RECORDED);
    harness.now_ms = 1;
    harness.submit("a", "w", 1, RECORDED);
    harness.now_ms = 60_000;
    let effects = harness.complete("1/0#1", 50);
    assert_eq!(effects[0], "complete 1");
    assert!(
        effects.len() == 2 && effects[1].starts_with("failed 2: the deadline"),
        "{effects:?}"
    );
}

/// Guards against starting a cancelled job when its begin is reported later.
#[test]
fn a_cancelled_job_never_starts() {
    let mut harness = harness(1);
    assert_eq!(harness.submit("a", "w", 1, NOT_BEGUN), ["begin 1"]);
    let effects = harness.step(Event::Cancel(JobNumber(1)));
    assert_eq!(effects, ["failed 1: cancelled, not run"]);
    assert_eq!(harness.step(Event::BeginRecorded(JobNumber(1))), NO_EFFECTS);
    harness.submit("a", "w", 1, RECORDED);
    let effects = harness.step(Event::Cancel(JobNumber(2)));
    assert_eq!(
        effects,
        [
            "stop 2/0#1 on t1",
            "failed 2: cancelled, may have run in part"
        ]
    );
}

/// Guards against starting tasks again that an earlier leader started.
#[test]
fn an_adopted_job_starts_only_unstarted_tasks() {
    let mut harness = harness(4);
    let job = harness.job("a", "w", 4, RECORDED);
    let running = vec![RunningAttempt {
        attempt: common::parse_attempt("1/2#1"),
        target: target("t1"),
    }];
    let done = vec![0];
    let effects = harness.step(Event::Adopt { job, done, running });
    assert_eq!(effects, ["start 1/1#1 on t1", "start 1/3#1 on t1"]);
    assert_eq!(harness.dispatch.free_slots(), 1);
    harness.complete("1/1#1", 10);
    harness.complete("1/2#1", 10);
    assert_eq!(harness.complete("1/3#1", 10), ["complete 1"]);
}

/// Guards against treating a throttled task as ended.
#[test]
fn a_guard_ends_a_task_unless_it_throttles() {
    let mut harness = harness(1);
    harness.submit("a", "w", 1, RECORDED);
    let throttled = AttemptOutcome::Guard(GuardAction::Throttled);
    assert_eq!(harness.settle("1/0#1", throttled), NO_EFFECTS);
    assert_eq!(harness.dispatch.free_slots(), 0);
    let effects = harness.settle("1/0#1", AttemptOutcome::Guard(GuardAction::Checkpointed));
    assert!(
        effects[0].starts_with("failed 1: the worker's guard"),
        "{effects:?}"
    );
}

/// Guards against timers of ended jobs, which would wake the control thread needlessly.
#[test]
fn an_ended_job_leaves_no_timer() {
    let mut harness = harness(1);
    harness.submit("a", "w", 1, RECORDED);
    assert_eq!(
        harness.dispatch.next_wake(),
        Some(Time::from_millis(10_000))
    );
    harness.complete("1/0#1", 10);
    assert_eq!(harness.dispatch.next_wake(), None);
    assert_eq!(harness.dispatch.jobs(), 0);
}

/// Guards against starting tasks that can't end before their deadline, which would take slots from
/// tasks that still can.
#[test]
fn a_task_that_would_end_late_is_not_started() {
    let mut harness = Harness::new(Tuning::default());
    harness.executor("t1", 1, &["w"]);
    harness.submit("a", "w", 1, RECORDED);
    harness.deadline_ms = 180;
    harness.submit("a", "w", 1, RECORDED);
    harness.now_ms = 100;
    let effects = harness.complete("1/0#1", 100);
    let expected = "failed 2: the deadline passed, not run: submit again with a new id";
    assert_eq!(effects, ["complete 1", expected]);
}
