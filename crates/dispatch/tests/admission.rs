//! Admission of jobs.

mod common;

use common::{demand, ms, Harness, NOT_BEGUN, RECORDED};
use greengage_core::{Demand, JobNumber, Refusal, TargetKind, Time};
use greengage_dispatch::{Admission, Event, Tuning};

fn harness(slots: u32) -> Harness {
    let mut harness = Harness::new(Tuning::default());
    harness.executor("t1", slots, &["w"]);
    harness
}

fn admit(harness: &mut Harness, account: &str, tasks: u32, deadline_ms: u64) -> Admission {
    let mut job = harness.job(account, "w", tasks, NOT_BEGUN);
    job.deadline = Time::from_millis(harness.now_ms + deadline_ms);
    harness.admit(&job)
}

/// The retry time of a job that is refused as late; `None` otherwise.
fn late_retry_ms(admission: &Admission) -> Option<u64> {
    match admission {
        Admission::Refuse(Refusal::DeadlineUnreachable { retry_ms }) => Some(*retry_ms),
        _ => None,
    }
}

/// Guards against beginning a job with its acceptance although it has to wait, and against
/// letting it overtake the queue.
#[test]
fn a_job_starts_at_once_only_where_nobody_waits() {
    let mut harness = harness(2);
    assert_eq!(admit(&mut harness, "a", 1, 1000), Admission::Start);
    assert_eq!(harness.submit("b", "w", 2, NOT_BEGUN).len(), 1);
    assert_eq!(
        admit(&mut harness, "a", 1, 1000),
        Admission::Queue,
        "the free slots are needed by staged tasks"
    );
    harness.step(Event::BeginRecorded(JobNumber(2)));
    assert_eq!(
        admit(&mut harness, "a", 1, 1000),
        Admission::Queue,
        "no slot is free"
    );
}

/// Guards against queueing a job that no known target can run, and against refusing one before
/// the targets of its kind of work are announced.
#[test]
fn a_demand_that_fits_no_known_target_is_impossible() {
    let mut harness = Harness::new(Tuning::default());
    let mut job = harness.job("a", "w", 1, RECORDED);
    job.target_kind = TargetKind::Worker;
    job.demand = demand(16_000);
    assert_eq!(harness.admit(&job), Admission::Queue, "no target is known");
    harness.executor("t1", 1, &["w"]);
    assert_eq!(harness.admit(&job), Admission::Queue, "no worker is known");
    harness.worker("t2", "r1", 8);
    let demand: Demand = job.demand;
    let impossible = Admission::Refuse(Refusal::Unsatisfiable { demand });
    assert_eq!(harness.admit(&job), impossible);
    harness.worker("t3", "r1", 16);
    assert_eq!(harness.admit(&job), Admission::Start);
}

/// Guards against an account that fills the queue, and against a burst without a time limit.
#[test]
fn the_quota_allows_a_short_burst() {
    let mut harness = harness(1);
    harness.share("a", 1, 10, 1, 5);
    harness.submit("a", "w", 11, RECORDED);
    assert_eq!(admit(&mut harness, "a", 5, 60_000), Admission::Queue);
    let refused = |admission| {
        matches!(
            admission,
            Admission::Refuse(Refusal::QuotaExceeded { limit: 10, retry_ms }) if retry_ms > 0
        )
    };
    assert!(refused(admit(&mut harness, "a", 6, 60_000)));
    harness.submit("a", "w", 5, RECORDED);
    harness.now_ms = 6000;
    assert!(refused(admit(&mut harness, "a", 1, 60_000)));
    assert_eq!(admit(&mut harness, "b", 6, 60_000), Admission::Queue);
}

/// Guards against an unbounded queue, in tasks and in bytes.
#[test]
fn a_full_queue_refuses() {
    for by_bytes in [false, true] {
        let mut tuning = Tuning::default();
        match by_bytes {
            true => tuning.limits.max_bytes = 25,
            false => tuning.limits.max_tasks = 20,
        }
        let mut harness = Harness::new(tuning);
        harness.executor("t1", 1, &["w"]);
        harness.submit("a", "w", 10, RECORDED);
        assert_eq!(admit(&mut harness, "a", 10, 60_000), Admission::Queue);
        harness.submit("a", "w", 10, RECORDED);
        let full = admit(&mut harness, "a", 10, 60_000);
        assert!(
            matches!(full, Admission::Refuse(Refusal::QueueFull { retry_ms }) if retry_ms >= 100)
        );
    }
}

/// Guards against accepting work that can't end in time, and against a retry time after which it
/// would be refused again.
#[test]
fn late_work_is_refused_with_a_time_to_try_again() {
    let mut harness = harness(10);
    assert!(
        late_retry_ms(&admit(&mut harness, "a", 1, 90)).is_some(),
        "a task takes 100 ms"
    );
    // 210 tasks of 100 ms on 10 slots: 10 run, and 200 are queued for 2 s.
    for _ in 0..21 {
        harness.submit("b", "w", 10, RECORDED);
    }
    let refused = admit(&mut harness, "b", 10, 1000);
    let retry = late_retry_ms(&refused).unwrap_or_else(|| panic!("{refused:?}"));
    assert!((900..=1500).contains(&retry), "{retry} ms");
    for round in 0..retry.div_ceil(100) {
        harness.now_ms += 100;
        for task in 0..10 {
            harness.complete(&format!("{}/{task}#1", round + 2), 100);
        }
    }
    assert_eq!(late_retry_ms(&admit(&mut harness, "b", 10, 1000)), None);
}

/// Guards against estimates that ignore the fair order: work queued by others beyond their share
/// doesn't delay an account, and its own long queue doesn't delay its short jobs.
#[test]
fn lateness_follows_the_fair_order() {
    let mut harness = harness(10);
    for _ in 0..20 {
        harness.submit("busy", "w", 20, RECORDED);
    }
    assert!(late_retry_ms(&admit(&mut harness, "busy", 40, 1000)).is_some());
    assert_eq!(late_retry_ms(&admit(&mut harness, "busy", 1, 1000)), None);
    assert_eq!(late_retry_ms(&admit(&mut harness, "quiet", 20, 1000)), None);
    assert!(late_retry_ms(&admit(&mut harness, "quiet", 80, 1000)).is_some());
    harness.share("quiet", 4, u32::MAX, u32::MAX, 0);
    assert_eq!(late_retry_ms(&admit(&mut harness, "quiet", 60, 1000)), None);
}

/// Guards against refusals by inaccurate declared run times.
#[test]
fn observed_run_times_replace_declared_ones() {
    let mut harness = harness(1);
    let mut job = harness.job("a", "w", 1, RECORDED);
    job.declared = ms(60_000);
    assert!(late_retry_ms(&harness.admit(&job)).is_some());
    for number in 2..6 {
        harness.submit("a", "w", 1, RECORDED);
        harness.complete(&format!("{number}/0#1"), 50);
    }
    assert_eq!(late_retry_ms(&harness.admit(&job)), None);
}

/// Guards against refusing jobs as late while no capacity is known.
#[test]
fn nothing_is_late_without_known_capacity() {
    let mut harness = Harness::new(Tuning::default());
    assert_eq!(admit(&mut harness, "a", 1, 1), Admission::Queue);
}
