//! Serving jobs from several processes, and graceful shutdown.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use greengage_core::{Capacity, Demand};
use greengage_standin::{Answer, Caller, CallerError, Job, Target};
use rustix::process::Signal;
use serde_json::json;

use crate::harness::{TestCluster, STEP_TIMEOUT, TEMPLATE};
use crate::jobs::{assert_complete, assert_started_once, new_job, SetOnDrop};
use crate::{FOUR_VMS, THREE_VMS};

const JOBS: usize = 1_000;
const CALLERS: usize = 16;

/// Guards against jobs that are lost, answered with another job's results or run twice when every
/// VM takes submissions for every zone concurrently. Every tenth job is submitted again through
/// another VM.
#[test]
fn a_thousand_jobs_through_all_vms_run_once() {
    let cluster = TestCluster::start(&FOUR_VMS, false);
    let targets = cluster.start_targets();
    let names: Vec<&str> = cluster.vms.iter().map(|vm| vm.name.as_str()).collect();
    let next = AtomicUsize::new(0);
    let answers: Mutex<BTreeMap<usize, Answer>> = Mutex::default();
    std::thread::scope(|scope| {
        for i in 0..CALLERS {
            let mut entries = names.clone();
            entries.rotate_left(i % names.len());
            let caller = cluster.caller(&entries);
            let mut other = names.clone();
            other.rotate_left((i + 1) % names.len());
            let other = cluster.caller(&other);
            let (next, answers) = (&next, &answers);
            scope.spawn(move || loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                if n >= JOBS {
                    return;
                }
                let job = new_job(&format!("visit-{n}"), None, 1 + n % 3, 5);
                let answer = caller.run(&job, Duration::from_secs(20));
                let answer = answer.expect("an answer");
                assert_complete(&job, &answer);
                if n % 10 == 0 {
                    let repeated = other.run(&job, Duration::from_secs(20));
                    assert_eq!(repeated.expect("an answer"), answer);
                }
                let previous = answers.lock().expect("no panic").insert(n, answer);
                assert!(previous.is_none());
            });
        }
    });
    assert_eq!(answers.into_inner().expect("no panic").len(), JOBS);
    let tasks = (0..JOBS).map(|n| 1 + n % 3).sum::<usize>();
    assert_eq!(assert_started_once(&targets), tasks);
}

/// Guards against a shutdown that aborts requests, answers them in part, or answers "not run" for
/// work that ran. SIGTERM goes to a zone's leader with requests in flight and more arriving, and
/// then to the only VM of a zone.
#[test]
fn sigterm_answers_all_pending_requests() {
    let mut cluster = TestCluster::start(&THREE_VMS, false);
    let targets = cluster.start_targets();
    let leader = cluster.wait_zone_leader("north");
    for (stopped_vm, other) in [(leader.as_str(), "south-1"), ("south-1", "north-1")] {
        let caller = cluster.caller(&[stopped_vm]);
        let jobs: Vec<Job> = (0..12)
            .map(|n| {
                let zone = ["north", "south"][n % 2];
                new_job(&format!("{stopped_vm}-{n}"), Some(zone), 2, 700)
            })
            .collect();
        let late_jobs: Mutex<Vec<(Job, bool)>> = Mutex::default();
        let stop = AtomicBool::new(false);
        let answers: Vec<Answer> = std::thread::scope(|scope| {
            let stopper = SetOnDrop(&stop);
            let submit = |job| {
                caller
                    .submit(job, Duration::from_secs(10))
                    .expect("an answer")
            };
            let pending: Vec<_> = jobs
                .iter()
                .map(|job| scope.spawn(move || submit(job)))
                .collect();
            let running = || targets.iter().map(Target::running_tasks).sum::<usize>() == 24;
            cluster.wait_until("all tasks run", STEP_TIMEOUT, running);
            cluster.signal(stopped_vm, Signal::TERM);
            scope.spawn(|| submit_late(&caller, stopped_vm, &stop, &late_jobs));
            let answers = pending
                .into_iter()
                .map(|pending| pending.join().expect("an answer"));
            let answers = answers.collect();
            let status = cluster.wait_exit(stopped_vm, STEP_TIMEOUT);
            assert_eq!(status.code(), Some(0), "{stopped_vm}");
            drop(stopper);
            answers
        });
        let late_jobs = late_jobs.into_inner().expect("no panic");
        assert!(!late_jobs.is_empty());
        let started_ids: BTreeSet<_> = targets
            .iter()
            .flat_map(Target::starts)
            .map(|start| start.attempt.key.id)
            .collect();
        for (job, not_run) in late_jobs {
            assert!(
                !(not_run && started_ids.contains(&job.id)),
                "{} ran",
                job.id
            );
        }
        cluster.spawn(stopped_vm);
        cluster.wait_ready(stopped_vm);
        for (job, answer) in jobs.iter().zip(&answers) {
            assert_complete(job, answer);
            let repeated = cluster
                .caller(&[other])
                .run(job, STEP_TIMEOUT)
                .expect("an answer");
            assert_eq!(repeated, *answer);
        }
        assert_started_once(&targets);
    }
}

/// Submits short jobs to a VM that is shutting down; records for each whether the VM answered that
/// it didn't run.
fn submit_late(
    caller: &Caller,
    name: &str,
    stop: &AtomicBool,
    late_jobs: &Mutex<Vec<(Job, bool)>>,
) {
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let job = new_job(&format!("{name}-late-{n}"), None, 1, 5);
        let not_run = match caller.submit(&job, Duration::from_secs(5)) {
            Ok(Answer::Complete { .. }) => false,
            Ok(Answer::Error { not_run, .. } | Answer::Failed { not_run, .. }) => not_run,
            Ok(Answer::Pending { .. }) => panic!("{} is not answered", job.id),
            Err(CallerError::NoAnswer { unsent, .. }) => unsent,
            Err(error) => panic!("{}: {error}", job.id),
        };
        late_jobs.lock().expect("no panic").push((job, not_run));
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against started tasks that queue for a connection: a worker runs many more concurrent
/// tasks than an executor has slots.
#[test]
fn large_worker_fills_its_capacity() {
    let cluster = TestCluster::start(&[("a1", "a", "control+ledger")], false);
    let worker = json!({
        "target": "worker",
        "demand": {"milli_cores": 1000},
        "deadline_ms": 20_000,
        "expected_ms": 400,
    });
    let path = format!("/v1/templates/{TEMPLATE}");
    let revision = cluster.put_document(&path, "op-worker", 1, &worker);
    cluster.wait_applied(revision);
    let mut settings = cluster.target_settings("worker-1", "a");
    settings.capacity = Capacity::Worker(Demand {
        milli_cores: 64_000,
        memory_mib: 128 << 10,
        accelerators: 0,
    });
    let target = Target::start(settings).expect("a target starts");
    cluster.wait_until("the target is known", STEP_TIMEOUT, || {
        let listed = cluster.admin_get("a1", "/v1/targets");
        listed.is_some_and(|listed| listed["targets"].as_array().map(Vec::len) == Some(1))
    });
    // For longer tasks the scheduler would keep some cores free for short tasks.
    let job = new_job("parallel", None, 60, 400);
    let started_at = Instant::now();
    let answer = cluster.caller(&["a1"]).run(&job, Duration::from_secs(20));
    let elapsed = started_at.elapsed();
    assert_complete(&job, &answer.expect("an answer"));
    assert_eq!(assert_started_once(&[target]), 60);
    // One round of concurrent tasks takes 0.4 s; two rounds would take 0.8 s.
    assert!(elapsed < Duration::from_millis(800), "{elapsed:?}");
}
