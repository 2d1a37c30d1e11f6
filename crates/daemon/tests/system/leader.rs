//! Failures of the leader of a zone's ledger group.

use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use greengage_standin::{Answer, Caller, Job, Target};
use rustix::process::Signal;

use crate::harness::TestCluster;
use crate::jobs::{assert_answers_agree, new_job, submit_until_stopped, SetOnDrop, JOB_TIMEOUT};
use crate::THREE_VMS;

const NORTH_GROUP: &str = "ledger-north";

/// Waits until a restarted VM has committed as many log entries as the leader.
fn wait_caught_up(cluster: &TestCluster, name: &str) {
    cluster.wait_ready(name);
    cluster.wait_until("the restarted VM has caught up", JOB_TIMEOUT, || {
        let (Some((leader, _)), Some(own_status)) = (
            cluster.leader(NORTH_GROUP),
            cluster.admin_get(name, &format!("/v1/groups/{NORTH_GROUP}")),
        ) else {
            return false;
        };
        let leader_status = cluster.admin_get(&leader, &format!("/v1/groups/{NORTH_GROUP}"));
        leader_status.is_some_and(|leader_status| {
            own_status["commit"].as_u64() >= leader_status["commit"].as_u64()
        })
    });
}

/// Kills the leader of north `kills` times under load; every third time also its successor during
/// recovery. Returns the time without service after each single kill.
fn kill_leaders(kills: usize) -> Vec<Duration> {
    let mut cluster = TestCluster::start(&THREE_VMS, false);
    let targets = cluster.start_targets();
    let stop = AtomicBool::new(false);
    let answered = Mutex::default();
    let mut outages = Vec::new();
    let callers = [
        cluster.caller(&["north-1", "north-2", "south-1"]),
        cluster.caller(&["north-2", "south-1", "north-1"]),
        cluster.caller(&["south-1", "north-1", "north-2"]),
    ];
    let mut probes = Vec::new();
    std::thread::scope(|scope| {
        let stopper = SetOnDrop(&stop);
        for (i, caller) in callers.iter().enumerate() {
            let (stop, answered) = (&stop, &answered);
            scope.spawn(move || submit_until_stopped(&format!("load-{i}"), caller, stop, answered));
        }
        for n in 0..kills {
            let leader = cluster.wait_zone_leader("north");
            let other = if leader == "north-1" {
                "north-2"
            } else {
                "north-1"
            };
            cluster.kill(&leader);
            let killed_at = Instant::now();
            if n % 3 == 2 {
                cluster.spawn(&leader);
                let next = cluster.wait_zone_leader("north");
                cluster.kill(&next);
                cluster.spawn(&next);
                cluster.wait_ready(&next);
            }
            let caller = cluster.caller(&[other]);
            let (job, answer) = run_probe(&caller, n, killed_at);
            if n % 3 != 2 {
                outages.push(killed_at.elapsed());
                cluster.spawn(&leader);
            }
            probes.push((job, answer));
            for name in ["north-1", "north-2"] {
                wait_caught_up(&cluster, name);
            }
        }
        drop(stopper);
    });
    let mut answered: Vec<(Job, Answer)> = answered.into_inner().expect("no panic");
    println!("{} jobs during {kills} kills", answered.len());
    answered.extend(probes);
    let keys: BTreeSet<_> = answered.iter().map(|(job, _)| job.id.clone()).collect();
    assert_eq!(keys.len(), answered.len());
    assert_answers_agree(&cluster, &targets, &answered);
    outages
}

/// Submits a new job until it is answered.
fn run_probe(caller: &Caller, n: usize, killed_at: Instant) -> (Job, Answer) {
    let job = new_job(&format!("probe-{n}"), Some("north"), 1, 1);
    let answer = caller.run(&job, JOB_TIMEOUT).expect("an answer");
    assert!(killed_at.elapsed() < JOB_TIMEOUT);
    (job, answer)
}

fn print_outages(outages: &mut [Duration]) -> Duration {
    outages.sort();
    let median = outages[outages.len() / 2];
    let worst = outages[outages.len() - 1];
    println!("time without service: median {median:?}, worst {worst:?}, all {outages:?}");
    median
}

/// Guards against duplicate task starts, lost keys and differing answers when leaders crash, also
/// during recovery. The limit for the median time without service is the design page's. With
/// `GREENGAGE_CASES=30` the test measures it over 20 single kills.
#[test]
fn killed_leaders_lose_nothing() {
    let kills =
        std::env::var("GREENGAGE_CASES").map_or(4, |kills| kills.parse().expect("a number"));
    let mut outages = kill_leaders(kills);
    assert!(print_outages(&mut outages) < Duration::from_secs(2));
}

/// Guards against a leader that was paused past the election timeout and starts tasks in its old
/// term once it resumes: only its successor may decide jobs that were submitted to it meanwhile.
#[test]
fn paused_leader_starts_nothing_after_resuming() {
    let cluster = TestCluster::start(&THREE_VMS, false);
    let targets = cluster.start_targets();
    let mut answered: Vec<(Job, Answer)> = Vec::new();
    for n in 0..3 {
        let paused = cluster.wait_zone_leader("north");
        let other = if paused == "north-1" {
            "north-2"
        } else {
            "north-1"
        };
        let (_, term) = cluster.leader(NORTH_GROUP).expect("a leader");
        let [at_paused, at_other] = [paused.as_str(), other].map(|name| cluster.caller(&[name]));
        let running = new_job(&format!("running-{n}"), Some("north"), 8, 1_000);
        let queued = new_job(&format!("queued-{n}"), Some("north"), 24, 30);
        let late_jobs: Vec<Job> = (0..8)
            .map(|i| new_job(&format!("late-{n}-{i}"), Some("north"), 2, 10))
            .collect();
        let submit = |job: &Job| at_paused.run(job, JOB_TIMEOUT).expect("an answer");
        std::thread::scope(|scope| {
            let mut pending: Vec<_> = [&running, &queued]
                .map(|job| scope.spawn(move || (job.clone(), submit(job))))
                .into();
            cluster.wait_until("the first job runs", JOB_TIMEOUT, || {
                targets.iter().map(Target::running_tasks).sum::<usize>() >= 8
            });
            cluster.signal(&paused, Signal::STOP);
            // The kernel still accepts connections for the stopped process.
            pending.extend(
                late_jobs
                    .iter()
                    .map(|job| scope.spawn(move || (job.clone(), submit(job)))),
            );
            let (probe, answer) = run_probe(&at_other, n, Instant::now());
            answered.push((probe, answer));
            let resumed_ms = unix_ms();
            cluster.signal(&paused, Signal::CONT);
            answered.extend(
                pending
                    .into_iter()
                    .map(|pending| pending.join().expect("an answer")),
            );
            for start in targets.iter().flat_map(Target::starts) {
                let stale = start.executed && start.at_ms >= resumed_ms && start.term.0 <= term;
                assert!(
                    !stale,
                    "task started in term {term} after a new leader was elected: {start:?}"
                );
            }
        });
    }
    assert_answers_agree(&cluster, &targets, &answered);
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |span| span.as_millis() as u64)
}
