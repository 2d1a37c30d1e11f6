//! Targets that fail every task, crash while running a task or answer late.

use std::collections::BTreeSet;
use std::time::Duration;

use greengage_standin::{Answer, Behaviour, Job, Target};

use crate::harness::{TestCluster, STEP_TIMEOUT};
use crate::jobs::{assert_complete, assert_started_once, new_job, JOB_TIMEOUT};
use crate::THREE_VMS;

const JOBS: usize = 120;

/// Guards against faulty targets that delay work on healthy ones, and against "not run" answers for
/// jobs with a started task.
#[test]
fn faulty_targets_do_not_hold_up_the_others() {
    let cluster = TestCluster::start(&THREE_VMS, false);
    let start = |name: &str, behaviour| {
        let mut settings = cluster.target_settings(name, "north");
        settings.behaviour = behaviour;
        Target::start(settings).expect("a target starts")
    };
    let targets = [
        start("good-1", Behaviour::Normal),
        start("good-2", Behaviour::Normal),
        start("late", Behaviour::Delay(Duration::from_millis(800))),
        start("failing", Behaviour::Fail),
        start("dying", Behaviour::Crash),
    ];
    cluster.wait_until("the targets are known", STEP_TIMEOUT, || {
        let listed = cluster.admin_get("north-1", "/v1/targets");
        listed.is_some_and(|listed| listed["targets"].as_array().map(Vec::len) == Some(5))
    });
    // One task for each slot; with fewer the healthy targets alone might take them all.
    let fill = new_job("fill", Some("north"), 40, 30);
    let answer = cluster.caller(&["north-1"]).run(&fill, JOB_TIMEOUT);
    let filled = (fill, answer.expect("an answer"));
    cluster.wait_until("the dying target has died", STEP_TIMEOUT, || {
        targets[4].has_crashed()
    });
    let entries = [["north-1", "north-2"], ["north-2", "north-1"]];
    let answered: Vec<(Job, Answer)> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..6)
            .map(|i| {
                let caller = cluster.caller(&entries[i % 2]);
                scope.spawn(move || {
                    let run = |n| {
                        let job = new_job(&format!("visit-{i}-{n}"), Some("north"), 2, 30);
                        let answer = caller.run(&job, JOB_TIMEOUT).expect("an answer");
                        (job, answer)
                    };
                    (0..JOBS / 6).map(run).collect::<Vec<_>>()
                })
            })
            .collect();
        let joined = callers.into_iter().map(|c| c.join().expect("answers"));
        joined.flatten().collect()
    });
    assert_started_once(&targets);
    let starts = targets.iter().flat_map(Target::starts);
    let started_ids: BTreeSet<_> = starts
        .filter(|s| s.executed)
        .map(|s| s.attempt.key.id)
        .collect();
    let mut complete = 0;
    for (job, answer) in answered.iter().chain([&filled]) {
        match answer {
            Answer::Complete { .. } => {
                assert_complete(job, answer);
                complete += 1;
            }
            Answer::Failed { not_run, .. } | Answer::Error { not_run, .. } => {
                assert!(
                    !(*not_run && started_ids.contains(&job.id)),
                    "{}: {answer:?}",
                    job.id
                );
            }
            Answer::Pending { .. } => panic!("{} has not ended", job.id),
        }
    }
    println!("{complete} of {JOBS} jobs complete");
    // Some tasks go to faulty targets before these are detected.
    assert!(
        complete >= JOBS * 3 / 4,
        "{complete} of {JOBS} jobs complete: {answered:?}"
    );
}
