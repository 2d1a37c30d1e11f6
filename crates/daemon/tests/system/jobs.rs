//! Test jobs, continuous submission, and checks of answers and task starts.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use greengage_core::{Name, TemplateName, ZoneName};
use greengage_standin::{Answer, Caller, Job, Target};
use serde_json::{json, Value};

use crate::harness::{TestCluster, TEMPLATE};

/// Limit for a submission and its resubmissions.
pub(crate) const JOB_TIMEOUT: Duration = Duration::from_secs(20);

/// A job whose tasks each take `millis` ms and echo the job id and their index.
pub(crate) fn new_job(id: &str, zone: Option<&str>, tasks: usize, millis: u64) -> Job {
    let task = |i| json!({"sleep_ms": millis, "echo": format!("{id}/{i}")});
    Job {
        id: Name::new(id).expect("a valid name"),
        zone: zone.map(|zone| ZoneName::new(zone).expect("a valid name")),
        template: TemplateName::new(TEMPLATE).expect("a valid name"),
        tasks: (0..tasks).map(task).collect(),
    }
}

/// Asserts that an answer holds the results of all tasks of a job, in order.
pub(crate) fn assert_complete(job: &Job, answer: &Answer) {
    let Answer::Complete { results, .. } = answer else {
        panic!("job {} is not complete: {answer:?}", job.id);
    };
    let echoes = |values: &[Value]| values.iter().map(|v| v["echo"].clone()).collect::<Vec<_>>();
    assert_eq!(echoes(results), echoes(&job.tasks), "job {}", job.id);
}

/// Asserts that no task was started twice; returns the number of started tasks.
pub(crate) fn assert_started_once(targets: &[Target]) -> usize {
    let mut first_starts = BTreeMap::new();
    for target in targets {
        for start in target.starts().into_iter().filter(|start| start.executed) {
            let task = (start.attempt.key.clone(), start.attempt.task);
            let first = first_starts.insert(task, (target.name().clone(), start.clone()));
            assert!(
                first.is_none(),
                "task started twice: {first:?} and {start:?}"
            );
        }
    }
    first_starts.len()
}

/// Sets a flag when dropped, so that a panic also ends the threads that poll it.
pub(crate) struct SetOnDrop<'a>(pub(crate) &'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Submits jobs of the zone north one after another until `stop` is set; resubmits each until it is
/// answered.
pub(crate) fn submit_until_stopped(
    name: &str,
    caller: &Caller,
    stop: &AtomicBool,
    answered: &Mutex<Vec<(Job, Answer)>>,
) {
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let job = new_job(&format!("{name}-{n}"), Some("north"), 2, 20);
        let answer = caller.run(&job, JOB_TIMEOUT).expect("an answer");
        answered.lock().expect("no panic").push((job, answer));
    }
}

/// Asserts that each job has a complete answer, that every running VM repeats that answer, and that
/// each task started exactly once.
pub(crate) fn assert_answers_agree(
    cluster: &TestCluster,
    targets: &[Target],
    answered: &[(Job, Answer)],
) {
    for name in cluster.vms.iter().map(|vm| vm.name.as_str()) {
        if !cluster.is_running(name) {
            continue;
        }
        let caller = cluster.caller(&[name]);
        for (job, answer) in answered {
            assert_complete(job, answer);
            let repeated = caller.run(job, JOB_TIMEOUT).expect("an answer");
            assert_eq!(repeated, *answer, "job {} asked at {name}", job.id);
        }
    }
    let tasks: usize = answered.iter().map(|(job, _)| job.tasks.len()).sum();
    assert_eq!(assert_started_once(targets), tasks);
}
